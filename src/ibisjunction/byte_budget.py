"""A number of bytes that several owners share."""


class ByteBudget:
    """Counts bytes in use against a limit."""

    def __init__(self, limit: int) -> None:
        """Start with nothing in use."""
        self._limit = limit
        self.used = 0

    def try_take(self, size: int) -> bool:
        """Take bytes if the limit allows it; return whether it did."""
        if self.used + size > self._limit:
            return False
        self.used += size
        return True

    def release(self, size: int) -> None:
        """Give back bytes that are no longer in use."""
        self.used -= size
