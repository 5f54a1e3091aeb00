"""Decides which rank is served next.

Urgent requests are served first. With every ticket that is issued, the credit
of each rank with queued requests grows by its ``min_share``; a rank with credit
for a whole ticket is served before the others. So an overload of one rank
leaves the others their share, and a share that a rank doesn't use is available
to the rest.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Final

from ibisjunction.services.spec import Rank, RankPolicy

#: Weight of the newest ticket in the moving average of each rank's share, which
#: follows a change within some tens of tickets.
_RECENT_WEIGHT: Final = 0.05
#: A request that waits for a slot takes two service times: it waits for one
#: request and then runs.
_SERVICE_TIMES_WITH_WAIT: Final = 2
#: Most credit, in tickets, that a rank keeps while it can't use it.
_MAX_CREDIT: Final = 2

#: Apply until the policies of the service are known: a target of 1 s, the same
#: worth and a tenth of the slots for each rank.
DEFAULT_RANK_POLICIES: Final[Mapping[Rank, RankPolicy]] = MappingProxyType(
    {rank: RankPolicy(1000, 1, 0.1) for rank in Rank},
)


def _make_zeroes() -> dict[Rank, float]:
    return dict.fromkeys(Rank, 0)


@dataclass(slots=True)
class RankShares:
    """The credit of each rank and its share of the recent tickets."""

    policies: Mapping[Rank, RankPolicy] = field(
        default_factory=lambda: DEFAULT_RANK_POLICIES,
    )
    credit: dict[Rank, float] = field(default_factory=_make_zeroes)
    recent_share: dict[Rank, float] = field(default_factory=_make_zeroes)

    def reserved_slots(self, limit: int, service_ms: int) -> int:
        """Return the number of slots reserved for urgent requests.

        One slot is reserved while urgent requests arrive and the upstream is
        so slow that a request that waits for a slot misses the urgent target.
        """
        if self.recent_share[Rank.URGENT] <= _RECENT_WEIGHT:
            return 0
        target_ms = self.policies[Rank.URGENT].target_ms
        is_slow = service_ms * _SERVICE_TIMES_WITH_WAIT > target_ms
        return int(is_slow and limit > 1)

    def order_ranks(
        self,
        waiting_ranks: Collection[Rank],
        is_reserved_slot: bool = False,
    ) -> list[Rank]:
        """Return the ranks with queued requests in the order to serve them.

        A reserved slot is open only to urgent requests and to ranks with
        credit for a whole ticket.
        """
        credited = [rank for rank in waiting_ranks if self.credit[rank] >= 1]
        credited.sort(key=self.credit.__getitem__, reverse=True)
        others = [rank for rank in waiting_ranks if rank not in credited]
        if is_reserved_slot:
            others = [rank for rank in others if rank is Rank.URGENT]
        return credited + others

    def record_ticket(
        self, issued_rank: Rank, waiting_ranks: Collection[Rank]
    ) -> None:
        """Record an issued ticket; ``waiting_ranks`` had queued requests."""
        for rank in Rank:
            used = float(rank is issued_rank)
            self.recent_share[rank] += _RECENT_WEIGHT * (
                used - self.recent_share[rank]
            )
            if rank not in waiting_ranks:
                self.credit[rank] = 0
                continue
            new_credit = (
                self.credit[rank] + self.policies[rank].min_share - used
            )
            # A rank that is served beyond its share owes one ticket at most.
            self.credit[rank] = min(max(new_credit, -1), _MAX_CREDIT)

    def expected_share(
        self, rank: Rank, waiting_ranks: Collection[Rank]
    ) -> float:
        """Return the share of the slots that a rank can expect now.

        More urgent ranks keep their recent share, and less urgent ones with
        queued requests keep their minimum.
        """
        share: float = 1
        is_more_urgent = True
        for other, recent_share in self.recent_share.items():
            if other is rank:
                is_more_urgent = False
            elif is_more_urgent:
                share -= recent_share
            elif other in waiting_ranks:
                share -= self.policies[other].min_share
        return max(self.policies[rank].min_share, share)
