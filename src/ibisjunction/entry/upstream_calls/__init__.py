"""Exchanges with upstreams over persistent connections."""
