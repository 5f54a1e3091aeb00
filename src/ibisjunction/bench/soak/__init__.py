"""Runs control and entry VMs in one process under faults, on simulated time."""
