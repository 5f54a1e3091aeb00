"""The service times and the adaptive concurrency limit of one upstream.

The limit is adjusted by the results of requests only. Reports of the upstream
about itself can be stale or misleading; they may delay a rise of the limit,
and have no other effect.
"""

import bisect
from collections import deque
from dataclasses import dataclass, replace
from typing import Final

from ibisjunction.dispatch.messages import ResultKind

#: Number of service times that are kept. No minority of slow requests moves the
#: median of 64, and at 100 requests/s it follows a change within 0.4 s.
_SAMPLE_COUNT: Final = 64
_TAIL_PERCENT: Final = 90
_PERCENT: Final = 100

#: Successes since the last rise before a cold upstream gets one more slot.
_RAMP_SUCCESSES: Final = 3
#: Successes after a shed request before the limit rises again. The number
#: doubles with each further shed request, up to the maximum.
_RECOVERY_SUCCESSES: Final = 16
_MAX_RECOVERY_SUCCESSES: Final = 256
#: Pause of an upstream that sheds its only request; doubles up to the maximum.
_INITIAL_PAUSE_MS: Final = 10
_MAX_PAUSE_MS: Final = 500
#: A load report of the upstream is valid for this long.
_REPORT_VALIDITY_MS: Final = 1000


class ServiceTimes:
    """Median and tail of the most recent service times, in ms."""

    def __init__(self) -> None:
        """Start without samples."""
        self._recent: deque[int] = deque()
        self._sorted: list[int] = []

    def add(self, service_ms: int) -> None:
        """Add the service time of one request; only the last 64 are kept."""
        self._recent.append(service_ms)
        bisect.insort(self._sorted, service_ms)
        if len(self._recent) > _SAMPLE_COUNT:
            oldest_index = bisect.bisect_left(
                self._sorted, self._recent.popleft()
            )
            self._sorted.pop(oldest_index)

    @property
    def median_ms(self) -> int:
        """The median, or 0 without samples."""
        return self._percentile(_PERCENT // 2)

    @property
    def tail_ms(self) -> int:
        """The time within which 9 of 10 requests ended, or 0."""
        return self._percentile(_TAIL_PERCENT)

    def _percentile(self, percent: int) -> int:
        if not self._sorted:
            return 0
        return self._sorted[len(self._sorted) * percent // _PERCENT]


@dataclass(frozen=True, slots=True)
class AdaptiveLimit:
    """The limit of concurrent requests at an upstream.

    ``current`` is the limit and ``slots`` its maximum. ``successes`` counts
    the successes since the last rise or shed request, and the limit rises at
    ``successes_needed``, but not before ``busy_until_ms``. A limit of one isn't
    lowered; instead requests pause for ``pause_ms``, until ``paused_until_ms``.
    The limit was last lowered, or the last pause began, at ``lowered_ms``; a
    shed request whose ticket was issued before has no effect, since it gives no
    new information.
    """

    slots: int
    current: int = 1
    successes: int = 0
    successes_needed: int = _RAMP_SUCCESSES
    lowered_ms: int = -1
    pause_ms: int = 0
    paused_until_ms: int = 0
    busy_until_ms: int = 0

    def max_outstanding(self, now: int) -> int:
        """Return how many requests may be outstanding."""
        return 0 if now < self.paused_until_ms else self.current


def adjust_limit(
    limit: AdaptiveLimit,
    kind: ResultKind,
    issued_ms: int,
    now: int,
) -> AdaptiveLimit:
    """Return the limit after the result of an attempt.

    :param issued_ms: time at which the ticket of the attempt was issued.
    """
    match kind:
        case ResultKind.SUCCEEDED:
            return _count_success(limit, now)
        case ResultKind.SHED if issued_ms > limit.lowered_ms:
            return _apply_shed(limit, now)
        case _:
            return limit


def reset_limit(limit: AdaptiveLimit) -> AdaptiveLimit:
    """Return the initial limit, for an upstream that restarted cold."""
    return AdaptiveLimit(limit.slots)


def apply_load_report(
    limit: AdaptiveLimit, is_busy: bool, now: int
) -> AdaptiveLimit:
    """Return the limit after the upstream reported its own load.

    A report that it is busy delays the next rise; one that it is idle ends the
    delay, but does not raise the limit, since it can be stale.
    """
    return replace(limit, busy_until_ms=now + _REPORT_VALIDITY_MS * is_busy)


def _count_success(limit: AdaptiveLimit, now: int) -> AdaptiveLimit:
    successes = limit.successes + 1
    limit = replace(limit, successes=successes, pause_ms=0)
    if successes < limit.successes_needed or limit.current >= limit.slots:
        return limit
    if now < limit.busy_until_ms:
        return limit
    return replace(limit, successes=0, current=limit.current + 1)


def _apply_shed(limit: AdaptiveLimit, now: int) -> AdaptiveLimit:
    successes_needed = min(
        max(limit.successes_needed * 2, _RECOVERY_SUCCESSES),
        _MAX_RECOVERY_SUCCESSES,
    )
    lowered = replace(
        limit, successes=0, successes_needed=successes_needed, lowered_ms=now
    )
    if limit.current > 1:
        return replace(lowered, current=limit.current - 1)
    pause_ms = min(
        max(limit.pause_ms * 2, _INITIAL_PAUSE_MS),
        _MAX_PAUSE_MS,
    )
    return replace(lowered, pause_ms=pause_ms, paused_until_ms=now + pause_ms)
