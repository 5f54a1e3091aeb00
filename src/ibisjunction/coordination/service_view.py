"""Snapshot of a sharded service and its upstreams for load balancing."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from ibisjunction.fleet.model import ProcessKey, Shard, Shards, Upstream

#: Shards that one upstream may have. An answer to a check-in is at most 4 KiB,
#: and a shard takes 27 bytes of it, or 43 with the token of a hand-over.
MAX_SHARDS_PER_UPSTREAM: Final = 90
#: Assignments and moves aim at up to this multiple of an upstream's share of
#: the load.
MAX_SHARE_RATIO: Final = 1.05
#: Part of the load of an upstream from which on one shard dominates it.
_DOMINATING_SHARE: Final = 0.5
#: Part of that utilisation from which on the load over a longer time counts.
_NEARLY_BUSY_RATIO: Final = 0.75
#: Utilisation from which an upstream gives shards away, as a multiple of the
#: mean.
_OVERLOAD_RATIO: Final = 1.2


@dataclass(frozen=True, slots=True)
class MoveRule:
    """When an upstream has so much load that moving keys is worth it.

    Below ``busy_utilisation`` it keeps its shards: its requests wait less than
    those for a shard that moves. ``deviations`` is by how many standard
    deviations of a random number of requests it must exceed the mean. ``None``
    allows for the one of ``n`` upstreams that chance loads most, which is
    ``sqrt(2 ln n)`` of them from the mean.
    """

    busy_utilisation: float = 0.7
    deviations: float | None = None

    def count_deviations(self, members: int) -> float:
        """Return the deviations that chance explains for so many members."""
        if self.deviations is None:
            return math.sqrt(2 * math.log(max(2, members)))
        return self.deviations


@dataclass(frozen=True, slots=True)
class Member:
    """An upstream that may own shards.

    ``capacity`` is in requests per second; ``next_check_in_ms`` is when its
    next check-in is expected.
    """

    upstream: Upstream
    capacity: float
    next_check_in_ms: int

    @property
    def process_key(self) -> ProcessKey:
        """The key of the member's process."""
        return self.upstream.process_key


@dataclass(slots=True)
class ServiceView:
    """Load and ownership of one service.

    ``rates`` are the requests per second of the shards, in the same order.
    ``window_s`` is the time in seconds over which the rates were counted.
    ``reserved`` maps the first key of a shard to the key of the process that
    gets it once it is free. ``recently_moved`` contains the first keys of
    shards that were moved a short time ago and stay with their owner.
    ``assigning`` contains those of free shards whose assignment is proposed.

    A view serves several check-ins of a large fleet, so what it derives from
    all shards and members is computed once, and :meth:`mark_assigned` and
    :meth:`mark_released` record what an earlier check-in caused.
    """

    service: str
    shards: Shards
    rates: list[float]
    members: tuple[Member, ...]
    window_s: float = math.inf
    reserved: dict[int, ProcessKey] = field(default_factory=dict)
    recently_moved: frozenset[int] = frozenset()
    assigning: frozenset[int] = frozenset()
    rule: MoveRule = field(default_factory=MoveRule)
    #: Capacity of all members.
    capacity: float = field(init=False, default=0)
    #: Requests per second of all shards.
    rate: float = field(init=False, default=0)
    #: Requests per second of shards without a serving owner.
    unserved_rate: float = field(init=False, default=0)
    #: Most shards that a member owns, without releasing ones.
    max_owned: int = field(init=False, default=0)
    #: Positions of the shards that may be assigned.
    free: set[int] = field(init=False, default_factory=set)
    #: The shards that were free at first in the order in which they are
    #: assigned; set when it is first needed.
    ranked_free: list[int] | None = field(init=False, default=None)
    _owned: dict[ProcessKey, list[int]] = field(default_factory=dict)
    _loads: dict[ProcessKey, float] = field(default_factory=dict)
    _positions: dict[int, int] = field(init=False, default_factory=dict)
    _by_key: dict[ProcessKey, Member] = field(init=False, default_factory=dict)

    def __post_init__(self) -> None:
        """Index the shards by owner or reservation, and the members."""
        for position, shard in enumerate(self.shards):
            self._positions[shard.first] = position
            if shard.owner and not shard.is_releasing:
                process_key = (shard.owner, shard.born)
                self._owned.setdefault(process_key, []).append(position)
                self._add_load(process_key, position)
            else:
                self._add_unserved(position, shard)
        self._by_key = {one.process_key: one for one in self.members}
        self.capacity = sum(member.capacity for member in self.members)
        self.rate = sum(self.rates)
        self.max_owned = max(
            (len(self.owned_by(member)) for member in self.members), default=0
        )

    def mark_assigned(self, firsts: Iterable[int], target: Member) -> None:
        """Record that free shards are being assigned to a member."""
        for first in firsts:
            position = self._positions[first]
            self.free.discard(position)
            if first not in self.reserved:
                self._add_load(target.process_key, position)

    def mark_released(
        self, firsts: Iterable[int], source: Member, target: Member
    ) -> None:
        """Record that shards are being released for another member."""
        for first in firsts:
            position = self._positions[first]
            self._owned[source.process_key].remove(position)
            self._loads[source.process_key] -= self.rates[position]
            self._add_load(target.process_key, position)
            self.unserved_rate += self.rates[position]
        self.reserved.update(dict.fromkeys(firsts, target.process_key))
        self.recently_moved |= frozenset(firsts)

    def _add_unserved(self, position: int, shard: Shard) -> None:
        self.unserved_rate += self.rates[position]
        if not shard.owner and shard.first not in self.assigning:
            self.free.add(position)
        process_key = self.reserved.get(shard.first)
        if process_key is not None:
            self._add_load(process_key, position)

    def _add_load(self, process_key: ProcessKey, position: int) -> None:
        load = self._loads.get(process_key, 0)
        self._loads[process_key] = load + self.rates[position]

    def load_on(self, member: Member) -> float:
        """Return the requests per second of a member's shards.

        Shards that are reserved for it count too. Otherwise several upstreams
        would give shards to the same idle member at once.
        """
        return self._loads.get(member.process_key, 0)

    def utilisation(self, member: Member) -> float:
        """Return the part of a member's capacity that is used."""
        return self.load_on(member) / member.capacity

    def find_dominating(self, member: Member) -> int | None:
        """Return the shard that makes up most of a member's load, if any.

        Dispatchers let the requests for other keys pass those for a busy key,
        so such a shard is no reason to move the others.
        """
        owned = self.owned_by(member)
        busiest = max(owned, key=self.rates.__getitem__, default=None)
        if busiest is None:
            return None
        limit = self.load_on(member) * _DOMINATING_SHARE
        return busiest if self.rates[busiest] >= limit else None

    def other_load_on(self, member: Member) -> float:
        """Return the load of a member without a shard that dominates it."""
        dominating = self.find_dominating(member)
        load = self.load_on(member)
        return load if dominating is None else load - self.rates[dominating]

    def is_busy(self, member: Member) -> bool:
        """Return whether a member has more than its share of the load."""
        return self._exceeds_share(member, self.load_on(member))

    def is_overloaded(self, member: Member) -> bool:
        """Return whether a member should give up shards.

        That is so if it is busy without the shard that dominates it.
        """
        return self._exceeds_share(member, self.other_load_on(member))

    def may_be_busy(self, member: Member, rule: MoveRule) -> bool:
        """Return whether a member is close to the load at which it is busy."""
        limit = rule.busy_utilisation * _NEARLY_BUSY_RATIO
        return self.utilisation(member) >= limit and self.is_above_mean(member)

    def _exceeds_share(self, member: Member, load: float) -> bool:
        """Return whether a load is more than a member's share.

        A cold member keeps its shards: a move takes about as long as it stays
        cold. It only gets no more of them than its limit carries.

        The limit allows for random variation of a small number of requests.
        """
        if member.upstream.is_cold:
            return False
        mean = self.rate / self.capacity
        deviation = math.sqrt(max(0, load) / self.window_s) / member.capacity
        margin = deviation * self.rule.count_deviations(len(self.members))
        limit = max(
            self.rule.busy_utilisation, mean * _OVERLOAD_RATIO, mean + margin
        )
        return load / member.capacity >= limit

    def is_above_mean(self, member: Member) -> bool:
        """Return whether a member is busier than the mean of all."""
        return self.utilisation(member) > self.rate / self.capacity

    def owned_by(self, member: Member) -> list[int]:
        """Return the positions of a member's shards, without releasing ones."""
        return self._owned.get(member.process_key, [])

    def describe(self, member: Member) -> str:
        """Return a member's load and the mean of all, for the log."""
        mean = self.rate / self.capacity
        return (
            f'{member.upstream.upstream} at {self.utilisation(member):.2f},'
            f' mean {mean:.2f}'
        )

    def find_member(self, upstream: Upstream) -> Member | None:
        """Return the member that is this process."""
        member = self._by_key.get(upstream.process_key)
        if member is None or member.upstream != upstream:
            return None
        return member
