"""VM leases and the heartbeats that renew them."""
