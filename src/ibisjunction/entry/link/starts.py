"""Decides when a large body is sent for, so that its slot is not wasted.

Answers the load of many uploads at once on a slow link: each of them would get
a slot of an upstream at once, and hold it while the others cross the link. So a
request asks for its ticket only when the link can soon pass its body.

The class does no I/O and reads no clock.
"""

from dataclasses import dataclass
from typing import Final

from ibisjunction.entry.link.model import Transfer, find_turn_order

#: Bodies are started while the link passes what is started in this time. It
#: covers the round trip for a ticket, so that the link does not run empty.
START_AHEAD_MS: Final = 150
#: A body that is started and does not pass counts for this time. Its request
#: waits for an upstream, and others may use the link meanwhile.
MAX_IDLE_MS: Final = 300


@dataclass(slots=True)
class _Started:
    left: int
    active_ms: int


@dataclass(frozen=True, slots=True)
class _Waiting:
    transfer: Transfer
    size: int


class StartQueue:
    """Bodies that wait to be started, and those under way."""

    def __init__(self, bytes_per_ms: float) -> None:
        """Start without bodies.

        :param bytes_per_ms: rate at which bodies pass the link.
        """
        self._ahead_bytes = bytes_per_ms * START_AHEAD_MS
        self._waiting: dict[int, _Waiting] = {}
        self._started: dict[int, _Started] = {}

    @property
    def waiting_bytes(self) -> int:
        """Bytes of the bodies that wait to be started."""
        return sum(waiting.size for waiting in self._waiting.values())

    def add(self, transfer: Transfer, size: int) -> None:
        """Let a body wait to be started."""
        self._waiting[transfer.number] = _Waiting(transfer, size)

    def record_passed(self, number: int, size: int, now: int) -> None:
        """Record that a piece of a started body has passed."""
        started = self._started.get(number)
        if started is not None:
            started.left = max(0, started.left - size)
            started.active_ms = now

    def end(self, number: int) -> None:
        """Forget a body, whether it has passed or not."""
        self._waiting.pop(number, None)
        self._started.pop(number, None)

    def take_due(self, now: int) -> list[Transfer]:
        """Start what the link can soon pass, and return it."""
        due = []
        while self._waiting and self._count_started(now) < self._ahead_bytes:
            first = self._take_first(now)
            self._started[first.transfer.number] = _Started(first.size, now)
            due.append(first.transfer)
        return due

    def _take_first(self, now: int) -> _Waiting:
        first = min(
            self._waiting.values(),
            key=lambda waiting: find_turn_order(waiting.transfer, now),
        )
        return self._waiting.pop(first.transfer.number)

    def find_next_ms(self, now: int) -> int | None:
        """Return when time alone may start the next body, if one waits."""
        if not self._waiting:
            return None
        idle_times = [
            started.active_ms + MAX_IDLE_MS + 1
            for started in self._started.values()
        ]
        return min((time for time in idle_times if time > now), default=None)

    def _count_started(self, now: int) -> int:
        return sum(
            started.left
            for started in self._started.values()
            if now - started.active_ms <= MAX_IDLE_MS
        )
