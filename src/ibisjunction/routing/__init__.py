"""Serves requests, from their headers to the last byte of the answer."""
