"""Decides which upstream takes which shards.

A grant travels only in the answer to a check-in. So shards without an owner
are taken by upstreams as they check in, and a shard is released as its owner
checks in, if another upstream will check in soon after it has been freed.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

import xxhash

from ibisjunction.fleet.model import FleetState, Shard, Shards, Upstream

#: Shards per upstream when the keys of a service are first divided.
_SHARDS_PER_UPSTREAM: Final = 10
#: Bounds the first division, for the size of the state.
_MAX_SHARDS: Final = 1024
#: Shards that one upstream may have. An answer to a check-in is at most 4 KiB,
#: and a shard takes 27 bytes of it, or 43 with the token of a hand-over.
MAX_OWNED: Final = 90
#: Utilisation below which an upstream keeps its shards: requests rarely wait.
_CALM: Final = 0.3
#: An upstream gives shards away above this multiple of the mean utilisation.
_HIGH: Final = 1.2
#: The taker's utilisation after a move is at most this part of the giver's
#: before it, so that a shard that is busy by itself does not go to and fro.
_GAIN: Final = 0.9
#: Part of a service's requests that may be without an owner because of moves.
_MAX_MOVING: Final = 0.3
#: Part that may be without an owner when a shard above that bound moves.
_FEW_MOVING: Final = 0.05
#: A shard with more than this utilisation of its owner is divided.
_SPLIT_ABOVE: Final = 0.15
#: A taker's check-in should arrive in this time after the giver's. A giver
#: frees keys within 100 ms once it has finished their requests.
_TAKE_AFTER_MS: Final = 140
_TAKE_BEFORE_MS: Final = 650
#: Shards that an upstream without any gets from the one with the most.
_NEWCOMER_SHARDS: Final = 2
#: Overload that an upstream accepts for each interval of check-ins that shards
#: have been free, so that none waits for one that does not check in.
_FULLNESS_PER_INTERVAL: Final = 0.5
_FULL: Final = 1.05
#: Name and start of a process of an upstream.
Process = tuple[str, int]
#: Digits to which rates of free shards are compared, in requests each second.
_RATE_DIGITS: Final = 1


@dataclass(frozen=True, slots=True)
class Member:
    """An upstream that may own shards.

    ``capacity`` is in requests each second; ``next_ms`` is when its next
    check-in is expected.
    """

    upstream: Upstream
    capacity: float
    next_ms: int


@dataclass(slots=True)
class ServiceView:
    """One service as the balance sees it; ``rates`` belong to the shards.

    ``weight_s`` is the time in seconds over which the rates were counted.
    ``promised`` names the process that is to take a shard once it is free, by
    the shard's first key. ``resting`` are the first keys of shards that moved
    a short time ago and stay where they are.
    """

    service: str
    shards: Shards
    rates: list[float]
    members: tuple[Member, ...]
    weight_s: float = math.inf
    promised: dict[int, Process] = field(default_factory=dict)
    resting: frozenset[int] = frozenset()
    _owned: dict[Process, list[int]] = field(default_factory=dict)
    _loads: dict[Process, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Index the shards by owner, or by who is to take them."""
        for position, shard in enumerate(self.shards):
            process: Process | None = (shard.owner, shard.born)
            if shard.owner and not shard.is_releasing:
                self._owned.setdefault((shard.owner, shard.born), []).append(
                    position,
                )
            else:
                process = self.promised.get(shard.first)
            if process is not None:
                load = self._loads.get(process, 0)
                self._loads[process] = load + self.rates[position]

    @property
    def capacity(self) -> float:
        """Capacity of all members."""
        return sum(member.capacity for member in self.members)

    @property
    def rate(self) -> float:
        """Requests each second of all shards."""
        return sum(self.rates)

    @property
    def unserved_rate(self) -> float:
        """Requests each second of shards that nobody serves."""
        return sum(
            rate
            for shard, rate in zip(self.shards, self.rates, strict=True)
            if shard.is_releasing or not shard.owner
        )

    def load_on(self, member: Member) -> float:
        """Return the requests each second of a member's shards.

        Those that are on their way to it count, or several upstreams would
        give shards to the same idle one at once.
        """
        return self._loads.get(process_of(member), 0)

    def utilisation(self, member: Member) -> float:
        """Return the part of a member's capacity that is used."""
        return self.load_on(member) / member.capacity

    def is_busy(self, member: Member) -> bool:
        """Return whether a member has more than its share of the load.

        What chance makes of a few requests is left out.
        """
        mean = self.rate / self.capacity
        load = self.load_on(member)
        chance = math.sqrt(max(0, load) / self.weight_s) / member.capacity
        limit = max(_CALM, mean * _HIGH, mean + chance)
        return self.utilisation(member) >= limit

    def owned_by(self, member: Member) -> list[int]:
        """Return the positions of a member's shards that stay with it."""
        return self._owned.get(process_of(member), [])

    def find_member(self, upstream: Upstream) -> Member | None:
        """Return the member that is this process."""
        return next(
            (one for one in self.members if one.upstream == upstream),
            None,
        )


@dataclass(frozen=True, slots=True)
class Move:
    """Shards that one member gives up for another."""

    firsts: tuple[int, ...]
    taker: Member


def process_of(member: Member) -> Process:
    """Return what names the process of a member."""
    return (member.upstream.upstream, member.upstream.born)


def count_shards(state: FleetState, service: str) -> int:
    """Return into how many shards the keys of a service are divided first."""
    wanted = len(state.list_upstreams(service)) * _SHARDS_PER_UPSTREAM
    return max(1, min(wanted, _MAX_SHARDS))


def choose_free(
    view: ServiceView,
    taker: Member,
    reserved: Iterable[int],
    promised: Iterable[int],
    waited_intervals: float,
) -> list[int]:
    """Return the first keys of the shards that an upstream takes.

    :param reserved: first keys that other upstreams are about to take.
    :param promised: first keys that were released for this one.
    :param waited_intervals: intervals of check-ins that shards have been free.
    """
    free = _rank_free(view, frozenset(reserved), frozenset(promised))
    fullness = _FULL + _FULLNESS_PER_INTERVAL * max(0, waited_intervals - 1)
    fair = view.rate * taker.capacity / view.capacity
    room = fair * fullness - view.load_on(taker)
    limit = MAX_OWNED - len(view.owned_by(taker))
    taken: list[int] = []
    for is_promised, rate, first in free:
        if len(taken) >= limit:
            break
        if is_promised:
            taken.append(first)
        elif room > 0:
            taken.append(first)
            room -= rate
    return taken


def find_large(view: ServiceView, owner: Member) -> list[Shard]:
    """Return an owner's shards that are too busy to be moved as a whole."""
    if not view.is_busy(owner):
        return []
    limit = find_split_limit(view, owner)
    return [
        view.shards[position]
        for position in view.owned_by(owner)
        if view.rates[position] > limit
        and view.shards[position].last > view.shards[position].first
    ]


def find_split_limit(view: ServiceView, owner: Member) -> float:
    """Return the requests each second above which a shard is divided."""
    mean = view.rate / view.capacity
    return max(_SPLIT_ABOVE, mean / 2) * owner.capacity


def plan_moves(view: ServiceView, giver: Member, now: int) -> list[Move]:
    """Return what an upstream that checks in now is to give up."""
    newcomer = _find_newcomer(view, giver, now)
    if newcomer is not None:
        return [newcomer]
    if not view.is_busy(giver):
        return []
    plan = _MovePlan(view, giver, _list_takers(view, giver, now))
    # Shards that fit into the excess go first, the busiest ones first: moves
    # are few, and a shard that is busy by itself stays where it is if what is
    # beside it can go.
    ranked = sorted(
        view.owned_by(giver),
        key=view.rates.__getitem__,
        reverse=True,
    )
    for position in ranked:
        if view.rates[position] <= plan.excess:
            plan.try_to_move(position)
    for position in reversed(ranked):
        plan.try_to_move(position)
    return plan.list_moves()


def _list_takers(view: ServiceView, giver: Member, now: int) -> list[Member]:
    """Return the members that will check in soon after the giver."""
    return [
        member
        for member in view.members
        if _TAKE_AFTER_MS <= member.next_ms - now <= _TAKE_BEFORE_MS
        and member is not giver
        and len(view.owned_by(member)) < MAX_OWNED
    ]


class _MovePlan:
    """The shards that one member gives up, and who takes each."""

    def __init__(
        self,
        view: ServiceView,
        giver: Member,
        takers: list[Member],
    ) -> None:
        self._view = view
        self._giver = giver
        self._takers = takers
        self._loads = {
            process_of(member): view.load_on(member)
            for member in (giver, *takers)
        }
        self._budget = view.rate * _MAX_MOVING - view.unserved_rate
        self._idle = view.rate * _FEW_MOVING
        self._chosen: dict[Process, list[int]] = {}
        self._moved: set[int] = set()

    @property
    def excess(self) -> float:
        """Requests each second that the giver has above its share."""
        mean = self._view.rate / self._view.capacity
        fair = mean * _FULL * self._giver.capacity
        return self._loads[process_of(self._giver)] - fair

    def try_to_move(self, position: int) -> None:
        """Move a shard if its taker stays less used than its giver was.

        By how much the giver's utilisation falls does not count: a finely
        divided range moves in many parts, each of which lowers it a little.
        """
        rate = self._view.rates[position]
        if not self._is_movable(position) or not self._takers:
            return
        taker = min(self._takers, key=lambda one: self._after(one, rate))
        if self._after(taker, rate) > self._after(self._giver, 0) * _GAIN:
            return
        self._loads[process_of(taker)] += rate
        self._loads[process_of(self._giver)] -= rate
        self._budget -= rate
        self._moved.add(position)
        first = self._view.shards[position].first
        self._chosen.setdefault(process_of(taker), []).append(first)

    def list_moves(self) -> list[Move]:
        """Return what was chosen, by taker."""
        return [
            Move(tuple(self._chosen[process_of(taker)]), taker)
            for taker in self._takers
            if process_of(taker) in self._chosen
        ]

    def _is_movable(self, position: int) -> bool:
        is_resting = self._view.shards[position].first in self._view.resting
        is_left = position not in self._moved and not is_resting
        # A single key may have more of the load than the budget. It may move
        # while nothing else does.
        is_first = not self._moved and self._view.unserved_rate <= self._idle
        fits = is_first or self._view.rates[position] <= self._budget
        return self.excess > 0 and is_left and fits

    def _after(self, member: Member, rate: float) -> float:
        """Return a member's utilisation with so many requests more."""
        return (self._loads[process_of(member)] + rate) / member.capacity


def _find_newcomer(
    view: ServiceView,
    giver: Member,
    now: int,
) -> Move | None:
    """Return a move to an upstream that owns nothing yet.

    It happens even while all upstreams are calm: one without keys can't take
    over when another is lost, and its speed stays unknown.
    """
    owned = view.owned_by(giver)
    most = max(len(view.owned_by(member)) for member in view.members)
    if len(owned) < max(2, most) or view.unserved_rate > 0:
        return None
    for member in view.members:
        is_soon = _TAKE_AFTER_MS <= member.next_ms - now <= _TAKE_BEFORE_MS
        if is_soon and not view.owned_by(member):
            ranked = sorted(owned, key=view.rates.__getitem__)
            chosen = ranked[-_NEWCOMER_SHARDS:]
            firsts = tuple(view.shards[position].first for position in chosen)
            return Move(firsts, member)
    return None


def _rank_free(
    view: ServiceView,
    reserved: frozenset[int],
    promised: frozenset[int],
) -> list[tuple[bool, float, int]]:
    """Return whether promised, rate and first key of free shards.

    Busy keys are close to one another, so shards of about the same rate are
    taken in an order that does not follow their keys.
    """
    free = [
        (shard.first in promised, rate, shard.first)
        for shard, rate in zip(view.shards, view.rates, strict=True)
        if not shard.owner and shard.first not in reserved
    ]
    return sorted(free, key=_order_free, reverse=True)


def _order_free(free: tuple[bool, float, int]) -> tuple[bool, float, int]:
    is_promised, rate, first = free
    return (is_promised, round(rate, _RATE_DIGITS), _scatter(first))


def _scatter(first: int) -> int:
    """Return a number that differs widely for neighbouring keys."""
    return xxhash.xxh3_64_intdigest(first.to_bytes(4))
