"""Tickets: permissions to send, and the messages that carry them."""
