"""Compares where the breaker is asked when requests are retried.

An upstream refuses connections for 10 s while requests arrive evenly.
"""

import heapq
import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import IO, Final, Literal

from ibisjunction.clock import MS_PER_S
from ibisjunction.dispatch.breaker import (
    Breaker,
    BreakerPolicy,
    Closed,
    Open,
    advance_time,
    apply_result,
    start_probe,
)
from ibisjunction.dispatch.messages import ResultKind
from ibisjunction.dispatch.retries import RetryBudget, charge_attempt

_OUTAGE_MS: Final = 10_000
_GAP_MS: Final = 10
_BACKOFF_MS: Final = (100, 200, 400)
_REFUSED_MS: Final = 1
_MEDIAN: Final = 0.5
_TAIL: Final = 0.99
#: The settings of the published experiment: 5 failures open it for 5 s.
_OPEN_MS: Final = 5000
_PUBLISHED: Final = BreakerPolicy(
    failures=5,
    origins=1,
    initial_open_ms=_OPEN_MS,
    max_open_ms=_OPEN_MS,
)

Place = Literal['none', 'around the retries', 'each attempt']


@dataclass(slots=True)
class Outage:
    """One way to arrange breaker and retries during an outage."""

    place: Place
    policy: BreakerPolicy
    has_budget: bool = False
    attempts: int = 0
    failed_after_ms: list[int] = field(default_factory=list)
    _breaker: Breaker = Closed()
    _budget: RetryBudget = RetryBudget()

    def run(self) -> None:
        """Run until every request has failed."""
        numbers = itertools.count()
        events = [
            (start_ms, next(numbers), start_ms, 0)
            for start_ms in range(0, _OUTAGE_MS, _GAP_MS)
        ]
        while events:
            now, _, start_ms, attempt = heapq.heappop(events)
            again_ms = self._attempt(now, attempt, f'request-{start_ms}')
            if again_ms is None or again_ms >= _OUTAGE_MS:
                self.failed_after_ms.append(now + _REFUSED_MS - start_ms)
                continue
            event = (again_ms, next(numbers), start_ms, attempt + 1)
            heapq.heappush(events, event)

    def _attempt(self, now: int, attempt: int, origin: str) -> int | None:
        """Make an attempt and return when the next one follows, if any."""
        if self._is_refused(now, attempt):
            return None
        self.attempts += 1
        is_last = attempt == len(_BACKOFF_MS)
        if self.place == 'each attempt' or is_last:
            self._breaker = apply_result(
                self._breaker,
                ResultKind.UNREACHED,
                origin,
                now,
                now + _REFUSED_MS,
                self.policy,
            )
        if is_last:
            return None
        return now + _REFUSED_MS + _BACKOFF_MS[attempt]

    def _is_refused(self, now: int, attempt: int) -> bool:
        if self.has_budget:
            budget = charge_attempt(self._budget, attempt)
            if budget is None:
                return True
            self._budget = budget
        if self.place == 'none' or (
            self.place == 'around the retries' and attempt
        ):
            return False
        self._breaker = advance_time(self._breaker, now)
        if isinstance(self._breaker, Open):
            return True
        is_probing = getattr(self._breaker, 'has_probe', False)
        self._breaker = start_probe(self._breaker)
        return is_probing


def compare_breakers(output: IO[str]) -> int:
    """Print attempts that reach the upstream and how long failures take."""
    output.write('outage of 10 s, 100 requests/s, up to 3 retries\n')
    for name, outage in _arrangements():
        outage.run()
        output.write(f'  {name:32} {_describe(outage)}\n')
    return 0


def _arrangements() -> Iterator[tuple[str, Outage]]:
    own = BreakerPolicy()
    yield 'no breaker', Outage('none', _PUBLISHED)
    yield 'around the retries', Outage('around the retries', _PUBLISHED)
    yield 'each attempt', Outage('each attempt', _PUBLISHED)
    yield 'budget alone', Outage('none', own, has_budget=True)
    yield 'each attempt, own settings', Outage('each attempt', own)
    yield 'the same with a budget', Outage('each attempt', own, has_budget=True)


def _describe(outage: Outage) -> str:
    times = sorted(outage.failed_after_ms)
    mean_ms = sum(times) / len(times)
    median_ms = times[int(len(times) * _MEDIAN)]
    tail_ms = times[int(len(times) * _TAIL)]
    per_s = outage.attempts * MS_PER_S / _OUTAGE_MS
    return (
        f'{outage.attempts} attempts ({per_s:.1f}/s); failed after'
        f' {mean_ms:.0f} ms mean, {median_ms} median, {tail_ms} p99'
    )
