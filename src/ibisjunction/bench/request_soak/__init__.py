"""Soaks of the real programs that carry requests."""
