"""Connections to upstreams and the HTTP protocol that they use."""
