"""The retry budget that all entry VMs share, and the part of one VM."""

from collections import defaultdict, deque
from dataclasses import dataclass, field
from typing import Final

#: Part of the shared budget that is handed out. Requests of one window count
#: for the next in another VM's figures, so some stays unused.
_HANDED_OUT: Final = 0.8


@dataclass(frozen=True, slots=True)
class BudgetTerms:
    """Sends beyond the first that all VMs may make together.

    In each window of ``window_ms`` a service may get ``ratio`` times its
    requests, and ``slack`` more.
    """

    ratio: float
    slack: int
    window_ms: int


@dataclass(slots=True)
class _Usage:
    requests: deque[int] = field(default_factory=deque)
    retries: deque[int] = field(default_factory=deque)


class RetryBudget:
    """Counts requests and retries by service in a sliding window."""

    def __init__(self, terms: BudgetTerms) -> None:
        """Start with nothing counted and as the only VM."""
        self._terms = terms
        self._usage: defaultdict[str, _Usage] = defaultdict(_Usage)
        #: Entry VMs that share the slack.
        self.vms = 1

    def count_request(self, service: str, now: int) -> None:
        """Count the first send of a request."""
        self._usage[service].requests.append(now)

    def take(self, service: str, now: int) -> bool:
        """Take one retry from the budget if there is one."""
        usage = self._usage[service]
        since = now - self._terms.window_ms
        for times in (usage.requests, usage.retries):
            while times and times[0] <= since:
                times.popleft()
        slack = self._terms.slack / self.vms
        allowed = self._terms.ratio * len(usage.requests) + slack
        if len(usage.retries) + 1 > allowed * _HANDED_OUT:
            return False
        usage.retries.append(now)
        return True
