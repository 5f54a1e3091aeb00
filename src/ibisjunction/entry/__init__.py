"""Entry VMs: receive requests from callers and forward them upstream."""
