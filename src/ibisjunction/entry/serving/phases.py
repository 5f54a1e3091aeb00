"""Where a request spends its time, and in which phase it was late.

No I/O; the callers pass the time.
"""

import enum
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from prometheus_client.core import CounterMetricFamily, Metric

#: A request that ends this long after the timeout of its route is reported. It
#: is half of the time in which callers expect an answer after the timeout.
LATE_AFTER_MS: Final = 250


class Phase(enum.Enum):
    """A part of the way of a request; the value is in logs and metrics."""

    READ = 'read'
    BEHIND_REQUESTS = 'behind_requests'
    LINK = 'link'
    TICKET = 'ticket'
    UPSTREAM = 'upstream'
    BETWEEN_ATTEMPTS = 'between_attempts'
    BEHIND_ANSWERS = 'behind_answers'
    WRITE = 'write'


@dataclass(slots=True)
class PhaseTimes:
    """The phases of one request in order, with the times of their starts."""

    _starts: list[tuple[Phase, int]] = field(default_factory=list)

    def enter(self, phase: Phase, now: int) -> None:
        """Start a phase, which ends the one before."""
        self._starts.append((phase, now))

    def sum_up(self, now: int, after_ms: int = 0) -> Counter[Phase]:
        """Return the milliseconds by phase.

        :param after_ms: what was spent before this time does not count.
        """
        ends = [started_ms for _, started_ms in self._starts[1:]]
        spent: Counter[Phase] = Counter()
        for (phase, started_ms), end_ms in zip(
            self._starts, (*ends, now), strict=False
        ):
            spent[phase] += max(0, end_ms - max(started_ms, after_ms))
        return spent


@dataclass(frozen=True, slots=True)
class LateRequestMeasured:
    """A request ended late; ``phase`` took most of the time after its timeout.

    ``late_ms`` counts from the timeout of its route.
    """

    phase: Phase
    late_ms: int


def find_lateness(
    phases: PhaseTimes, due_ms: int, now: int
) -> LateRequestMeasured | None:
    """Return how late a request ends that was due at ``due_ms``, if it is."""
    late_ms = now - due_ms
    if late_ms <= LATE_AFTER_MS:
        return None
    longest = phases.sum_up(now, due_ms).most_common(1)
    return LateRequestMeasured(longest[0][0], late_ms) if longest else None


@dataclass(slots=True)
class LateRequestCount:
    """Counts of late requests and of the time that they were late."""

    _requests: Counter[Phase] = field(default_factory=Counter)
    _late_ms: Counter[Phase] = field(default_factory=Counter)

    def add(self, measured: LateRequestMeasured) -> None:
        """Count a request."""
        self._requests[measured.phase] += 1
        self._late_ms[measured.phase] += measured.late_ms

    def collect(self) -> Iterator[Metric]:
        """Yield the metrics, for the exposition library."""
        for name, text, counts in (
            ('ibisjunction_late_requests', 'Late requests.', self._requests),
            (
                'ibisjunction_late_request_ms',
                'Time that late requests were late.',
                self._late_ms,
            ),
        ):
            family = CounterMetricFamily(name, text, labels=('phase',))
            for phase, count in counts.items():
                family.add_metric((phase.value,), count)
            yield family
