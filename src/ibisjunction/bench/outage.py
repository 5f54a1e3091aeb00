"""Compares scopes of a circuit breaker when requests are retried.

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
_ARRIVAL_INTERVAL_MS: Final = 10
_BACKOFF_MS: Final = (100, 200, 400)
#: Time until the upstream refuses a connection.
_REFUSAL_MS: Final = 1
_MEDIAN_FRACTION: Final = 0.5
_TAIL_FRACTION: Final = 0.99
#: Settings of the published experiment: 5 failures open the breaker for 5 s.
_OPEN_MS: Final = 5000
_PUBLISHED_POLICY: Final = BreakerPolicy(
    failures=5,
    origins=1,
    initial_open_ms=_OPEN_MS,
    max_open_ms=_OPEN_MS,
)

BreakerScope = Literal['none', 'around the retries', 'each attempt']


@dataclass(slots=True)
class Outage:
    """Simulates an outage with one arrangement of breaker and retries."""

    scope: BreakerScope
    policy: BreakerPolicy
    has_budget: bool = False
    attempts: int = 0
    failed_after_ms: list[int] = field(default_factory=list)
    _breaker: Breaker = Closed()
    _budget: RetryBudget = RetryBudget()

    def run(self) -> None:
        """Run until every request has failed.

        A request whose next attempt would come after the outage fails without
        that attempt.
        """
        sequence_numbers = itertools.count()
        events = [
            (start_ms, next(sequence_numbers), start_ms, 0)
            for start_ms in range(0, _OUTAGE_MS, _ARRIVAL_INTERVAL_MS)
        ]
        while events:
            now, _, start_ms, attempt = heapq.heappop(events)
            retry_ms = self._simulate_attempt(
                now, attempt, f'request-{start_ms}'
            )
            if retry_ms is None or retry_ms >= _OUTAGE_MS:
                self.failed_after_ms.append(now + _REFUSAL_MS - start_ms)
                continue
            event = (retry_ms, next(sequence_numbers), start_ms, attempt + 1)
            heapq.heappush(events, event)

    def _simulate_attempt(
        self, now: int, attempt: int, origin: str
    ) -> int | None:
        """Make an attempt and return when the next one follows, if any.

        A breaker around the retries gets the result of the last attempt only.
        """
        if self._refuse_or_charge(now, attempt):
            return None
        self.attempts += 1
        is_last = attempt == len(_BACKOFF_MS)
        if self.scope == 'each attempt' or is_last:
            self._breaker = apply_result(
                self._breaker,
                ResultKind.UNREACHED,
                origin,
                now,
                now + _REFUSAL_MS,
                self.policy,
            )
        if is_last:
            return None
        return now + _REFUSAL_MS + _BACKOFF_MS[attempt]

    def _refuse_or_charge(self, now: int, attempt: int) -> bool:
        """Return whether the budget or the breaker refuses an attempt.

        The budget is charged first, also for an attempt that the breaker then
        refuses. An attempt that a half-open breaker permits is its probe.
        """
        if self.has_budget:
            budget = charge_attempt(self._budget, attempt)
            if budget is None:
                return True
            self._budget = budget
        if self.scope == 'none' or (
            self.scope == 'around the retries' and attempt
        ):
            return False
        self._breaker = advance_time(self._breaker, now)
        if isinstance(self._breaker, Open):
            return True
        is_probing = getattr(self._breaker, 'has_probe', False)
        self._breaker = start_probe(self._breaker)
        return is_probing


def compare_breakers(output: IO[str]) -> int:
    """Print the attempts made and the time until requests fail."""
    output.write('outage of 10 s, 100 requests/s, up to 3 retries\n')
    for name, outage in _list_arrangements():
        outage.run()
        output.write(f'  {name:32} {_format_result(outage)}\n')
    return 0


def _list_arrangements() -> Iterator[tuple[str, Outage]]:
    default_policy = BreakerPolicy()
    yield 'no breaker', Outage('none', _PUBLISHED_POLICY)
    yield 'around the retries', Outage('around the retries', _PUBLISHED_POLICY)
    yield 'each attempt', Outage('each attempt', _PUBLISHED_POLICY)
    yield 'budget alone', Outage('none', default_policy, has_budget=True)
    yield 'each attempt, own settings', Outage('each attempt', default_policy)
    yield (
        'the same with a budget',
        Outage('each attempt', default_policy, has_budget=True),
    )


def _format_result(outage: Outage) -> str:
    times_ms = sorted(outage.failed_after_ms)
    mean_ms = sum(times_ms) / len(times_ms)
    median_ms = times_ms[int(len(times_ms) * _MEDIAN_FRACTION)]
    tail_ms = times_ms[int(len(times_ms) * _TAIL_FRACTION)]
    attempts_per_s = outage.attempts * MS_PER_S / _OUTAGE_MS
    return (
        f'{outage.attempts} attempts ({attempts_per_s:.1f}/s); failed after'
        f' {mean_ms:.0f} ms mean, {median_ms} median, {tail_ms} p99'
    )
