"""Decisions of the leader of the control VMs, and the tasks that run them."""
