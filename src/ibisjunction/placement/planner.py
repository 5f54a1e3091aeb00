"""Plans the owners of shards and the dispatchers of upstreams."""

import statistics
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Final

from ibisjunction.control.commands import (
    AssignDispatcher,
    AssignShards,
    BeginMove,
    Command,
    CompleteMove,
    RemoveUpstream,
    RemoveVm,
)
from ibisjunction.control.records import Grant, UpstreamRecord, VmRecord
from ibisjunction.control.state import ControlState
from ibisjunction.placement.balance import Balance
from ibisjunction.placement.rendezvous import score_candidate

#: Moves of one service at a time; moves from lost upstreams are not counted.
#: Each interrupts one shard for tens of ms, so a drain of 64 shards still takes
#: about a second.
_MAX_CONCURRENT_MOVES: Final = 4
#: A dispatcher is moved only to a VM that has at least this many dispatchers
#: fewer: a move across a gap of 1 would only swap the two counts.
_MIN_DISPATCHER_GAP: Final = 2


@dataclass(frozen=True, slots=True)
class PlacementInput:
    """The state and measurements that a plan is based on.

    ``live_vms`` are the VMs whose lease may still run. ``shards`` is the
    number of shards of each published service. ``lost`` are upstreams reported
    lost and ``expired`` those of them that certainly run no more requests;
    ``ended`` are fences of moving shards whose ownership has certainly ended.
    ``speeds`` is the measured speed of upstreams in requests per slot and
    second, 0 where the dispatcher has reported but has no measurement yet.
    Shards are moved to balance load only where each upstream of a service was
    reported, so that a new leader moves no shard before it has received the
    speeds that its predecessor had.
    """

    state: ControlState
    live_vms: frozenset[str]
    shards: dict[str, int]
    lost: frozenset[str] = frozenset()
    expired: frozenset[str] = frozenset()
    ended: frozenset[int] = frozenset()
    speeds: Mapping[str, float] = field(default_factory=dict)


def plan_commands(inputs: PlacementInput) -> list[Command]:
    """Return the commands for the next step towards the planned placement."""
    return [
        *_plan_vm_removals(inputs),
        *_plan_dispatchers(inputs),
        *_plan_move_completions(inputs),
        *_plan_upstream_removals(inputs),
        *_plan_services(inputs),
    ]


def _plan_vm_removals(inputs: PlacementInput) -> Iterator[Command]:
    for vm, record in sorted(inputs.state.vms.items()):
        if vm not in inputs.live_vms:
            yield RemoveVm(vm, record.incarnation)


def _plan_dispatchers(inputs: PlacementInput) -> Iterator[Command]:
    state = inputs.state
    spread = _DispatcherSpread(inputs)
    for upstream in sorted(state.upstreams):
        record = state.dispatchers.get(upstream)
        if record is None or record.vm not in spread.vms:
            # No epoch is replaced: there is no dispatcher, or its VM is lost,
            # and the removal of that VM, planned before, removes it.
            vm = spread.place(upstream)
            if vm is not None:
                yield AssignDispatcher(upstream, vm, replaces_epoch=0)
    yield from spread.plan_move()


class _DispatcherSpread:
    """Chooses VMs for dispatchers and counts the dispatchers of each VM.

    The VM with the fewest dispatchers is chosen. Among equals it is the one
    whose failure domain has the fewest dispatchers of the same service, so that
    the loss of a domain stops as little of each service as possible.
    """

    def __init__(self, inputs: PlacementInput) -> None:
        state = inputs.state
        self.vms: dict[str, VmRecord] = {
            vm: record
            for vm, record in state.vms.items()
            if vm in inputs.live_vms
        }
        self._inputs = inputs
        self._counts: Counter[str] = Counter()
        self._domain_counts: Counter[tuple[str, str]] = Counter()
        for upstream, record in state.dispatchers.items():
            if record.vm in self.vms:
                self._count_dispatcher(upstream, record.vm)

    def place(self, upstream: str) -> str | None:
        """Choose and record a VM for the dispatcher of an upstream."""
        costs = {vm: self._cost(upstream, vm) for vm in self.vms}
        vm = min(costs, key=costs.__getitem__, default=None)
        if vm is not None:
            self._count_dispatcher(upstream, vm)
        return vm

    def plan_move(self) -> Iterator[Command]:
        """Move one dispatcher to the best VM if the gap is large enough."""
        state = self._inputs.state
        least = min((self._counts[vm] for vm in self.vms), default=0)
        for upstream, record in sorted(state.dispatchers.items()):
            gap = self._counts[record.vm] - least
            if gap >= _MIN_DISPATCHER_GAP and self._is_movable(upstream):
                vm = self.place(upstream)
                if vm is not None:
                    yield AssignDispatcher(upstream, vm, record.epoch)
                return

    def _is_movable(self, upstream: str) -> bool:
        """Return whether an upstream may get another dispatcher.

        A lost upstream keeps its dispatcher, because a new one invalidates the
        report of the loss.
        """
        if upstream in self._inputs.lost:
            return False
        grants = self._inputs.state.grants_of(upstream)
        return all(grant.moving_to is None for grant in grants)

    def _cost(self, upstream: str, vm: str) -> tuple[int, int, float]:
        upstreams = self._inputs.state.upstreams
        service = upstreams[upstream].service
        domain = (service, self.vms[vm].failure_domain)
        score = score_candidate(upstream, vm, 1)
        return self._counts[vm], self._domain_counts[domain], -score

    def _count_dispatcher(self, upstream: str, vm: str) -> None:
        upstreams = self._inputs.state.upstreams
        service = upstreams[upstream].service
        self._counts[vm] += 1
        self._domain_counts[service, self.vms[vm].failure_domain] += 1


def _plan_move_completions(inputs: PlacementInput) -> Iterator[Command]:
    for service, grants in sorted(inputs.state.grants.items()):
        for shard, grant in sorted(grants.items()):
            if grant.moving_to is not None and grant.fence in inputs.ended:
                yield CompleteMove(service, shard, grant.fence)


def _plan_upstream_removals(inputs: PlacementInput) -> Iterator[Command]:
    for upstream, record in sorted(inputs.state.upstreams.items()):
        is_leaving = record.draining or upstream in inputs.expired
        if is_leaving and not inputs.state.grants_of(upstream):
            yield RemoveUpstream(upstream)


def _plan_services(inputs: PlacementInput) -> Iterator[Command]:
    for service, shard_count in sorted(inputs.shards.items()):
        plan = _ServicePlan(inputs, service)
        yield from plan.assign(shard_count)
        yield from plan.evacuate()
        yield from plan.rebalance()


class _ServicePlan:
    """Plans the owners of one service's shards."""

    def __init__(self, inputs: PlacementInput, service: str) -> None:
        self._inputs = inputs
        self._service = service
        self._grants = inputs.state.grants.get(service, {})
        records = [
            record
            for record in inputs.state.upstreams.values()
            if record.service == service
            and not record.draining
            and record.upstream not in inputs.lost
        ]
        self._has_all_reports = all(
            record.upstream in inputs.speeds for record in records
        )
        self._weights = weigh_upstreams(records, inputs.speeds)
        self._active_moves = sum(
            grant.moving_to is not None and grant.upstream not in inputs.lost
            for grant in self._grants.values()
        )
        owners = {
            shard: _expected_owner(grant)
            for shard, grant in self._grants.items()
        }
        self._balance = Balance(
            service,
            {
                shard: owner
                for shard, owner in owners.items()
                if owner in self._weights
            },
            self._weights,
        )

    def assign(self, shard_count: int) -> Iterator[Command]:
        """Assign the shards that have no owner."""
        shards_by_owner = defaultdict(list)
        for shard in range(shard_count):
            if shard not in self._grants:
                owner = self._balance.place(shard)
                if owner is not None:
                    shards_by_owner[owner].append(shard)
        for upstream, assigned in sorted(shards_by_owner.items()):
            yield AssignShards(self._service, upstream, tuple(assigned))

    def evacuate(self) -> Iterator[Command]:
        """Move shards away from lost and draining upstreams.

        If no upstream can take them, the shards of a lost upstream become
        unowned once it certainly runs no more requests.
        """
        for _, grant in sorted(self._grants.items()):
            if _expected_owner(grant) in self._weights:
                continue
            if self._weights:
                yield from self._move_away(grant)
            elif grant.upstream in self._inputs.expired:
                yield CompleteMove(self._service, grant.shard, grant.fence)

    def _move_away(self, grant: Grant) -> Iterator[Command]:
        """Move a shard, unless too many moves are active.

        The limit does not delay shards of lost upstreams and shards that are
        already moving.
        """
        is_lost = grant.upstream in self._inputs.lost
        if (
            is_lost
            or grant.moving_to
            or self._active_moves < _MAX_CONCURRENT_MOVES
        ):
            self._active_moves += not is_lost
            to = self._balance.place(grant.shard)
            if to is not None:
                yield self._begin_move(grant, to)

    def rebalance(self) -> Iterator[Command]:
        """Move shards to even out load, a few at a time."""
        if not self._has_all_reports:
            return
        while self._active_moves < _MAX_CONCURRENT_MOVES:
            move = self._balance.improve()
            if move is None:
                return
            grant = self._grants.get(move.shard)
            if grant is None or grant.moving_to is not None:
                return
            self._active_moves += 1
            yield self._begin_move(grant, move.upstream)

    def _begin_move(self, grant: Grant, to: str) -> BeginMove:
        return BeginMove(self._service, grant.shard, grant.fence, to)


def weigh_upstreams(
    records: Iterable[UpstreamRecord],
    speeds: Mapping[str, float],
) -> dict[str, float]:
    """Return slots times speed of each upstream.

    An upstream without a measured speed gets the median of the others.
    """
    records = list(records)
    measured = [
        speeds[record.upstream]
        for record in records
        if speeds.get(record.upstream)
    ]
    default_speed = statistics.median(measured) if measured else 1
    return {
        record.upstream: record.slots
        * (speeds.get(record.upstream) or default_speed)
        for record in records
    }


def _expected_owner(grant: Grant) -> str:
    return grant.moving_to or grant.upstream
