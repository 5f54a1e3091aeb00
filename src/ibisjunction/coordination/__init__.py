"""What the leader of the control VMs decides, and the tasks that carry it."""
