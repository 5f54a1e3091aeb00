"""Stand-ins for upstreams and callers, and the load tool."""
