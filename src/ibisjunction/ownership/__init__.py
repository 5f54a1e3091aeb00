"""Grants in force at the upstreams that a VM dispatches for."""
