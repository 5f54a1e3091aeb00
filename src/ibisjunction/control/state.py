"""The control state and the rule by which each command changes it."""

from dataclasses import dataclass, field, replace
from typing import TypeVar

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
    RenewTerms,
)
from ibisjunction.control.publications import (
    describe_publication,
    judge_publication,
    keep_publication,
)
from ibisjunction.control.records import (
    DispatcherRecord,
    Grant,
    Publication,
    UpstreamRecord,
    VmRecord,
    VoterRecord,
)
from ibisjunction.control.terms import (
    ClientTerms,
    Renewal,
    find_spec,
    level_of,
    renew,
)

_Key = TypeVar('_Key')
_Item = TypeVar('_Item')


@dataclass(frozen=True)
class ControlState:
    """All state that the control log yields; never changed in place.

    ``grants`` is keyed by service and shard. ``last_fence`` and ``last_epoch``
    only grow, so no fence or epoch is issued twice. ``publications`` holds the
    last ones only, in their order. ``voters`` is empty while they are those of
    the settings. ``departed`` keeps the incarnation of each upstream that was
    drained and removed.
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
    terms: dict[str, dict[str, ClientTerms]] = field(default_factory=dict)
    departed: dict[str, int] = field(default_factory=dict)
    voters: tuple[VoterRecord, ...] = ()

    def grant_of(self, service: str, shard: int) -> Grant | None:
        """Return the grant of a shard, or ``None`` if it has no owner."""
        return self.grants.get(service, {}).get(shard)

    def slots_of(self, service: str) -> int:
        """Return the slots of all upstreams of a service that stay."""
        return sum(
            record.slots
            for record in self.upstreams.values()
            if record.service == service and not record.draining
        )

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
        case AssignShards():
            return _assign_shards(state, command)
        case BeginMove():
            return _begin_move(state, command)
        case CompleteMove():
            return _complete_move(state, command)
        case PublishRevision():
            return _publish(state, command)
        case RenewTerms(renewal=renewal):
            return _renew_terms(state, renewal)
        case ChangeVoters(voters=voters):
            state = replace(state, voters=voters)
    return state, Accepted()


def _apply_vm(state: ControlState, command: RegisterVm | RemoveVm) -> Applied:
    match command:
        case RegisterVm(record=record):
            known = state.vms.get(record.vm, record)
            if known.incarnation != record.incarnation:
                state = _forget_vm(state, record.vm)
            vms = {**state.vms, record.vm: record}
            return replace(state, vms=vms), Accepted()
        case RemoveVm(vm=vm, incarnation=incarnation):
            present = state.vms.get(vm)
            if present is None or present.incarnation != incarnation:
                return state, Rejected(
                    f'VM {vm} is not registered with incarnation {incarnation}',
                )
            return _forget_vm(state, vm), Accepted()


def _forget_vm(state: ControlState, vm: str) -> ControlState:
    """Remove a process that has lost the state of its dispatchers."""
    dispatchers = {
        upstream: record
        for upstream, record in state.dispatchers.items()
        if record.vm != vm
    }
    return replace(
        state,
        vms=_without(state.vms, vm),
        dispatchers=dispatchers,
    )


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
    newest = 0 if known is None else known.incarnation
    if record.incarnation < newest:
        return state, Rejected(
            f'upstream {record.upstream} has restarted as {newest}',
        )
    if record.incarnation <= state.departed.get(record.upstream, -1):
        return state, Rejected(f'upstream {record.upstream} was drained')
    if known is not None and known.incarnation == record.incarnation:
        is_draining = known.draining or record.draining
        record = replace(record, draining=is_draining)
    upstreams = {**state.upstreams, record.upstream: record}
    state = _move_to_new_process(state, record)
    return replace(state, upstreams=upstreams), Accepted()


def _move_to_new_process(
    state: ControlState,
    record: UpstreamRecord,
) -> ControlState:
    """Start to move the shards of a former process of the upstream."""
    for grant in state.grants_of(record.upstream):
        is_former = grant.incarnation != record.incarnation
        if is_former and grant.moving_to is None:
            moving = replace(grant, moving_to=record.upstream)
            state = _with_grant(state, moving)
    return state


def _remove_upstream(state: ControlState, upstream: str) -> Applied:
    record = state.upstreams.get(upstream)
    if record is None:
        return state, Rejected(f'upstream {upstream} is not known')
    if state.grants_of(upstream):
        return state, Rejected(f'upstream {upstream} still owns shards')
    departed = state.departed
    if record.draining:
        departed = {**departed, upstream: record.incarnation}
    return (
        replace(
            state,
            departed=departed,
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
    current = state.dispatchers.get(command.upstream)
    current_epoch = 0 if current is None else current.epoch
    if current_epoch != command.replaces_epoch:
        return state, Rejected(
            f'upstream {command.upstream} is under epoch {current_epoch}',
        )
    epoch = state.last_epoch + 1
    record = DispatcherRecord(command.upstream, command.vm, epoch)
    dispatchers = {**state.dispatchers, command.upstream: record}
    return (
        replace(state, dispatchers=dispatchers, last_epoch=epoch),
        Accepted(),
    )


def _assign_shards(state: ControlState, command: AssignShards) -> Applied:
    record = state.upstreams.get(command.upstream)
    if record is None:
        return state, Rejected(f'upstream {command.upstream} is not known')
    held = dict(state.grants.get(command.service, {}))
    fence = state.last_fence
    for shard in command.shards:
        if shard in held:
            return state, Rejected(
                f'shard {shard} of {command.service} has an owner',
            )
        fence += 1
        held[shard] = Grant(
            command.service,
            shard,
            command.upstream,
            fence,
            record.incarnation,
        )
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
    moved = Grant(
        command.service,
        command.shard,
        grant.moving_to,
        fence,
        state.upstreams[grant.moving_to].incarnation,
    )
    return _with_grant(replace(state, last_fence=fence), moved), Accepted()


def _publish(state: ControlState, command: PublishRevision) -> Applied:
    known = state.publications.get(command.publication_id)
    if known is not None:
        return state, describe_publication(known)
    publication = judge_publication(command, state.revision)
    files = command.files if publication.is_accepted else state.files
    judged = replace(
        state,
        files=dict(files),
        revision=publication.revision,
        publications=keep_publication(state.publications, publication),
    )
    return judged, describe_publication(publication)


def _renew_terms(state: ControlState, renewal: Renewal) -> Applied:
    spec = find_spec(state.files, renewal.service)
    if spec is None:
        return state, Rejected(f'service {renewal.service} is not published')
    held = state.terms.get(renewal.service, {})
    renewed = renew(spec, held, renewal, state.slots_of(renewal.service))
    terms = {**state.terms, renewal.service: {**held, renewal.client: renewed}}
    level = level_of(spec, terms[renewal.service], renewal.client)
    return replace(state, terms=terms), Accepted(level=level)


def _with_grant(state: ControlState, grant: Grant) -> ControlState:
    held = {**state.grants.get(grant.service, {}), grant.shard: grant}
    return replace(state, grants={**state.grants, grant.service: held})


def _without(
    items: dict[_Key, _Item],
    key: _Key,
) -> dict[_Key, _Item]:
    return {name: item for name, item in items.items() if name != key}
