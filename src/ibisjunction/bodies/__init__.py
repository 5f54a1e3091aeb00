"""Bodies of requests that a process holds, within its memory."""
