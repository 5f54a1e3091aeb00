"""The daemon: assembly, start and graceful shutdown."""
