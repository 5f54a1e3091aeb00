"""The retry budget of the entry VMs, and the share of one VM."""

from collections import defaultdict, deque
from dataclasses import dataclass, field
from typing import Final

#: Fraction of the shared budget that the VMs spend. Requests of one window may
#: count for the next one on another VM, so the rest stays unused as a margin.
_USABLE_FRACTION: Final = 0.8


@dataclass(frozen=True, slots=True)
class BudgetTerms:
    """Limit on the retries of all VMs together.

    In each window of ``window_ms``, the retries of a service may number
    ``ratio`` times its requests plus ``slack``.
    """

    ratio: float
    slack: float
    window_ms: int


@dataclass(slots=True)
class _Usage:
    """Times of the requests and retries of a service, oldest first."""

    requests: deque[int] = field(default_factory=deque)
    retries: deque[int] = field(default_factory=deque)

    def discard_until(self, window_start_ms: int) -> None:
        """Discard what is older than the window."""
        for timestamps in (self.requests, self.retries):
            while timestamps and timestamps[0] <= window_start_ms:
                timestamps.popleft()


class RetryBudget:
    """Counts requests and retries by service in a sliding window."""

    def __init__(self, terms: BudgetTerms) -> None:
        """Start with empty counts, as the only VM."""
        self._terms = terms
        self._usage: defaultdict[str, _Usage] = defaultdict(_Usage)
        #: Number of entry VMs that share the slack.
        self.vm_count = 1

    def count_request(self, service: str, now: int) -> None:
        """Count a request at its first attempt."""
        usage = self._usage[service]
        usage.requests.append(now)
        usage.discard_until(now - self._terms.window_ms)

    def try_acquire(self, service: str, now: int) -> bool:
        """Spend one retry if the budget allows it; return whether it did."""
        usage = self._usage[service]
        usage.discard_until(now - self._terms.window_ms)
        slack = self._terms.slack / self.vm_count
        allowed = self._terms.ratio * len(usage.requests) + slack
        if len(usage.retries) + 1 > allowed * _USABLE_FRACTION:
            return False
        usage.retries.append(now)
        return True
