"""The replicated control log and the state it yields."""
