"""Entry VMs: take requests of callers and send them to upstreams."""
