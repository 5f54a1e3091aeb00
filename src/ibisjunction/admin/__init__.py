"""The administration API, version 1."""
