"""Shares the link of an entry VM between large bodies and everything else."""
