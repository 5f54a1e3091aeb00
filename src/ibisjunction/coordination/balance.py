"""Decides which upstream takes which shards.

Shards without an owner are taken by upstreams as they check in, because a
grant can only travel in the answer to a check-in. Shards move between
upstreams only while few do, and where it evens out the load.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from ibisjunction.fleet.commands import (
    FleetCommand,
    ReleaseShards,
    SplitShard,
)
from ibisjunction.fleet.model import FleetState, Shard, Shards, Upstream

#: Shards per upstream when the keys of a service are first divided.
_SHARDS_PER_UPSTREAM: Final = 8
#: Bounds of the first division. An answer to a check-in is at most 4 KiB, and
#: one shard takes up to 60 bytes of it.
_MIN_SHARDS: Final = 64
_MAX_SHARDS: Final = 1024
#: An upstream gives shards away above this multiple of its fair share.
_HIGH: Final = 1.25
#: An upstream takes shards up to this multiple of its fair share.
_FULL: Final = 1.05
#: Added to the limit for each interval that shards have been free.
_FULLNESS_PER_INTERVAL: Final = 0.5
#: Shards that are on the move at a time; their keys are not served meanwhile.
_MAX_MOVING: Final = 2
#: A shard with more than this part of one upstream's fair share is divided.
_SPLIT_SHARE: Final = 0.5
#: Shards that one upstream may have; bounds the size of an answer.
_MAX_OWNED: Final = 48

LoadOf = Callable[[Shard], float]


@dataclass(frozen=True, slots=True)
class Member:
    """An upstream that may own shards; ``capacity`` is relative."""

    upstream: Upstream
    capacity: float


@dataclass(frozen=True, slots=True)
class ServiceView:
    """One service as the balance sees it."""

    service: str
    shards: Shards
    members: tuple[Member, ...]
    load_of: LoadOf

    @property
    def capacity(self) -> float:
        """Capacity of all members."""
        return sum(member.capacity for member in self.members)

    @property
    def load(self) -> float:
        """Load of all shards."""
        return sum(self.load_of(shard) for shard in self.shards)

    def fair_load(self, member: Member) -> float:
        """Return the load that fits a member's part of the capacity."""
        return self.load * member.capacity / self.capacity

    def load_on(self, member: Member) -> float:
        """Return the load of a member's shards."""
        return sum(self.load_of(shard) for shard in self.owned_by(member))

    def owned_by(self, member: Member) -> list[Shard]:
        """Return the shards of a member that stay with it."""
        return [
            shard
            for shard in self.shards
            if shard.is_owned_by(member.upstream) and not shard.is_releasing
        ]


def count_shards(state: FleetState, service: str) -> int:
    """Return into how many shards the keys of a service are divided first."""
    wanted = len(state.list_upstreams(service)) * _SHARDS_PER_UPSTREAM
    return max(_MIN_SHARDS, min(wanted, _MAX_SHARDS))


def choose_free(
    view: ServiceView,
    taker: Member,
    waited_intervals: float,
) -> list[Shard]:
    """Return the free shards that an upstream takes as it checks in.

    :param waited_intervals: intervals of check-ins that shards have been free
        for. Each lets an upstream take more than its fair share, so that no
        shard waits for an upstream that does not check in.
    """
    free = [shard for shard in view.shards if not shard.owner]
    fullness = _FULL + _FULLNESS_PER_INTERVAL * max(0, waited_intervals - 1)
    room = view.fair_load(taker) * fullness - view.load_on(taker)
    limit = _MAX_OWNED - len(view.owned_by(taker))
    taken: list[Shard] = []
    for shard in sorted(free, key=view.load_of, reverse=True):
        if room <= 0 or len(taken) >= limit:
            break
        taken.append(shard)
        room -= view.load_of(shard)
    return taken


def plan_change(view: ServiceView) -> FleetCommand | None:
    """Return one step towards an even load, if one is worth it now."""
    moving = sum(
        1 for shard in view.shards if shard.is_releasing or not shard.owner
    )
    if moving >= _MAX_MOVING or len(view.members) < 2:
        return None
    return _plan_split(view) or _plan_release(view)


def _plan_release(view: ServiceView) -> ReleaseShards | None:
    """Release a shard of the upstream that is furthest above its share.

    The least loaded upstream must stay below it after the move, or else the
    shard would come back.
    """
    giver = max(view.members, key=lambda member: _excess(view, member))
    taker = min(view.members, key=lambda member: _excess(view, member))
    if _excess(view, giver) < _HIGH:
        return None
    surplus = view.load_on(giver) - view.fair_load(giver)
    gap = view.fair_load(taker) * _FULL - view.load_on(taker)
    fitting = [
        shard
        for shard in view.owned_by(giver)
        if view.load_of(shard) <= min(gap, surplus * 2)
    ]
    if not fitting or len(view.owned_by(giver)) == 1:
        return None
    best = max(fitting, key=view.load_of)
    return ReleaseShards(view.service, (best.first,))


def _plan_split(view: ServiceView) -> SplitShard | None:
    return None


def _excess(view: ServiceView, member: Member) -> float:
    return view.load_on(member) / max(view.fair_load(member), 1e-9)
