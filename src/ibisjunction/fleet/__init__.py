"""Upstreams, the keys they own and the current items, as replicated state."""
