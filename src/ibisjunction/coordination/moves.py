"""Chooses the shards that an upstream gives up, and their targets.

A grant is sent only in the answer to a check-in. So a shard is released as its
owner checks in, if another upstream will check in soon after the shard is free.
"""

from dataclasses import dataclass
from typing import Final

from ibisjunction.coordination.service_view import (
    MAX_SHARDS_PER_UPSTREAM,
    MAX_SHARE_RATIO,
    Member,
    ServiceView,
)
from ibisjunction.fleet.model import BUCKET_KEYS, ProcessKey

#: The target's utilisation after a move is at most this part of the source's
#: before it, so that a shard that is busy by itself does not move back and
#: forth.
_MAX_TARGET_RATIO: Final = 0.9
#: The same for a shard that dominates its owner. Its requests wait during the
#: move, and it may be busy for some seconds only.
_MAX_RELOCATION_RATIO: Final = 0.75
#: Part of a service's requests that may be without an owner because of moves.
_MAX_UNSERVED_SHARE: Final = 0.3
#: A shard whose requests exceed that bound is moved only as the first one of a
#: plan, while at most this part of the service's requests is without an owner.
_LOW_UNSERVED_SHARE: Final = 0.05
#: Bounds of the time from the source's check-in to the expected check-in of a
#: target. A source frees keys within 100 ms once it has finished their
#: requests.
_MIN_CHECK_IN_DELAY_MS: Final = 140
_MAX_CHECK_IN_DELAY_MS: Final = 650
#: Shards that an upstream without shards gets from the one with the most.
_SHARDS_FOR_EMPTY_UPSTREAM: Final = 2


@dataclass(frozen=True, slots=True)
class Move:
    """Shards that their owner releases for another member."""

    firsts: tuple[int, ...]
    target: Member


def plan_moves(view: ServiceView, source: Member, now: int) -> list[Move]:
    """Return the moves of shards of an upstream that checks in now."""
    initial_move = _find_move_to_empty(view, source, now)
    if initial_move is not None:
        return [initial_move]
    if not view.is_busy(source):
        return []
    targets = _list_targets(view, source, now)
    relocation = _find_relocation(view, source, targets)
    if relocation is not None:
        return [relocation]
    if not view.is_overloaded(source):
        return []
    plan = _MovePlan(view, source, targets)
    # Shards that fit into the excess go first, the busiest ones first: moves
    # are few, and a shard that is busy by itself stays where it is if other
    # shards of its owner can move instead.
    ranked = sorted(
        view.owned_by(source),
        key=view.rates.__getitem__,
        reverse=True,
    )
    for position in ranked:
        if view.rates[position] <= plan.excess:
            plan.try_to_move(position)
    for position in reversed(ranked):
        plan.try_to_move(position)
    return plan.list_moves()


def _list_targets(view: ServiceView, source: Member, now: int) -> list[Member]:
    """Return the members that will check in soon after the source."""
    return [
        member
        for member in view.members
        if _MIN_CHECK_IN_DELAY_MS
        <= member.next_check_in_ms - now
        <= _MAX_CHECK_IN_DELAY_MS
        and member is not source
        and len(view.owned_by(member)) < MAX_SHARDS_PER_UPSTREAM
    ]


class _MovePlan:
    """The shards that one member gives up, and the target of each."""

    def __init__(
        self,
        view: ServiceView,
        source: Member,
        targets: list[Member],
    ) -> None:
        self._view = view
        self._source = source
        self._targets = targets
        self._loads = {
            member.process_key: view.load_on(member) for member in targets
        }
        self._loads[source.process_key] = view.other_load_on(source)
        self._dominating = view.find_dominating(source)
        self._unserved_budget = (
            view.rate * _MAX_UNSERVED_SHARE - view.unserved_rate
        )
        self._low_unserved_rate = view.rate * _LOW_UNSERVED_SHARE
        self._chosen: dict[ProcessKey, list[int]] = {}
        self._moved: set[int] = set()

    @property
    def excess(self) -> float:
        """Requests per second of the source above its maximum share."""
        mean = self._view.rate / self._view.capacity
        max_rate = mean * MAX_SHARE_RATIO * self._source.capacity
        return self._loads[self._source.process_key] - max_rate

    def try_to_move(self, position: int) -> None:
        """Move a shard if its target stays less utilised than its source was.

        It does not matter by how much the source's utilisation falls: a finely
        split range moves in many parts, each of which lowers it a little.
        """
        rate = self._view.rates[position]
        if not self._is_movable(position) or not self._targets:
            return
        target = min(
            self._targets,
            key=lambda member: self._utilisation_after(member, rate),
        )
        if (
            self._utilisation_after(target, rate)
            > self._utilisation_after(self._source, 0) * _MAX_TARGET_RATIO
        ):
            return
        self._loads[target.process_key] += rate
        self._loads[self._source.process_key] -= rate
        self._unserved_budget -= rate
        self._moved.add(position)
        first = self._view.shards[position].first
        self._chosen.setdefault(target.process_key, []).append(first)

    def list_moves(self) -> list[Move]:
        """Return one move for each target that gets shards."""
        return [
            Move(tuple(self._chosen[target.process_key]), target)
            for target in self._targets
            if target.process_key in self._chosen
        ]

    def _is_movable(self, position: int) -> bool:
        is_recently_moved = (
            self._view.shards[position].first in self._view.recently_moved
        )
        is_available = (
            position not in self._moved
            and position != self._dominating
            and not is_recently_moved
        )
        # The load of a single key may exceed the budget. It may move as the
        # first shard of a plan, while hardly any keys are without an owner.
        may_exceed_budget = (
            not self._moved
            and self._view.unserved_rate <= self._low_unserved_rate
        )
        fits = (
            may_exceed_budget
            or self._view.rates[position] <= self._unserved_budget
        )
        return self.excess > 0 and is_available and fits

    def _utilisation_after(self, member: Member, rate: float) -> float:
        """Return a member's utilisation if its rate grows by ``rate``."""
        return (self._loads[member.process_key] + rate) / member.capacity


def _find_relocation(
    view: ServiceView, source: Member, targets: list[Member]
) -> Move | None:
    """Return the move of a busy shard to a much faster or idler member.

    Other shards of its owner stay: they are many more keys, and dispatchers let
    their requests pass.
    """
    position = view.find_dominating(source)
    if position is None or not targets or not view.is_busy(source):
        return None
    shard = view.shards[position]
    is_movable = (
        shard.last - shard.first < BUCKET_KEYS
        and shard.first not in view.recently_moved
    )
    rate = view.rates[position]
    target = min(
        targets,
        key=lambda member: (view.load_on(member) + rate) / member.capacity,
    )
    utilisation = (view.load_on(target) + rate) / target.capacity
    limit = view.utilisation(source) * _MAX_RELOCATION_RATIO
    if not is_movable or utilisation > limit:
        return None
    return Move((shard.first,), target)


def _find_move_to_empty(
    view: ServiceView,
    source: Member,
    now: int,
) -> Move | None:
    """Return a move to an upstream that owns no shards yet.

    It is made even while no upstream is busy: an upstream without keys can't
    take over when another is lost, and its speed stays unknown.
    """
    owned = view.owned_by(source)
    if len(owned) < max(2, view.max_owned) or view.unserved_rate > 0:
        return None
    for member in view.members:
        is_soon = (
            _MIN_CHECK_IN_DELAY_MS
            <= member.next_check_in_ms - now
            <= _MAX_CHECK_IN_DELAY_MS
        )
        if is_soon and not view.owned_by(member):
            ranked = sorted(owned, key=view.rates.__getitem__)
            chosen = ranked[-_SHARDS_FOR_EMPTY_UPSTREAM:]
            firsts = tuple(view.shards[position].first for position in chosen)
            return Move(firsts, member)
    return None
