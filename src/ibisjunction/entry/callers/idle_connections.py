"""Tracks for how long connections of callers have been idle.

One table serves all connections, so that a changed idle timeout reaches those
that are idle already without a message or a timer for each of them.

The module does no I/O and reads no clock.
"""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class IdleEnded:
    """The idle timeout of a connection has passed."""


@dataclass(slots=True)
class IdleConnections:
    """Connections without a request, by number, the longest idle first."""

    _since_ms: dict[int, int] = field(default_factory=dict)

    def add(self, number: int, now: int) -> None:
        """Record that a connection is idle, if it was not idle before."""
        self._since_ms.setdefault(number, now)

    def remove(self, number: int) -> None:
        """Record that a connection has a request or is closed."""
        self._since_ms.pop(number, None)

    def take_expired(self, timeout_ms: int, now: int) -> list[int]:
        """Remove and return the connections that were idle for a timeout."""
        expired = []
        for number, since_ms in self._since_ms.items():
            if now - since_ms < timeout_ms:
                break
            expired.append(number)
        for number in expired:
            self._since_ms.pop(number)
        return expired

    def find_next_ms(self, timeout_ms: int, now: int) -> int:
        """Return when the next connection may expire.

        A connection that becomes idle later does not expire before.
        """
        return next(iter(self._since_ms.values()), now) + timeout_ms
