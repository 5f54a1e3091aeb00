"""How processes of upstreams enter and leave the state of the fleet."""

import functools
from dataclasses import replace

from ibisjunction.fleet.commands import AdmitUpstream, AdmitUpstreams
from ibisjunction.fleet.model import FleetState, Upstream


def admit_upstreams(
    state: FleetState, command: AdmitUpstream | AdmitUpstreams
) -> FleetState:
    """Add processes; those that they replace have ended and hold no shards."""
    match command:
        case AdmitUpstream(upstream=upstream):
            return _admit(state, upstream)
        case AdmitUpstreams(upstreams=upstreams):
            return _admit_all(state, upstreams)


def remove_upstream(state: FleetState, name: str, born: int) -> FleetState:
    """Remove a process; the shards that it owned have no owner any more."""
    found = state.upstreams.get(name)
    if found is None or found.born != born:
        return state
    upstreams = dict(state.upstreams)
    upstreams.pop(name)
    shards = dict(state.shards)
    for service, service_shards in state.shards.items():
        shards[service] = tuple(
            shard.without_owner('') if shard.is_owned_by(found) else shard
            for shard in service_shards
        )
    return replace(state, upstreams=upstreams, shards=shards)


def _admit(state: FleetState, upstream: Upstream) -> FleetState:
    """Add a process; one that it replaces has ended and holds no shards."""
    conflicting = state.find_conflicting(upstream.upstream, upstream.address)
    if any(other.born > upstream.born for other in conflicting):
        return state
    for other in conflicting:
        if other.born != upstream.born or other.upstream != upstream.upstream:
            state = remove_upstream(state, other.upstream, other.born)
    admitted = _keep_mark(state, upstream)
    upstreams = state.upstreams | {upstream.upstream: admitted}
    return replace(state, upstreams=upstreams)


def _keep_mark(state: FleetState, upstream: Upstream) -> Upstream:
    """Return the record; a process that leaves already goes on to leave.

    The record may be older than the departure, which may be confirmed.
    """
    found = state.upstreams.get(upstream.upstream)
    if found is None or found.process_key != upstream.process_key:
        return upstream
    if found.is_draining and not upstream.is_draining:
        return replace(upstream, is_draining=True)
    return upstream


def _admit_all(
    state: FleetState, upstreams: tuple[Upstream, ...]
) -> FleetState:
    """Add processes in turn, with one copy of all if none replaces another."""
    names = {upstream.upstream for upstream in upstreams}
    addresses = {upstream.address for upstream in upstreams}
    is_distinct = len(upstreams) == len(names) == len(addresses)
    has_conflict = any(
        other.process_key != upstream.process_key
        for upstream in upstreams
        for other in state.find_conflicting(upstream.upstream, upstream.address)
    )
    if has_conflict or not is_distinct:
        return functools.reduce(_admit, upstreams, state)
    admitted = {
        upstream.upstream: _keep_mark(state, upstream) for upstream in upstreams
    }
    return replace(state, upstreams=state.upstreams | admitted)
