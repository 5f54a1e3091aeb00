"""What a dispatcher learns about one upstream.

The limit of concurrent requests is decided from answers only. Reports of the
upstream about itself can be stale or misleading; they may delay a rise of the
limit, and do nothing else.
"""

import bisect
from collections import deque
from dataclasses import dataclass, replace
from typing import Final

from ibisjunction.dispatch.messages import ResultKind

#: Samples of service time kept; the median of 64 is moved by no minority of
#: slow requests, and at 100 requests/s it follows a change within 0.4 s.
_SAMPLES: Final = 64
_TAIL_PERCENT: Final = 90
_PERCENT: Final = 100

#: Successes in a row before a cold upstream gets one more slot.
_RAMP_SUCCESSES: Final = 3
#: Successes in a row before a slot that was shed is tried again. The number
#: doubles with each trial that is shed, up to the longest.
_PROBE_SUCCESSES: Final = 16
_LONGEST_PROBE: Final = 256
#: Pause of an upstream that sheds its only request; doubles up to the longest.
_FIRST_PAUSE_MS: Final = 10
_LONGEST_PAUSE_MS: Final = 500
#: A report of the upstream counts for this long.
_REPORT_MS: Final = 1000


class ServiceTimes:
    """Median and tail of the last service times, in ms."""

    def __init__(self) -> None:
        """Start without samples."""
        self._recent: deque[int] = deque()
        self._sorted: list[int] = []

    def add(self, service_ms: int) -> None:
        """Count one request; the oldest of 64 samples is dropped."""
        self._recent.append(service_ms)
        bisect.insort(self._sorted, service_ms)
        if len(self._recent) > _SAMPLES:
            oldest = bisect.bisect_left(self._sorted, self._recent.popleft())
            self._sorted.pop(oldest)

    @property
    def median_ms(self) -> int:
        """The median, or 0 without samples."""
        return self._at(_PERCENT // 2)

    @property
    def tail_ms(self) -> int:
        """The time within which 9 of 10 requests ended, or 0."""
        return self._at(_TAIL_PERCENT)

    def _at(self, percent: int) -> int:
        if not self._sorted:
            return 0
        return self._sorted[len(self._sorted) * percent // _PERCENT]


@dataclass(frozen=True, slots=True)
class LearnedLimit:
    """Concurrent requests that an upstream is given now.

    ``needed`` is the number of successes in a row before the next rise. The
    limit last fell at ``fell_ms``; a shed request that was sent before says
    nothing new.
    """

    slots: int
    current: int = 1
    successes: int = 0
    needed: int = _RAMP_SUCCESSES
    fell_ms: int = -1
    pause_ms: int = 0
    paused_until_ms: int = 0
    busy_until_ms: int = 0

    def allowed(self, now: int) -> int:
        """Return how many requests may be outstanding."""
        return 0 if now < self.paused_until_ms else self.current


def learn(
    limit: LearnedLimit,
    kind: ResultKind,
    issued_ms: int,
    now: int,
) -> LearnedLimit:
    """Return the limit after a request that was issued at ``issued_ms``."""
    match kind:
        case ResultKind.SUCCEEDED:
            return _count_success(limit, now)
        case ResultKind.SHED if issued_ms > limit.fell_ms:
            return _lower(limit, now)
        case _:
            return limit


def restart(limit: LearnedLimit) -> LearnedLimit:
    """Return the limit of the same upstream after it restarted cold."""
    return LearnedLimit(limit.slots)


def note_report(limit: LearnedLimit, is_busy: bool, now: int) -> LearnedLimit:
    """Return the limit after the upstream reported its own load.

    A report that it is busy delays the next rise; one that it is idle counts
    for nothing, since it can be stale.
    """
    return replace(limit, busy_until_ms=now + _REPORT_MS * is_busy)


def _count_success(limit: LearnedLimit, now: int) -> LearnedLimit:
    successes = limit.successes + 1
    limit = replace(limit, successes=successes, pause_ms=0)
    if successes < limit.needed or limit.current >= limit.slots:
        return limit
    if now < limit.busy_until_ms:
        return limit
    return replace(limit, successes=0, current=limit.current + 1)


def _lower(limit: LearnedLimit, now: int) -> LearnedLimit:
    needed = min(max(limit.needed * 2, _PROBE_SUCCESSES), _LONGEST_PROBE)
    lowered = replace(limit, successes=0, needed=needed, fell_ms=now)
    if limit.current > 1:
        return replace(lowered, current=limit.current - 1)
    pause_ms = min(
        max(limit.pause_ms * 2, _FIRST_PAUSE_MS),
        _LONGEST_PAUSE_MS,
    )
    return replace(lowered, pause_ms=pause_ms, paused_until_ms=now + pause_ms)
