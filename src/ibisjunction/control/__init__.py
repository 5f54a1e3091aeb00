"""The replicated control log and the state that its commands produce."""
