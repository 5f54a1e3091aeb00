"""The copy of the fleet state, the lease and the way to the leader."""
