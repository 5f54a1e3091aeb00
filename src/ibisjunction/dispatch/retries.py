"""The retry budget of one upstream.

Each first attempt adds a fraction of a retry to the budget, so retries stay
that fraction of the requests, however many requests fail.
"""

from dataclasses import dataclass, replace
from typing import Final

_RETRIES_PER_FIRST_ATTEMPT: Final = 0.1
#: Most retries that accumulate. They cover the requests in flight on all slots
#: of an upstream that closes its connections.
_MAX_AVAILABLE_RETRIES: Final = 10.0


@dataclass(frozen=True, slots=True)
class RetryBudget:
    """The number of retries that are available."""

    available: float = _MAX_AVAILABLE_RETRIES


def charge_attempt(budget: RetryBudget, attempt: int) -> RetryBudget | None:
    """Return the budget after an attempt, or None if it has no retry left.

    :param attempt: earlier attempts of the same request that were sent.
    """
    if attempt == 0:
        return replace(
            budget,
            available=min(
                budget.available + _RETRIES_PER_FIRST_ATTEMPT,
                _MAX_AVAILABLE_RETRIES,
            ),
        )
    if budget.available < 1:
        return None
    return replace(budget, available=budget.available - 1)
