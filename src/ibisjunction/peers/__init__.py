"""Links between the daemons of the system."""
