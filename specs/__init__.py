"""Specifications that minicheck explores completely."""
