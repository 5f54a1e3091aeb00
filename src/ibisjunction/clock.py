"""Time in whole milliseconds.

Every deadline, lease and timeout in the package is an ``int`` read from a
:class:`Clock`. Decisions receive the current time as an argument, so tests
drive them with a :class:`ManualClock`.
"""

import time
from typing import Final, Protocol

_NS_PER_MS: Final = 1_000_000

#: Milliseconds in one second, to convert times given in seconds.
MS_PER_S: Final = 1000


class Clock(Protocol):
    """Source of the current time."""

    def now(self) -> int:
        """Return the current time in milliseconds; it never decreases."""


class SystemClock:
    """The time since the VM booted.

    ``CLOCK_BOOTTIME`` also counts the time during which a VM was suspended, so
    leases that ran out meanwhile are expired when the VM resumes.
    """

    def now(self) -> int:
        """Return milliseconds since boot."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NS_PER_MS


class ManualClock:
    """A clock that advances only by :meth:`advance`."""

    def __init__(self, start_ms: int = 0) -> None:
        """Start at ``start_ms``."""
        self._now_ms = start_ms

    def now(self) -> int:
        """Return the time that was set."""
        return self._now_ms

    def advance(self, delta_ms: int) -> int:
        """Move forward by ``delta_ms`` and return the new time.

        :raises ValueError: if ``delta_ms`` is negative.
        """
        if delta_ms < 0:
            raise ValueError(f'time cannot move back by {-delta_ms} ms')
        self._now_ms += delta_ms
        return self._now_ms


def in_seconds(duration_ms: int) -> float:
    """Convert milliseconds to the seconds that asyncio expects."""
    return duration_ms / MS_PER_S
