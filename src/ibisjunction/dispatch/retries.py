"""The retry budget of one upstream.

First attempts earn a fraction of a retry each, so retries stay that fraction
of the requests, however many requests fail.
"""

from dataclasses import dataclass, replace
from typing import Final

_EARNED: Final = 0.1
#: Retries that can be saved up; it covers the requests in flight on all slots
#: of an upstream that closes its connections.
_MOST_SAVED: Final = 10.0


@dataclass(frozen=True, slots=True)
class RetryBudget:
    """Retries that may be made now."""

    saved: float = _MOST_SAVED


def spend(budget: RetryBudget, attempt: int) -> RetryBudget | None:
    """Return the budget after an attempt, or nothing if it is not covered.

    :param attempt: earlier attempts of the same request that were sent.
    """
    if attempt == 0:
        return replace(budget, saved=min(budget.saved + _EARNED, _MOST_SAVED))
    if budget.saved < 1:
        return None
    return replace(budget, saved=budget.saved - 1)
