"""Load generator, simulated upstreams and callers, and measurements."""
