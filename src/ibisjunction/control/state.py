"""The control state and how each command changes it."""

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
    add_publication,
    decide_publication,
    outcome_of,
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
    apply_renewal,
    find_spec,
    level_of,
)

_Key = TypeVar('_Key')
_Item = TypeVar('_Item')


@dataclass(frozen=True)
class ControlState:
    """The state after the committed commands; never changed in place.

    ``grants`` is keyed by service and shard. ``last_fence`` and ``last_epoch``
    only grow, so no fence or epoch is issued twice. ``publications`` holds the
    latest publications only, oldest first. ``voters`` is empty until a command
    changes the voters that the settings list. ``departed`` maps each upstream
    that was drained and removed to its incarnation, so that later announcements
    of the drained process are rejected.
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
        """Return the total slots of a service's non-draining upstreams."""
        return sum(
            record.slots
            for record in self.upstreams.values()
            if record.service == service and not record.draining
        )

    def grants_of(self, upstream: str) -> list[Grant]:
        """Return the grants of an upstream."""
        record = self.upstreams.get(upstream)
        if record is None:
            return []
        service_grants = self.grants.get(record.service, {}).values()
        return [grant for grant in service_grants if grant.upstream == upstream]


#: The next state, and the outcome of the command.
Transition = tuple[ControlState, CommandOutcome]


def apply_command(state: ControlState, command: Command) -> Transition:
    """Return the next state and the outcome of the command.

    The result depends on the arguments only, so daemons that apply the same
    commands in the same order have equal states.
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


def _apply_vm(
    state: ControlState, command: RegisterVm | RemoveVm
) -> Transition:
    match command:
        case RegisterVm(record=record):
            previous = state.vms.get(record.vm, record)
            if previous.incarnation != record.incarnation:
                state = _remove_vm(state, record.vm)
            vms = {**state.vms, record.vm: record}
            return replace(state, vms=vms), Accepted()
        case RemoveVm(vm=vm, incarnation=incarnation):
            current = state.vms.get(vm)
            if current is None or current.incarnation != incarnation:
                return state, Rejected(
                    f'VM {vm} is not registered with incarnation {incarnation}',
                )
            return _remove_vm(state, vm), Accepted()


def _remove_vm(state: ControlState, vm: str) -> ControlState:
    """Remove the record and the dispatchers of a VM.

    Its process has ended or its lease has expired, so the state of its
    dispatchers is lost.
    """
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
) -> Transition:
    match command:
        case AnnounceUpstream(record=record):
            return _set_upstream(state, record)
        case DrainUpstream(upstream=upstream):
            current = state.upstreams.get(upstream)
            if current is None:
                return state, Rejected(f'upstream {upstream} is not known')
            return _set_upstream(state, replace(current, draining=True))
        case RemoveUpstream(upstream=upstream):
            return _remove_upstream(state, upstream)


def _set_upstream(state: ControlState, record: UpstreamRecord) -> Transition:
    """Add or replace the record of an upstream.

    A repeated announcement of the same process does not end its drain.
    """
    current = state.upstreams.get(record.upstream)
    if current is not None and current.service != record.service:
        return state, Rejected(
            f'upstream {record.upstream} belongs to service {current.service}',
        )
    latest = 0 if current is None else current.incarnation
    if record.incarnation < latest:
        return state, Rejected(
            f'upstream {record.upstream} has restarted as {latest}',
        )
    if record.incarnation <= state.departed.get(record.upstream, -1):
        return state, Rejected(f'upstream {record.upstream} was drained')
    if current is not None and current.incarnation == record.incarnation:
        is_draining = current.draining or record.draining
        record = replace(record, draining=is_draining)
    upstreams = {**state.upstreams, record.upstream: record}
    state = _move_shards_to_new_process(state, record)
    return replace(state, upstreams=upstreams), Accepted()


def _move_shards_to_new_process(
    state: ControlState,
    record: UpstreamRecord,
) -> ControlState:
    """Start to move shards from an upstream's former to its new process."""
    for grant in state.grants_of(record.upstream):
        is_of_former_process = grant.incarnation != record.incarnation
        if is_of_former_process and grant.moving_to is None:
            moving = replace(grant, moving_to=record.upstream)
            state = _with_grant(state, moving)
    return state


def _remove_upstream(state: ControlState, upstream: str) -> Transition:
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
) -> Transition:
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


def _assign_shards(state: ControlState, command: AssignShards) -> Transition:
    record = state.upstreams.get(command.upstream)
    if record is None:
        return state, Rejected(f'upstream {command.upstream} is not known')
    service_grants = dict(state.grants.get(command.service, {}))
    fence = state.last_fence
    for shard in command.shards:
        if shard in service_grants:
            return state, Rejected(
                f'shard {shard} of {command.service} has an owner',
            )
        fence += 1
        service_grants[shard] = Grant(
            command.service,
            shard,
            command.upstream,
            fence,
            record.incarnation,
        )
    grants = {**state.grants, command.service: service_grants}
    return replace(state, grants=grants, last_fence=fence), Accepted()


def _begin_move(state: ControlState, command: BeginMove) -> Transition:
    grant = state.grant_of(command.service, command.shard)
    if grant is None or grant.fence != command.fence:
        return state, Rejected('the shard is no longer owned under this fence')
    if command.to_upstream not in state.upstreams:
        return state, Rejected(f'upstream {command.to_upstream} is not known')
    moving = replace(grant, moving_to=command.to_upstream)
    return _with_grant(state, moving), Accepted()


def _complete_move(state: ControlState, command: CompleteMove) -> Transition:
    """Grant a released shard to the upstream that it is being moved to.

    Without such an upstream the shard is left without an owner.
    """
    grant = state.grant_of(command.service, command.shard)
    if grant is None or grant.fence != command.fence:
        return state, Rejected('the shard is no longer owned under this fence')
    if grant.moving_to is None or grant.moving_to not in state.upstreams:
        service_grants = _without(state.grants[command.service], command.shard)
        grants = {**state.grants, command.service: service_grants}
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


def _publish(state: ControlState, command: PublishRevision) -> Transition:
    previous = state.publications.get(command.publication_id)
    if previous is not None:
        return state, outcome_of(previous)
    publication = decide_publication(command, state.revision)
    files = command.files if publication.is_accepted else state.files
    next_state = replace(
        state,
        files=dict(files),
        revision=publication.revision,
        publications=add_publication(state.publications, publication),
    )
    return next_state, outcome_of(publication)


def _renew_terms(state: ControlState, renewal: Renewal) -> Transition:
    spec = find_spec(state.files, renewal.service)
    if spec is None:
        return state, Rejected(f'service {renewal.service} is not published')
    service_terms = state.terms.get(renewal.service, {})
    renewed = apply_renewal(
        spec,
        service_terms,
        renewal,
        state.slots_of(renewal.service),
    )
    terms = {
        **state.terms,
        renewal.service: {**service_terms, renewal.client: renewed},
    }
    level = level_of(spec, terms[renewal.service], renewal.client)
    return replace(state, terms=terms), Accepted(level=level)


def _with_grant(state: ControlState, grant: Grant) -> ControlState:
    service_grants = {**state.grants.get(grant.service, {}), grant.shard: grant}
    return replace(
        state, grants={**state.grants, grant.service: service_grants}
    )


def _without(
    items: dict[_Key, _Item],
    key: _Key,
) -> dict[_Key, _Item]:
    return {
        item_key: item for item_key, item in items.items() if item_key != key
    }
