"""Decides which VM dispatches for an upstream and who owns each shard."""
