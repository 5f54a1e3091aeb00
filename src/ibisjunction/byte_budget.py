"""A number of bytes that several owners share."""

from collections.abc import Callable


class ByteBudget:
    """Counts bytes in use against a limit.

    ``admits`` may refuse bytes below the limit, if others need the memory.
    ``on_change`` is called with each change of the bytes in use.
    """

    def __init__(self, limit: int) -> None:
        """Start with nothing in use."""
        self.limit = limit
        self.used = 0
        self.admits: Callable[[int], bool] = _admit
        self.on_change: Callable[[int], None] = _ignore_change

    def try_take(self, size: int) -> bool:
        """Take bytes if the limit allows it; return whether it did."""
        if self.used + size > self.limit or not self.admits(size):
            return False
        self.take(size)
        return True

    def take(self, size: int) -> None:
        """Take bytes that are already held, also above the limit."""
        self.used += size
        self.on_change(size)

    def release(self, size: int) -> None:
        """Give back bytes that are no longer in use."""
        if size:
            self.take(-size)


def _admit(size: int) -> bool:
    return True


def _ignore_change(change: int) -> None:
    """Do nothing."""
