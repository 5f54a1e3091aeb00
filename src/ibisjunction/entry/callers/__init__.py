"""Connections of callers: reading requests and writing answers."""
