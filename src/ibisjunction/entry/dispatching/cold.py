"""Bounds the requests that a cold upstream gets from all VMs together.

A cold upstream crashes if it gets well above its rate. Several VMs may decide
on its requests at the same time: dispatchers change as VMs come and go, and a
VM decides by itself while a dispatcher is silent. So each dispatcher has a
fixed part of the bound, by its rank among the dispatchers of the queue.

A dispatcher can't tell when a request that it granted arrives: the grant may
wait at a link. So a request counts from its grant until one second after it has
ended. Whenever it arrives in between, no second holds more arrivals than were
counted at once.
"""

import math
from collections import deque
from dataclasses import dataclass, field
from typing import Final

from ibisjunction.clock import MS_PER_S

#: The bound holds for any period of this length.
_WINDOW_MS: Final = MS_PER_S
#: Parts of the bound for the first dispatcher of a queue and for the one that
#: VMs ask if the first does not answer; others grant nothing. The parts add up
#: to a half, so that the dispatchers of two different lists of VMs stay within
#: the bound.
_BOUND_PARTS: Final = (0.42, 0.08)
#: Parts of the rate, by rank.
_RATE_PARTS: Final = (0.95, 0.2)
#: Requests per millisecond from a dispatcher that may grant none.
_NO_RATE: Final = 1e-9


@dataclass(frozen=True, slots=True)
class ColdTerms:
    """What cold upstreams may get beyond their rate, in any second.

    All VMs together may send ``overage`` times the rate, plus ``slack``.
    """

    overage: float = 1.5
    slack: float = 8


DEFAULT_COLD_TERMS: Final = ColdTerms()


@dataclass(frozen=True, slots=True)
class ColdLimit:
    """The limit on requests to a cold upstream.

    :ivar per_s: requests a second that it takes.
    :ivar bound: requests that it must not exceed in any second.
    """

    per_s: float
    bound: float

    @classmethod
    def from_rate(cls, per_s: float, terms: ColdTerms) -> 'ColdLimit':
        """Return the limit of an upstream that takes this rate while cold."""
        return cls(per_s, per_s * terms.overage + terms.slack)

    def count_allowed(self, rank: int) -> int:
        """Return the requests of one dispatcher that count at once."""
        if rank >= len(_BOUND_PARTS):
            return 0
        allowed = math.floor(self.bound * _BOUND_PARTS[rank])
        return max(1, allowed) if rank == 0 else allowed

    def rate_per_ms(self, rank: int) -> float:
        """Return the requests per millisecond that a dispatcher may grant."""
        if not self.count_allowed(rank):
            return _NO_RATE
        return max(_NO_RATE, self.per_s * _RATE_PARTS[rank] / MS_PER_S)


@dataclass(slots=True)
class ColdPacer:
    """Spaces the requests that one dispatcher grants to one cold upstream.

    Without a limit, nothing is counted or spaced. With one, ends of requests
    are counted before the upstream is cold too: it may become cold at any
    moment, and what it got just before counts.
    """

    limit: ColdLimit | None = None
    rank: int = 0
    _is_marked: bool = False
    _next_ms: int = 0
    #: Ends of requests in the latest second.
    _ended_ms: deque[int] = field(default_factory=deque)

    @property
    def is_cold(self) -> bool:
        """Whether requests are spaced."""
        return self.limit_per_s is not None

    @property
    def limit_per_s(self) -> float | None:
        """Requests a second from all VMs, or ``None`` without a limit."""
        if self.limit is None or not self._is_marked:
            return None
        return self.limit.per_s

    @property
    def rate_per_ms(self) -> float | None:
        """Requests per millisecond, or ``None`` without a limit."""
        if self.limit is None or not self._is_marked:
            return None
        return self.limit.rate_per_ms(self.rank)

    def update(
        self, limit: ColdLimit | None, *, is_cold: bool, now: int
    ) -> None:
        """Set the limit of the service, and whether the upstream is cold."""
        self.limit = limit
        if is_cold and not self._is_marked:
            self._next_ms = now + self._find_interval_ms()
        self._is_marked = is_cold
        if limit is None:
            self._ended_ms.clear()

    def may_send(self, in_flight: int, now: int) -> bool:
        """Return whether one more request may be granted.

        :param in_flight: granted requests that have not ended.
        """
        if self.limit is None or not self._is_marked:
            return True
        if now < self._next_ms:
            return False
        self._discard_ended(now)
        counted = in_flight + len(self._ended_ms)
        return counted < self.limit.count_allowed(self.rank)

    def record_grant(self, now: int) -> None:
        """Space the next request after one that is granted now.

        Grants are decided at ticks, so a grant that came late by less than half
        of the interval doesn't put off the next one.
        """
        if self.is_cold:
            interval_ms = self._find_interval_ms()
            earliest_ms = now + interval_ms // 2
            self._next_ms = max(earliest_ms, self._next_ms + interval_ms)

    def record_end(self, now: int) -> None:
        """Count a request that has ended, or may still be on its way."""
        if self.limit is not None:
            self._discard_ended(now)
            self._ended_ms.append(now)

    def _discard_ended(self, now: int) -> None:
        while self._ended_ms and self._ended_ms[0] < now - _WINDOW_MS:
            self._ended_ms.popleft()

    def _find_interval_ms(self) -> int:
        if self.limit is None:
            return 0
        return math.ceil(1 / self.limit.rate_per_ms(self.rank))
