"""Decides on the keys of sharded services while leading."""

from collections.abc import Iterator
from typing import Final

from ibisjunction.coordination.balance import (
    choose_free,
    count_shards,
    find_large,
    find_split_limit,
)
from ibisjunction.coordination.calls import CheckIn, GrantedRange
from ibisjunction.coordination.liveness import Liveness
from ibisjunction.coordination.loads import LoadBook
from ibisjunction.coordination.moves import plan_moves
from ibisjunction.coordination.planned import Planned
from ibisjunction.coordination.reservations import Reservations
from ibisjunction.coordination.service_view import (
    MAX_OWNED,
    Member,
    ServiceView,
)
from ibisjunction.coordination.timing import FleetTiming
from ibisjunction.fleet.commands import (
    AssignShards,
    DivideKeys,
    FreedShard,
    FreeShards,
    ReleaseShards,
    SplitShard,
)
from ibisjunction.fleet.model import (
    FleetState,
    Shard,
    Upstream,
    find_split_shards,
)

#: An upstream that has missed check-ins for this many intervals gets no keys.
_SILENT_INTERVALS: Final = 2.5
#: Time of the first upstream's check-in until the keys are divided, so that
#: the others have checked in too.
_GATHER_MS: Final = 2000
#: Parts after the first one into which a shard is divided at once.
_MAX_PARTS: Final = 8


class KeyPlanner:
    """The moves of keys that one leader has under way."""

    def __init__(
        self,
        timing: FleetTiming,
        liveness: Liveness,
        loads: LoadBook,
    ) -> None:
        """Start without any move."""
        self._timing = timing
        self._liveness = liveness
        self._loads = loads
        self._reservations = Reservations()
        self._gathering: dict[str, int] = {}
        self._free_since: dict[str, int] = {}

    def note_state(
        self,
        earlier: FleetState,
        state: FleetState,
        now: int,
    ) -> None:
        """Remember since when shards have had no owner, and whole holds.

        An owner may hold the parts of a divided shard for as long as the last
        answer before the division said.
        """
        for service, shards in state.shards.items():
            before = earlier.shards.get(service, ())
            for whole, part in find_split_shards(before, shards):
                self._liveness.copy_to_part(service, whole.first, part.first)
            if all(shard.owner for shard in shards):
                self._free_since.pop(service, None)
            else:
                self._free_since.setdefault(service, now)

    def plan_check_in(
        self,
        state: FleetState,
        call: CheckIn,
        upstream: Upstream,
        now: int,
    ) -> Iterator[Planned]:
        """Yield what changes as an upstream checks in."""
        for shard in state.list_owned(upstream):
            if _holds(call, shard):
                self._liveness.record_shown(
                    call.service,
                    shard,
                    call.sequence,
                )
        if upstream.is_draining:
            yield from self.plan_release_all(state, upstream)
        freed = tuple(self._find_freed(state, call, upstream))
        if freed:
            yield Planned(
                FreeShards(call.service, freed),
                f'{upstream.upstream} gave them up',
            )
        view = self._view(state, call.service, now)
        member = view.find_member(upstream)
        if member is not None:
            yield from self._plan_taking(view, member, now)
            yield from self._plan_giving(view, member, now)

    def plan_release_all(
        self,
        state: FleetState,
        upstream: Upstream,
    ) -> Iterator[Planned]:
        """Yield the release of all keys of an upstream that leaves."""
        owned = [
            shard
            for shard in state.list_owned(upstream)
            if not shard.is_releasing
        ]
        why = f'{upstream.upstream} leaves'
        yield from self._release(upstream.service, owned, why)

    def plan_service(
        self,
        state: FleetState,
        service: str,
        now: int,
    ) -> Iterator[Planned]:
        """Yield what time alone makes due for a service."""
        shards = state.shards.get(service)
        if shards is None:
            is_known = bool(state.list_upstreams(service))
            if is_known and self._has_gathered(service, now):
                yield Planned(
                    DivideKeys(service, count_shards(state, service)),
                    'its first upstreams have checked in',
                )
            return
        expired = tuple(
            FreedShard(shard.first, shard.fence)
            for shard in shards
            if shard.owner and not self._liveness.is_held(service, shard, now)
        )
        if expired:
            yield Planned(
                FreeShards(service, expired),
                'their holds are over',
            )
        yield from self._plan_splits(self._view(state, service, now))

    def grant(
        self,
        state: FleetState,
        upstream: Upstream,
        call: CheckIn,
        now: int,
    ) -> tuple[GrantedRange, ...]:
        """Return all keys that an upstream is to hold from now on.

        The token of a hand-over is left out once the upstream holds the keys,
        because the answer must stay small.
        """
        grants = []
        for shard in state.list_owned(upstream):
            if shard.is_releasing:
                continue
            self._liveness.extend_hold(upstream.service, shard, now)
            grants.append(
                GrantedRange(
                    shard.first,
                    shard.last,
                    shard.fence,
                    '' if _holds(call, shard) else shard.handover,
                ),
            )
        return tuple(grants)

    def _plan_taking(
        self,
        view: ServiceView,
        taker: Member,
        now: int,
    ) -> Iterator[Planned]:
        upstream = taker.upstream
        since = self._free_since.get(view.service, now)
        taken = choose_free(
            view,
            taker,
            self._reservations.of_others(view.service, upstream, now),
            self._reservations.of(view.service, upstream, now),
            (now - since) / self._timing.check_in_ms,
        )
        if taken:
            command = AssignShards(
                view.service,
                upstream.upstream,
                upstream.born,
                tuple(taken),
            )
            why = f'free, and {upstream.upstream} checks in'
            yield Planned(command, f'{why}; {view.describe(taker)}')

    def _plan_giving(
        self,
        view: ServiceView,
        giver: Member,
        now: int,
    ) -> Iterator[Planned]:
        moves = plan_moves(view, giver, now)
        for move in moves:
            self._reservations.add(view.service, move.firsts, move.taker, now)
        firsts = {first for move in moves for first in move.firsts}
        moved = [shard for shard in view.shards if shard.first in firsts]
        takers = ', '.join(view.describe(move.taker) for move in moves)
        why = f'{view.describe(giver)}; for {takers}'
        yield from self._release(view.service, moved, why)

    def _release(
        self,
        service: str,
        shards: list[Shard],
        why: str,
    ) -> Iterator[Planned]:
        """Yield the release of shards of one owner.

        Those that the owner has not yet said it holds are released apart from
        the others, because their release names no check-in.
        """
        shown = {
            shard.first: self._liveness.find_shown(service, shard)
            for shard in shards
        }
        known = [first for first in shown if shown[first] is not None]
        unknown = [first for first in shown if shown[first] is None]
        if known:
            latest = max(shown[first] or 0 for first in known)
            command = ReleaseShards(service, tuple(known), latest)
            yield Planned(command, why)
        if unknown:
            yield Planned(ReleaseShards(service, tuple(unknown)), why)

    def _find_freed(
        self,
        state: FleetState,
        call: CheckIn,
        upstream: Upstream,
    ) -> Iterator[FreedShard]:
        """Find the shards that a process was told to release and has.

        A check-in may arrive long after it was sent, and a range that it names
        as freed may have come back to its sender. So only one counts that was
        sent after another in which the sender held the shard.
        """
        for shard in state.list_owned(upstream):
            shown = self._liveness.find_shown(call.service, shard)
            if not shard.is_releasing or shown is None:
                continue
            is_held = any(
                _overlaps(held.first, held.last, shard) for held in call.holds
            )
            freed = _find_covering(call, shard)
            is_later = call.sequence > shown
            if is_later and freed is not None and not is_held:
                yield freed

    def _plan_splits(self, view: ServiceView) -> Iterator[Planned]:
        """Yield the division of shards that are too busy to move whole."""
        for owner in view.members:
            limit = find_split_limit(view, owner) / 2
            room = MAX_OWNED - len(view.owned_by(owner))
            for shard in find_large(view, owner):
                starts = self._loads.find_starts(
                    view.service,
                    shard,
                    limit,
                    min(room, _MAX_PARTS),
                )
                room -= len(starts)
                if starts:
                    command = SplitShard(view.service, shard.first, starts)
                    yield Planned(command, f'busy; {view.describe(owner)}')

    def _has_gathered(self, service: str, now: int) -> bool:
        since = self._gathering.setdefault(service, now)
        return now >= since + _GATHER_MS

    def _view(
        self,
        state: FleetState,
        service: str,
        now: int,
    ) -> ServiceView:
        limit_ms = self._timing.check_in_ms * _SILENT_INTERVALS
        members = []
        for upstream in state.list_upstreams(service):
            silent_ms = self._liveness.silent_ms(upstream, now)
            if upstream.is_draining or silent_ms > limit_ms:
                continue
            capacity = self._loads.capacity_of(upstream)
            next_ms = now - silent_ms + self._timing.check_in_ms
            members.append(Member(upstream, capacity, next_ms))
        shards = state.shards.get(service, ())
        rates = self._loads.rates_of(service, shards)
        return ServiceView(
            service,
            shards,
            rates,
            tuple(members),
            self._loads.weight_s(service),
            self._reservations.list_takers(service, now),
            self._reservations.list_recent(service, now),
        )


def _find_covering(call: CheckIn, shard: Shard) -> FreedShard | None:
    """Return a shard as freed if a range that was given up covers it.

    The token of a range serves for each of its parts.
    """
    for freed in call.freed:
        if freed.first <= shard.first and shard.last <= freed.last:
            return FreedShard(shard.first, shard.fence, freed.handover)
    return None


def _holds(call: CheckIn, shard: Shard) -> bool:
    """Return whether an upstream says that it holds a whole shard."""
    return any(
        held.first <= shard.first
        and shard.last <= held.last
        and held.fence == shard.fence
        for held in call.holds
    )


def _overlaps(first: int, last: int, shard: Shard) -> bool:
    return first <= shard.last and shard.first <= last
