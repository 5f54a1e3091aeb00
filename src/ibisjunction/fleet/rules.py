"""How each command changes the state of the fleet.

Every replica applies the same commands in the same order and must reach the
same state, so the results depend on the arguments only.
"""

import bisect
import functools
import operator
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from typing import Any, Final

from ibisjunction.catalogue.model import Accepted, UpdateOutcome
from ibisjunction.fleet.admission import admit_upstreams, remove_upstream
from ibisjunction.fleet.commands import (
    AdmitUpstream,
    AdmitUpstreams,
    AllowRequests,
    AssignShards,
    BlockRequest,
    DivideKeys,
    FleetCommand,
    ForgetUpstream,
    FreedShard,
    FreeShards,
    MarkCold,
    MarkDraining,
    MarkWarm,
    ReleaseShards,
    ReplaceVoters,
    SplitShard,
    UpdateItems,
)
from ibisjunction.fleet.evacuations import (
    EvacuateDomain,
    RestoreDomain,
    change_evacuated,
)
from ibisjunction.fleet.model import (
    LAST_KEY,
    MAX_SHARDS,
    FleetState,
    ProcessKey,
    Shard,
    Shards,
    Upstream,
    list_first_keys,
)

_NO_ITEMS_CHANGED = Accepted(0)
#: Requests that are refused at the same time; each takes 9 bytes in messages.
#: The oldest is allowed again if there are more.
_MAX_BLOCKED: Final = 1024
_get_first_key: Final = operator.attrgetter('first')

Applied = tuple[FleetState, UpdateOutcome]


def apply_fleet_command(state: FleetState, command: FleetCommand) -> Applied:
    """Return the next state and the outcome of a command."""
    if isinstance(command, UpdateItems):
        catalogue, outcome = state.catalogue.apply(command.update)
        return replace(state, catalogue=catalogue), outcome
    return _apply(state, command), _NO_ITEMS_CHANGED


def _apply(state: FleetState, command: FleetCommand) -> FleetState:
    match command:
        case AdmitUpstream() | AdmitUpstreams():
            return admit_upstreams(state, command)
        case MarkDraining() | MarkCold() | MarkWarm():
            return _mark(state, command)
        case ForgetUpstream(upstream=name, born=born):
            return remove_upstream(state, name, born)
        case DivideKeys(service=service, count=count):
            return _divide(state, service, count)
        case SplitShard():
            return _split(state, command)
        case ReleaseShards() | FreeShards() | AssignShards():
            return _change_owners(state, command)
        case ReplaceVoters(voters=voters):
            return replace(state, voters=voters)
        case BlockRequest() | AllowRequests():
            return _change_blocked(state, command)
        case EvacuateDomain() | RestoreDomain():
            return change_evacuated(state, command)
        case _:
            return state


def _change_blocked(
    state: FleetState, command: BlockRequest | AllowRequests
) -> FleetState:
    match command:
        case BlockRequest(fingerprint=fingerprint):
            others = _without_requests(state.blocked, (fingerprint,))
            blocked = (*others, fingerprint)[-_MAX_BLOCKED:]
        case AllowRequests(fingerprints=fingerprints):
            blocked = _without_requests(state.blocked, fingerprints)
    return replace(state, blocked=blocked)


def _without_requests(
    blocked: tuple[int, ...], removed: Iterable[int]
) -> tuple[int, ...]:
    removed_set = frozenset(removed)
    return tuple(one for one in blocked if one not in removed_set)


def _mark(
    state: FleetState, command: MarkDraining | MarkCold | MarkWarm
) -> FleetState:
    """Change what is known of processes; others of their names stay."""
    match command:
        case MarkDraining(upstream=name, born=born):
            processes: tuple[ProcessKey, ...] = ((name, born),)
            changes: dict[str, Any] = {'is_draining': True}
        case MarkCold(processes=processes):
            changes = {'is_cold': True}
        case MarkWarm(processes=processes):
            changes = {'is_cold': False}
    marked = {
        name: replace(found, **changes)
        for name, born in processes
        if (found := state.upstreams.get(name)) and found.born == born
    }
    return replace(state, upstreams=state.upstreams | marked)


def _divide(state: FleetState, service: str, count: int) -> FleetState:
    if service in state.shards or not 0 < count <= MAX_SHARDS:
        return state
    starts = list_first_keys(count)
    divided = _split_at(Shard(0, LAST_KEY), starts[1:])
    return replace(state, shards=state.shards | {service: divided})


def _split(state: FleetState, command: SplitShard) -> FleetState:
    shards = state.shards.get(command.service, ())
    position = _find_position(shards, command.first)
    if position is not None and not shards[position].is_releasing:
        shard = shards[position]
        starts = sorted(command.starts)
        if any(not shard.first < start <= shard.last for start in starts):
            return state
        parts = _split_at(shard, starts)
        following = shards[position + 1 :]
        shards = (*shards[:position], *parts, *following)
    return replace(state, shards=state.shards | {command.service: shards})


def _split_at(shard: Shard, starts: Iterable[int]) -> Shards:
    """Split a shard before each of the sorted ``starts``."""
    firsts = [shard.first, *starts]
    lasts = [*(start - 1 for start in firsts[1:]), shard.last]
    return tuple(
        replace(shard, first=first, last=last)
        for first, last in zip(firsts, lasts, strict=True)
    )


def _change_owners(
    state: FleetState,
    command: ReleaseShards | FreeShards | AssignShards,
) -> FleetState:
    service_shards = state.shards.get(command.service, ())
    match command:
        case ReleaseShards(firsts=firsts, shown=shown):
            changed = _replace_shards(
                service_shards, firsts, functools.partial(_release, shown)
            )
        case FreeShards(freed=freed):
            by_first = {entry.first: entry for entry in freed}
            changed = _replace_shards(
                service_shards, by_first, functools.partial(_free, by_first)
            )
        case AssignShards(upstream=name, born=born, firsts=firsts):
            found = state.upstreams.get(name)
            if found is None or found.born != born or found.is_draining:
                return state
            fence = state.last_fence + 1
            changed = _replace_shards(
                service_shards,
                firsts,
                functools.partial(_assign, found, fence),
            )
            state = replace(state, last_fence=fence)
    return replace(state, shards=state.shards | {command.service: changed})


def _replace_shards(
    shards: Shards,
    firsts: Iterable[int],
    change: Callable[[Shard], Shard],
) -> Shards:
    changed = list(shards)
    for first in frozenset(firsts):
        position = _find_position(shards, first)
        if position is not None:
            changed[position] = change(shards[position])
    return tuple(changed)


def _find_position(shards: Shards, first: int) -> int | None:
    """Return the position of the shard that begins with a key, if any does."""
    position = bisect.bisect_left(shards, first, key=_get_first_key)
    if position < len(shards) and shards[position].first == first:
        return position
    return None


def _free(freed: Mapping[int, FreedShard], shard: Shard) -> Shard:
    entry = freed[shard.first]
    if not shard.owner or entry.fence != shard.fence:
        return shard
    return shard.without_owner(entry.handover)


def _release(shown: int | None, shard: Shard) -> Shard:
    if not shard.owner or shard.is_releasing:
        return shard
    return replace(shard, is_releasing=True, shown=shown)


def _assign(owner: Upstream, fence: int, shard: Shard) -> Shard:
    if shard.owner:
        return shard
    return replace(
        shard,
        owner=owner.upstream,
        born=owner.born,
        fence=fence,
        is_releasing=False,
        shown=None,
    )
