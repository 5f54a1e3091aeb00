"""Decides which shards an upstream gives up, and for whom.

A grant travels only in the answer to a check-in. So a shard is released as its
owner checks in, if another upstream will check in soon after it is free.
"""

from dataclasses import dataclass
from typing import Final

from ibisjunction.coordination.service_view import (
    FULL,
    MAX_OWNED,
    Member,
    ServiceView,
)
from ibisjunction.fleet.model import Process

#: The taker's utilisation after a move is at most this part of the giver's
#: before it, so that a shard that is busy by itself does not go to and fro.
_GAIN: Final = 0.9
#: Part of a service's requests that may be without an owner because of moves.
_MAX_MOVING: Final = 0.3
#: Part that may be without an owner when a shard above that bound moves.
_FEW_MOVING: Final = 0.05
#: A taker's check-in should arrive in this time after the giver's. A giver
#: frees keys within 100 ms once it has finished their requests.
_TAKE_AFTER_MS: Final = 140
_TAKE_BEFORE_MS: Final = 650
#: Shards that an upstream without any gets from the one with the most.
_NEWCOMER_SHARDS: Final = 2


@dataclass(frozen=True, slots=True)
class Move:
    """Shards that one member gives up for another."""

    firsts: tuple[int, ...]
    taker: Member


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
            member.process: view.load_on(member) for member in (giver, *takers)
        }
        self._budget = view.rate * _MAX_MOVING - view.unserved_rate
        self._idle = view.rate * _FEW_MOVING
        self._chosen: dict[Process, list[int]] = {}
        self._moved: set[int] = set()

    @property
    def excess(self) -> float:
        """Requests each second that the giver has above its share."""
        mean = self._view.rate / self._view.capacity
        fair = mean * FULL * self._giver.capacity
        return self._loads[self._giver.process] - fair

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
        self._loads[taker.process] += rate
        self._loads[self._giver.process] -= rate
        self._budget -= rate
        self._moved.add(position)
        first = self._view.shards[position].first
        self._chosen.setdefault(taker.process, []).append(first)

    def list_moves(self) -> list[Move]:
        """Return what was chosen, by taker."""
        return [
            Move(tuple(self._chosen[taker.process]), taker)
            for taker in self._takers
            if taker.process in self._chosen
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
        return (self._loads[member.process] + rate) / member.capacity


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
