"""One request from its route to its outcome."""
