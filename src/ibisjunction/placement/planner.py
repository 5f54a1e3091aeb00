"""The placement decision."""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from ibisjunction.control.commands import (
    AssignDispatcher,
    AssignShards,
    Command,
    RemoveVm,
)
from ibisjunction.control.state import ControlState
from ibisjunction.placement.rendezvous import choose_owner


@dataclass(frozen=True, slots=True)
class PlacementInput:
    """What the planner knows.

    ``live_vms`` are the VMs whose lease may still run. ``shards`` is the
    number of shards of each published service.
    """

    state: ControlState
    live_vms: frozenset[str]
    shards: dict[str, int]


def plan_commands(known: PlacementInput) -> list[Command]:
    """Return the commands that bring the state closer to the placement."""
    return [
        *_plan_removals(known),
        *_plan_dispatchers(known),
        *_plan_assignments(known),
    ]


def _plan_removals(known: PlacementInput) -> Iterator[Command]:
    for vm, record in sorted(known.state.vms.items()):
        if vm not in known.live_vms:
            yield RemoveVm(vm, record.incarnation)


def _plan_dispatchers(known: PlacementInput) -> Iterator[Command]:
    candidates = {vm: 1.0 for vm in known.state.vms if vm in known.live_vms}
    for upstream in sorted(known.state.upstreams):
        record = known.state.dispatchers.get(upstream)
        if record is not None and record.vm in known.live_vms:
            continue
        vm = choose_owner(upstream, candidates)
        if vm is not None:
            yield AssignDispatcher(upstream, vm)


def _plan_assignments(known: PlacementInput) -> Iterator[Command]:
    for service, shards in sorted(known.shards.items()):
        weights = _weigh_upstreams(known.state, service)
        chosen = defaultdict(list)
        for shard in range(shards):
            if known.state.grant_of(service, shard) is None:
                owner = choose_owner(f'{service}/{shard}', weights)
                chosen[owner].append(shard)
        for upstream, shard_list in sorted(chosen.items(), key=str):
            if upstream is not None:
                yield AssignShards(service, upstream, tuple(shard_list))


def _weigh_upstreams(state: ControlState, service: str) -> dict[str, float]:
    return {
        record.upstream: float(record.slots)
        for record in state.upstreams.values()
        if record.service == service and not record.draining
    }
