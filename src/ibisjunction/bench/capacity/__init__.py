"""Measures the costs of the shipped code and projects larger systems."""
