"""Upstreams, the keys they own and the items in force, as replicated state."""
