"""Decisions on which request gets which upstream, and when."""
