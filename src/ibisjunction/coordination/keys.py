"""Plans assignment, release and splits of shards on the leader."""

from collections.abc import Iterator
from typing import Final

from ibisjunction.coordination.balance import (
    choose_free_shards,
    count_initial_shards,
    find_shards_to_split,
    find_split_limit,
)
from ibisjunction.coordination.calls import CheckIn, GrantedRange
from ibisjunction.coordination.cold import find_cold_rate
from ibisjunction.coordination.liveness import Liveness
from ibisjunction.coordination.loads import Horizon, LoadTracker
from ibisjunction.coordination.moves import plan_moves
from ibisjunction.coordination.planned import PlannedCommand
from ibisjunction.coordination.reservations import ShardReservations
from ibisjunction.coordination.service_view import (
    MAX_SHARDS_PER_UPSTREAM,
    Member,
    MoveRule,
    ServiceView,
)
from ibisjunction.coordination.timing import FleetTiming
from ibisjunction.coordination.view_cache import PendingAssignments, ViewCache
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

#: An upstream without a check-in for more than this many intervals gets no
#: keys.
_MAX_SILENT_INTERVALS: Final = 2.5
#: Time from the check-in of a service's first upstream, or from a later
#: election, to the division of its keys, so that the other upstreams have
#: checked in too.
_INITIAL_DIVISION_DELAY_MS: Final = 2000
#: Shards that one command may split off from a shard.
_MAX_NEW_SHARDS: Final = 8


class KeyPlanner:
    """Plans the moves of keys of one leader, and tracks those in progress."""

    def __init__(
        self,
        timing: FleetTiming,
        liveness: Liveness,
        load_tracker: LoadTracker,
        views: ViewCache | None = None,
        lasting_rule: MoveRule | None = None,
    ) -> None:
        """Start without moves in progress.

        :param views: by default, views are shared in a large fleet.
        :param lasting_rule: the rule for the load over a longer time.
        """
        self._rules = {
            Horizon.SHORT: MoveRule(),
            Horizon.LONG: lasting_rule or MoveRule(),
        }
        self._timing = timing
        self._liveness = liveness
        self._load_tracker = load_tracker
        self._reservations = ShardReservations()
        self._views = views or ViewCache()
        self._assignments = PendingAssignments()
        self._division_delay_starts_ms: dict[str, int] = {}
        self._free_since_ms: dict[str, int] = {}
        self._recorded_services: set[str] = set()

    def record_state_change(
        self,
        earlier: FleetState,
        state: FleetState,
        now: int,
    ) -> None:
        """Record since when services have had free shards, and new holds.

        A split shard has the hold of its original: the owner may hold it for
        as long as the last answer before the split granted.
        """
        for service, shards in state.shards.items():
            before = earlier.shards.get(service, ())
            if shards is before and service in self._recorded_services:
                continue
            self._recorded_services.add(service)
            self._assignments.remove_owned(service, shards)
            for original, split in find_split_shards(before, shards):
                self._liveness.copy_hold_to_split_shard(
                    service, original.first, split.first
                )
            if all(shard.owner for shard in shards):
                self._free_since_ms.pop(service, None)
            else:
                self._free_since_ms.setdefault(service, now)

    def plan_check_in(
        self,
        state: FleetState,
        call: CheckIn,
        upstream: Upstream,
        now: int,
    ) -> Iterator[PlannedCommand]:
        """Yield the commands that a check-in of an upstream causes."""
        for shard in state.list_owned(upstream):
            if _is_whole_shard_held(call, shard):
                self._liveness.record_reported_hold(
                    call.service,
                    shard,
                    call.sequence,
                )
        if upstream.is_draining or state.is_evacuated(upstream):
            yield from self.plan_release_all(state, upstream)
        freed = tuple(self._find_freed(state, call, upstream))
        if freed:
            yield PlannedCommand(
                FreeShards(call.service, freed),
                f'{upstream.upstream} gave them up',
            )
        view = self._find_view(state, call.service, now)
        member = view.find_member(upstream)
        if member is not None:
            yield from self._plan_assignment(view, member, now)
            yield from self._plan_rebalancing(state, view, member, now)

    def plan_release_all(
        self,
        state: FleetState,
        upstream: Upstream,
    ) -> Iterator[PlannedCommand]:
        """Yield the release of all keys of an upstream that gets no more."""
        owned = [
            shard
            for shard in state.list_owned(upstream)
            if not shard.is_releasing
        ]
        why = f'{upstream.upstream} leaves'
        yield from self._plan_release(upstream.service, owned, why)

    def plan_periodic(
        self,
        state: FleetState,
        service: str,
        now: int,
    ) -> Iterator[PlannedCommand]:
        """Yield the commands that a service needs and no check-in triggers."""
        shards = state.shards.get(service)
        if shards is None:
            has_upstreams = bool(state.list_upstreams(service))
            if has_upstreams and self._is_initial_delay_over(service, now):
                yield PlannedCommand(
                    DivideKeys(service, count_initial_shards(state, service)),
                    'its first upstreams have checked in',
                )
            return
        expired = tuple(
            FreedShard(shard.first, shard.fence)
            for shard in shards
            if shard.owner and not self._liveness.is_held(service, shard, now)
        )
        if expired:
            yield PlannedCommand(
                FreeShards(service, expired),
                'their holds are over',
            )
        yield from self._plan_splits(self._make_view(state, service, now))

    def grant_keys(
        self,
        state: FleetState,
        upstream: Upstream,
        call: CheckIn,
        now: int,
    ) -> tuple[GrantedRange, ...]:
        """Extend the holds of an upstream's shards and return the grants.

        The token of a hand-over is left out once the upstream holds the keys,
        because the size of the answer is limited.
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
                    '' if _is_whole_shard_held(call, shard) else shard.handover,
                ),
            )
        return tuple(grants)

    def _plan_assignment(
        self,
        view: ServiceView,
        target: Member,
        now: int,
    ) -> Iterator[PlannedCommand]:
        if not view.free:
            return
        upstream = target.upstream
        free_since_ms = self._free_since_ms.get(view.service, now)
        chosen = choose_free_shards(
            view,
            target,
            self._reservations.list_reserved_for_others(
                view.service, upstream, now
            ),
            self._reservations.list_reserved_for(view.service, upstream, now),
            (now - free_since_ms) / self._timing.check_in_ms,
        )
        if chosen:
            why = f'free, and {upstream.upstream} checks in'
            why = f'{why}; {view.describe(target)}'
            view.mark_assigned(chosen, target)
            self._assignments.add(view.service, chosen, now)
            command = AssignShards(
                view.service,
                upstream.upstream,
                upstream.born,
                tuple(chosen),
            )
            yield PlannedCommand(command, why)

    def _plan_rebalancing(
        self,
        state: FleetState,
        view: ServiceView,
        source: Member,
        now: int,
    ) -> Iterator[PlannedCommand]:
        moves = plan_moves(view, source, now)
        if not moves and view.may_be_busy(source, self._rules[Horizon.LONG]):
            # A lasting difference that is small beside the random variation
            # over a short time shows over a longer one.
            view = self._find_view(state, view.service, now, Horizon.LONG)
            source = view.find_member(source.upstream) or source
            moves = plan_moves(view, source, now)
        if not moves:
            return
        targets = ', '.join(view.describe(move.target) for move in moves)
        why = f'{view.describe(source)}; for {targets}'
        for move in moves:
            self._reservations.add(view.service, move.firsts, move.target, now)
            view.mark_released(move.firsts, source, move.target)
        self._views.keep_only(view)
        firsts = {first for move in moves for first in move.firsts}
        # The view may be older than the state. A release of a shard that has
        # another owner by now would show a check-in of the wrong process.
        moved = [
            shard
            for shard in state.list_owned(source.upstream)
            if shard.first in firsts and not shard.is_releasing
        ]
        yield from self._plan_release(view.service, moved, why)

    def _plan_release(
        self,
        service: str,
        shards: list[Shard],
        why: str,
    ) -> Iterator[PlannedCommand]:
        """Yield the release of shards of one owner.

        The command for shards that the owner has reported as held includes the
        sequence of the latest check-in that did so. Shards that it has not
        reported yet have no such sequence, so another command releases them.
        """
        sequences = {
            shard.first: self._liveness.find_reporting_sequence(service, shard)
            for shard in shards
        }
        reported = [
            first for first in sequences if sequences[first] is not None
        ]
        unreported = [first for first in sequences if sequences[first] is None]
        if reported:
            latest = max(sequences[first] or 0 for first in reported)
            command = ReleaseShards(service, tuple(reported), latest)
            yield PlannedCommand(command, why)
        if unreported:
            yield PlannedCommand(ReleaseShards(service, tuple(unreported)), why)

    def _find_freed(
        self,
        state: FleetState,
        call: CheckIn,
        upstream: Upstream,
    ) -> Iterator[FreedShard]:
        """Yield the releasing shards that a process reports as given up.

        A check-in may arrive long after it was sent, and a range that it
        reports as freed may have been granted to the sender again since. So a
        check-in counts only if it was sent after another one that reported the
        shard as held.
        """
        for shard in state.list_owned(upstream):
            reporting_sequence = self._liveness.find_reporting_sequence(
                call.service, shard
            )
            if not shard.is_releasing or reporting_sequence is None:
                continue
            is_held = any(
                _overlaps(hold.first, hold.last, shard) for hold in call.holds
            )
            freed = _find_covering_range(call, shard)
            is_later = call.sequence > reporting_sequence
            if is_later and freed is not None and not is_held:
                yield freed

    def _plan_splits(self, view: ServiceView) -> Iterator[PlannedCommand]:
        """Yield splits of shards that are too busy to be moved undivided."""
        for owner in view.members:
            limit = find_split_limit(view, owner) / 2
            max_new_shards = MAX_SHARDS_PER_UPSTREAM - len(view.owned_by(owner))
            for shard in find_shards_to_split(view, owner):
                split_keys = self._load_tracker.find_split_keys(
                    view.service,
                    shard,
                    limit,
                    min(max_new_shards, _MAX_NEW_SHARDS),
                )
                max_new_shards -= len(split_keys)
                if split_keys:
                    command = SplitShard(view.service, shard.first, split_keys)
                    yield PlannedCommand(
                        command, f'busy; {view.describe(owner)}'
                    )

    def _is_initial_delay_over(self, service: str, now: int) -> bool:
        started_ms = self._division_delay_starts_ms.setdefault(service, now)
        return now >= started_ms + _INITIAL_DIVISION_DELAY_MS

    def _find_view(
        self,
        state: FleetState,
        service: str,
        now: int,
        horizon: Horizon = Horizon.SHORT,
    ) -> ServiceView:
        """Return a view that is recent enough for a check-in."""
        view = self._views.find(service, horizon, now)
        if view is None:
            view = self._make_view(state, service, now, horizon)
            self._views.add(view, horizon, now)
        return view

    def _make_view(
        self,
        state: FleetState,
        service: str,
        now: int,
        horizon: Horizon = Horizon.SHORT,
    ) -> ServiceView:
        limit_ms = self._timing.check_in_ms * _MAX_SILENT_INTERVALS
        members = []
        for upstream in state.list_upstreams(service):
            silent_ms = self._liveness.silent_ms(upstream, now)
            is_leaving = upstream.is_draining or state.is_evacuated(upstream)
            if is_leaving or silent_ms > limit_ms:
                continue
            capacity = self._load_tracker.speeds.capacity_of(
                upstream, now, find_cold_rate(state, upstream)
            )
            next_check_in_ms = now - silent_ms + self._timing.check_in_ms
            members.append(Member(upstream, capacity, next_check_in_ms))
        shards = state.shards.get(service, ())
        rates = self._load_tracker.rates_of(service, shards, horizon)
        return ServiceView(
            service,
            shards,
            rates,
            tuple(members),
            self._load_tracker.window_s(service, horizon),
            self._reservations.list_targets(service, now),
            self._reservations.list_recently_moved(service, now),
            self._assignments.list_firsts(service, now),
            self._rules[horizon],
        )


def _find_covering_range(call: CheckIn, shard: Shard) -> FreedShard | None:
    """Return a shard as freed if a freed range of the check-in covers it.

    The token of a range is valid for each of its parts.
    """
    for freed_range in call.freed:
        if freed_range.first <= shard.first and shard.last <= freed_range.last:
            return FreedShard(shard.first, shard.fence, freed_range.handover)
    return None


def _is_whole_shard_held(call: CheckIn, shard: Shard) -> bool:
    """Return whether a check-in reports a whole shard as held."""
    return any(
        hold.first <= shard.first
        and shard.last <= hold.last
        and hold.fence == shard.fence
        for hold in call.holds
    )


def _overlaps(first: int, last: int, shard: Shard) -> bool:
    return first <= shard.last and shard.first <= last
