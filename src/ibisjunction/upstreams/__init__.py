"""Connections to upstreams and the protocol they speak."""
