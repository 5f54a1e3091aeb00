"""Queues, limits and tickets of the upstreams that a VM dispatches for."""
