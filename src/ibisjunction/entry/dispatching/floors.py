"""The part of the grants that each rank gets while it waits."""

from collections import defaultdict
from collections.abc import Collection
from typing import Final

#: Most grants that a rank keeps while it can't use them.
_MAX_EARNED: Final = 1


class RankFloors:
    """Counts what each rank has earned.

    A rank earns ``min_share`` of a grant with each request that arrives, and
    each grant that it gets uses up one that it has earned. So a flood of a more
    urgent rank leaves every rank that part of its own requests, and no rank is
    served more often than the more urgent ones because of it.
    """

    def __init__(self, min_share: float) -> None:
        """Start without anything earned."""
        self._min_share = min_share
        self._earned: defaultdict[int, float] = defaultdict(float)

    def list_entitled(self, waiting_ranks: Collection[int]) -> list[int]:
        """Return the waiting ranks that have earned a grant, urgent first."""
        entitled = (rank for rank in waiting_ranks if self._earned[rank] >= 1)
        return sorted(entitled)

    def record_arrival(self, rank: int) -> None:
        """Record that a request of a rank has arrived."""
        self._earned[rank] = min(
            _MAX_EARNED, self._earned[rank] + self._min_share
        )

    def record_grant(self, rank: int) -> None:
        """Record that a request of a rank was granted."""
        self._earned[rank] = max(0, self._earned[rank] - 1)
