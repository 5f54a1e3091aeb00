"""The control state and the rule by which each command changes it."""

import itertools
from dataclasses import dataclass, field, replace
from typing import Final, TypeVar

from ibisjunction.control.commands import (
    Accepted,
    AnnounceUpstream,
    AssignDispatcher,
    AssignShards,
    BeginMove,
    ChangeVoters,
    Command,
    CommandOutcome,
    CompleteMove,
    DrainUpstream,
    PublishRevision,
    RegisterVm,
    Rejected,
    RemoveUpstream,
    RemoveVm,
)
from ibisjunction.control.records import (
    DispatcherRecord,
    Grant,
    Publication,
    UpstreamRecord,
    VmRecord,
    VoterRecord,
)

_Key = TypeVar('_Key')
_Item = TypeVar('_Item')
#: A publication that is sent again later than this many publications after
#: its first outcome is taken for a new one, and refused for its old base.
_PUBLICATIONS_KEPT: Final = 1000


@dataclass(frozen=True)
class ControlState:
    """All state that the control log yields; never changed in place.

    ``grants`` is keyed by service and shard. ``last_fence`` and ``last_epoch``
    only grow, so no fence or epoch is issued twice. ``publications`` holds the
    last ones only, in their order. ``voters`` is empty while they are those of
    the settings.
    """

    vms: dict[str, VmRecord] = field(default_factory=dict)
    upstreams: dict[str, UpstreamRecord] = field(default_factory=dict)
    dispatchers: dict[str, DispatcherRecord] = field(default_factory=dict)
    grants: dict[str, dict[int, Grant]] = field(default_factory=dict)
    files: dict[str, str] = field(default_factory=dict)
    publications: dict[str, Publication] = field(default_factory=dict)
    revision: int = 0
    last_fence: int = 0
    last_epoch: int = 0
    voters: tuple[VoterRecord, ...] = ()

    def grant_of(self, service: str, shard: int) -> Grant | None:
        """Return the grant of a shard, or ``None`` if it has no owner."""
        return self.grants.get(service, {}).get(shard)

    def grants_of(self, upstream: str) -> list[Grant]:
        """Return the grants an upstream holds, by shard."""
        record = self.upstreams.get(upstream)
        if record is None:
            return []
        held = self.grants.get(record.service, {}).values()
        return [grant for grant in held if grant.upstream == upstream]


Applied = tuple[ControlState, CommandOutcome]


def apply_command(state: ControlState, command: Command) -> Applied:
    """Return the next state and the outcome of the command.

    Each daemon applies the same commands in the same order, so the result
    depends on the arguments only.
    """
    match command:
        case RegisterVm() | RemoveVm():
            return _apply_vm(state, command)
        case AnnounceUpstream() | DrainUpstream() | RemoveUpstream():
            return _apply_upstream(state, command)
        case AssignDispatcher():
            return _assign_dispatcher(state, command)
        case AssignShards() | BeginMove() | CompleteMove():
            return _apply_grant(state, command)
        case PublishRevision():
            return _publish(state, command)
        case ChangeVoters(voters=voters):
            state = replace(state, voters=voters)
    return state, Accepted()


def _apply_vm(state: ControlState, command: RegisterVm | RemoveVm) -> Applied:
    match command:
        case RegisterVm(record=record):
            vms = {**state.vms, record.vm: record}
            return replace(state, vms=vms), Accepted()
        case RemoveVm(vm=vm):
            if vm not in state.vms:
                return state, Rejected(f'VM {vm} is not registered')
            return replace(state, vms=_without(state.vms, vm)), Accepted()


def _apply_upstream(
    state: ControlState,
    command: AnnounceUpstream | DrainUpstream | RemoveUpstream,
) -> Applied:
    match command:
        case AnnounceUpstream(record=record):
            return _announce(state, record)
        case DrainUpstream(upstream=upstream):
            known = state.upstreams.get(upstream)
            if known is None:
                return state, Rejected(f'upstream {upstream} is not known')
            return _announce(state, replace(known, draining=True))
        case RemoveUpstream(upstream=upstream):
            return _remove_upstream(state, upstream)


def _announce(state: ControlState, record: UpstreamRecord) -> Applied:
    known = state.upstreams.get(record.upstream)
    if known is not None and known.service != record.service:
        return state, Rejected(
            f'upstream {record.upstream} belongs to service {known.service}',
        )
    upstreams = {**state.upstreams, record.upstream: record}
    return replace(state, upstreams=upstreams), Accepted()


def _remove_upstream(state: ControlState, upstream: str) -> Applied:
    if upstream not in state.upstreams:
        return state, Rejected(f'upstream {upstream} is not known')
    if state.grants_of(upstream):
        return state, Rejected(f'upstream {upstream} still owns shards')
    return (
        replace(
            state,
            upstreams=_without(state.upstreams, upstream),
            dispatchers=_without(state.dispatchers, upstream),
        ),
        Accepted(),
    )


def _assign_dispatcher(
    state: ControlState,
    command: AssignDispatcher,
) -> Applied:
    if command.upstream not in state.upstreams:
        return state, Rejected(f'upstream {command.upstream} is not known')
    if command.vm not in state.vms:
        return state, Rejected(f'VM {command.vm} is not registered')
    epoch = state.last_epoch + 1
    record = DispatcherRecord(command.upstream, command.vm, epoch)
    dispatchers = {**state.dispatchers, command.upstream: record}
    return (
        replace(state, dispatchers=dispatchers, last_epoch=epoch),
        Accepted(),
    )


def _apply_grant(
    state: ControlState,
    command: AssignShards | BeginMove | CompleteMove,
) -> Applied:
    match command:
        case AssignShards():
            return _assign_shards(state, command)
        case BeginMove():
            return _begin_move(state, command)
        case CompleteMove():
            return _complete_move(state, command)


def _assign_shards(state: ControlState, command: AssignShards) -> Applied:
    if command.upstream not in state.upstreams:
        return state, Rejected(f'upstream {command.upstream} is not known')
    held = dict(state.grants.get(command.service, {}))
    fence = state.last_fence
    for shard in command.shards:
        if shard in held:
            return state, Rejected(
                f'shard {shard} of {command.service} has an owner',
            )
        fence += 1
        held[shard] = Grant(command.service, shard, command.upstream, fence)
    grants = {**state.grants, command.service: held}
    return replace(state, grants=grants, last_fence=fence), Accepted()


def _begin_move(state: ControlState, command: BeginMove) -> Applied:
    grant = state.grant_of(command.service, command.shard)
    if grant is None or grant.fence != command.fence:
        return state, Rejected('the shard is no longer owned under this fence')
    if command.to_upstream not in state.upstreams:
        return state, Rejected(f'upstream {command.to_upstream} is not known')
    moving = replace(grant, moving_to=command.to_upstream)
    return _with_grant(state, moving), Accepted()


def _complete_move(state: ControlState, command: CompleteMove) -> Applied:
    grant = state.grant_of(command.service, command.shard)
    if grant is None or grant.fence != command.fence:
        return state, Rejected('the shard is no longer owned under this fence')
    if grant.moving_to is None or grant.moving_to not in state.upstreams:
        held = _without(state.grants[command.service], command.shard)
        grants = {**state.grants, command.service: held}
        return replace(state, grants=grants), Accepted()
    fence = state.last_fence + 1
    moved = Grant(command.service, command.shard, grant.moving_to, fence)
    return _with_grant(replace(state, last_fence=fence), moved), Accepted()


def _publish(state: ControlState, command: PublishRevision) -> Applied:
    earlier = state.publications.get(command.publication_id)
    if earlier is not None:
        return state, Accepted(earlier.revision)
    if command.base_revision != state.revision:
        return state, Rejected(
            f'based on revision {command.base_revision}, but revision'
            f' {state.revision} is in force; fetch it and publish again',
        )
    revision = state.revision + 1
    publication = Publication(command.publication_id, revision)
    return (
        replace(
            state,
            files=dict(command.files),
            revision=revision,
            publications=_keep_last(
                {**state.publications, command.publication_id: publication},
                _PUBLICATIONS_KEPT,
            ),
        ),
        Accepted(revision),
    )


def _with_grant(state: ControlState, grant: Grant) -> ControlState:
    held = {**state.grants.get(grant.service, {}), grant.shard: grant}
    return replace(state, grants={**state.grants, grant.service: held})


def _without(
    items: dict[_Key, _Item],
    key: _Key,
) -> dict[_Key, _Item]:
    return {name: item for name, item in items.items() if name != key}


def _keep_last(items: dict[_Key, _Item], count: int) -> dict[_Key, _Item]:
    surplus = max(0, len(items) - count)
    return dict(itertools.islice(items.items(), surplus, None))
