"""What the leader decides on calls of upstreams and operators.

The class does no I/O and reads no clock. A call is answered once all that it
needs is committed and, where a promise depends on it, applied by every entry
VM that may still act on an older state.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from ibisjunction.catalogue.model import ItemType, Rejected, UpdateOutcome
from ibisjunction.coordination.calls import (
    Call,
    CallAnswer,
    ChangeItems,
    CheckedIn,
    CheckIn,
    Confirmed,
    Depart,
    Invalid,
    ItemsRead,
    ReadItems,
    Unavailable,
)
from ibisjunction.coordination.keys import KeyPlanner
from ibisjunction.coordination.liveness import Liveness
from ibisjunction.coordination.loads import (
    KeyLoad,
    LoadBook,
    UpstreamSpeed,
)
from ibisjunction.coordination.planned import Planned
from ibisjunction.coordination.spread import Spreading, is_spread
from ibisjunction.coordination.timing import FleetTiming
from ibisjunction.fleet.commands import (
    AdmitUpstream,
    FleetCommand,
    ForgetUpstream,
    MarkDraining,
    UpdateItems,
)
from ibisjunction.fleet.model import FleetState, Upstream
from ibisjunction.membership.leases import LeaseTable

#: A call that can't be answered by then is given up; its caller has gone to
#: another VM before.
_CALL_LIMIT_MS: Final = 4000
#: Leaving upstreams are remembered this long, so that a check-in which was
#: delayed on its way does not bring one back.
_FORGET_AFTER_MS: Final = 60_000
#: Interval of steps that even out the load.
_BALANCE_MS: Final = 250


@dataclass(frozen=True, slots=True)
class Propose:
    """Asks for a command to be committed."""

    proposal_id: str
    command: FleetCommand
    why: str = ''


@dataclass(frozen=True, slots=True)
class Reply:
    """Answers a call."""

    call_id: str
    answer: CallAnswer


Effect = Propose | Reply


@dataclass(slots=True)
class _Waiting:
    """A call with the proposals and the spread that it waits for.

    ``is_late`` marks a check-in after which a later one was seen.
    """

    call: Call
    since_ms: int
    is_late: bool = False
    pending: set[str] = field(default_factory=set)
    spreading: Spreading | None = None
    fault: str = ''


class Coordinator:
    """The duties of one leader during one term."""

    def __init__(
        self,
        vm: str,
        prefix: str,
        timing: FleetTiming,
        state: FleetState,
        index: int,
        now: int,
    ) -> None:
        """Start leading; ``prefix`` makes the names of proposals unique.

        What was committed up to ``index`` may not have been confirmed yet, and
        entry VMs may lack it.
        """
        self._inherited = Spreading(index, now)
        self.state = state
        self.leases = LeaseTable(timing.lease_ms, timing.clock_error, now)
        self._vm = vm
        self._prefix = prefix
        self._timing = timing
        self._elected_ms = now
        self._liveness = Liveness(now, timing.hold_limit_ms)
        self._loads = LoadBook()
        self._keys = KeyPlanner(timing, self._liveness, self._loads)
        self._proposals = 0
        self._waiting: dict[str, _Waiting] = {}
        self._spreading: dict[str, Spreading] = {}
        self._internal: set[str] = set()
        self._balance_at = now

    def take_call(self, call_id: str, call: Call, now: int) -> list[Effect]:
        """Start to answer a call."""
        is_late = isinstance(call, CheckIn) and self._liveness.is_late(call)
        waiting = _Waiting(call, now, is_late=is_late)
        self._waiting[call_id] = waiting
        fault = _find_fault(self.state, call)
        if fault is not None:
            self._waiting.pop(call_id)
            return [Reply(call_id, fault)]
        effects: list[Effect] = []
        for planned in self._plan(call, now):
            proposal = self._propose(planned)
            waiting.pending.add(proposal.proposal_id)
            effects.append(proposal)
        return [*effects, *self.answer_ready(now)]

    def apply(
        self,
        state: FleetState,
        index: int,
        outcomes: dict[str, UpdateOutcome],
        now: int,
    ) -> list[Effect]:
        """Take the state after committed commands, with their outcomes."""
        self._note_changes(state, index, now)
        self.state = state
        self._internal -= outcomes.keys()
        for waiting in self._waiting.values():
            for proposal_id in waiting.pending & outcomes.keys():
                outcome = outcomes[proposal_id]
                if isinstance(outcome, Rejected):
                    waiting.fault = outcome.detail
            waiting.pending -= outcomes.keys()
        return self.answer_ready(now)

    def record_loads(
        self,
        loads: tuple[KeyLoad, ...],
        speeds: tuple[UpstreamSpeed, ...],
        now: int,
    ) -> None:
        """Take a VM's report on the load of keys and upstreams."""
        for load in loads:
            self._loads.record(load, now)
        for speed in speeds:
            self._loads.record_speed(speed)

    def look_at_clock(self, now: int) -> list[Effect]:
        """Answer calls that became ready, and do what is due."""
        effects = self.answer_ready(now)
        if now < self._balance_at or self._internal:
            return effects
        self._balance_at = now + _BALANCE_MS
        for planned in self._plan_duties(now):
            proposal = self._propose(planned)
            self._internal.add(proposal.proposal_id)
            effects.append(proposal)
        return effects

    def step_down(self) -> list[Reply]:
        """Answer all calls that wait, because this VM no longer leads."""
        answer = Unavailable('the leader has changed')
        replies = [Reply(call_id, answer) for call_id in self._waiting]
        self._waiting.clear()
        return replies

    def _propose(self, planned: Planned) -> Propose:
        self._proposals += 1
        name = f'{self._prefix}.{self._proposals}'
        return Propose(name, planned.command, planned.why)

    def _plan(self, call: Call, now: int) -> Iterator[Planned]:
        match call:
            case CheckIn() if self._liveness.is_late(call):
                yield from _plan_late(self.state, call)
            case CheckIn():
                self._liveness.record(call, now)
                yield from self._plan_check_in(call, now)
            case Depart(upstream=name, born=born):
                known = self.state.upstreams.get(name)
                is_same = known is not None and born in {0, known.born}
                if known is not None and is_same and not known.is_draining:
                    yield Planned(MarkDraining(name, known.born), 'it leaves')
                    yield from self._keys.plan_release_all(self.state, known)
            case ChangeItems(update=update):
                yield Planned(UpdateItems(update), 'sent by an operator')

    def _plan_check_in(
        self,
        call: CheckIn,
        now: int,
    ) -> Iterator[Planned]:
        known = self.state.upstreams.get(call.upstream)
        if known is not None and known.born != call.born:
            known = None
        upstream = _describe(call, known)
        if known is None or upstream != known:
            yield Planned(AdmitUpstream(upstream), 'it checks in')
        service = self.state.catalogue.find_service(call.service)
        if service is not None and service.is_sharded:
            yield from self._keys.plan_check_in(
                self.state,
                call,
                upstream,
                now,
            )

    def answer_ready(self, now: int) -> list[Effect]:
        """Answer the calls that wait for nothing more."""
        replies: list[Effect] = []
        for call_id, waiting in list(self._waiting.items()):
            answer = self._find_answer(waiting, now)
            if answer is not None:
                self._waiting.pop(call_id)
                replies.append(Reply(call_id, answer))
        return replies

    def _find_answer(self, waiting: _Waiting, now: int) -> CallAnswer | None:
        if waiting.fault:
            return Invalid(waiting.fault)
        if now >= waiting.since_ms + _CALL_LIMIT_MS:
            return Unavailable('not confirmed in time')
        if waiting.pending:
            return None
        spreading = self._find_spreading(waiting.call)
        if spreading is not None and not is_spread(
            spreading,
            self.leases,
            self._elected_ms,
            self._timing,
            now,
        ):
            return None
        return self._confirm(waiting, now)

    def _find_spreading(self, call: Call) -> Spreading | None:
        """Return the change that all VMs must know before the answer."""
        match call:
            case CheckIn(upstream=name, is_draining=True):
                return self._spreading.get(name, self._inherited)
            case Depart(upstream=name):
                return self._spreading.get(name, self._inherited)
            case ChangeItems():
                return self._spreading.get('', self._inherited)
            case _:
                return None

    def _note_changes(self, state: FleetState, index: int, now: int) -> None:
        """Remember when departures and items were committed."""
        if state.catalogue is not self.state.catalogue:
            self._spreading[''] = Spreading(index, now)
        for name, upstream in state.upstreams.items():
            before = self.state.upstreams.get(name)
            if upstream is before:
                continue
            if upstream.is_draining:
                self._spreading[name] = Spreading(index, now)
            else:
                self._spreading.pop(name, None)
        self._keys.note_state(self.state, state, now)

    def _confirm(self, waiting: _Waiting, now: int) -> CallAnswer:
        match waiting.call:
            case CheckIn() if waiting.is_late:
                return CheckedIn(self._vm, is_renewal=False)
            case CheckIn() as call:
                return self._confirm_check_in(call, now)
            case ReadItems():
                catalogue = self.state.catalogue
                return ItemsRead(
                    tuple(
                        item
                        for item_type in ItemType
                        for item in catalogue.list_items(item_type)
                    ),
                )
            case _:
                return Confirmed()

    def _confirm_check_in(self, call: CheckIn, now: int) -> CallAnswer:
        upstream = self.state.upstreams.get(call.upstream)
        if upstream is None or upstream.born != call.born:
            return Invalid('a later process has replaced this one')
        service = self.state.catalogue.find_service(call.service)
        if service is None or not service.is_sharded:
            return CheckedIn(self._vm, is_renewal=False)
        return CheckedIn(
            self._vm,
            is_renewal=True,
            hold_ms=self._timing.hold_ms,
            grants=self._keys.grant(self.state, upstream, call, now),
        )

    def _plan_duties(self, now: int) -> Iterator[Planned]:
        for item in self.state.catalogue.list_items(ItemType.SERVICE):
            if item.service is not None and item.service.is_sharded:
                yield from self._keys.plan_service(
                    self.state,
                    item.name,
                    now,
                )
        for upstream in self.state.upstreams.values():
            if self._liveness.silent_ms(upstream, now) > _FORGET_AFTER_MS:
                command = ForgetUpstream(upstream.upstream, upstream.born)
                yield Planned(command, 'silent for long')


def _describe(call: CheckIn, known: Upstream | None) -> Upstream:
    """Return what a check-in says; a process that leaves never returns."""
    was_draining = known is not None and known.is_draining
    return Upstream(
        call.upstream,
        call.born,
        call.service,
        call.address,
        call.failure_domain,
        call.slots,
        call.is_draining or was_draining,
    )


def _find_fault(state: FleetState, call: Call) -> CallAnswer | None:
    """Return the answer to a call that changes nothing."""
    match call:
        case CheckIn():
            return _find_check_in_fault(state, call)
        case ReadItems() if state.catalogue.is_empty:
            return Unavailable('no items were published yet')
        case _:
            return None


def _find_check_in_fault(
    state: FleetState,
    call: CheckIn,
) -> CallAnswer | None:
    if state.catalogue.is_empty:
        return Unavailable('no items were published yet')
    if state.catalogue.find_service(call.service) is None:
        return Invalid(f'unknown service {call.service}')
    for other in state.upstreams.values():
        is_rival = call.upstream == other.upstream
        is_rival = is_rival or call.address == other.address
        if is_rival and other.born > call.born:
            return Invalid('a later process has replaced this one')
    return None


def _plan_late(state: FleetState, call: CheckIn) -> Iterator[Planned]:
    """Yield what even a late check-in tells: that its sender leaves."""
    known = state.upstreams.get(call.upstream)
    if known is None or known.born != call.born:
        return
    if call.is_draining and not known.is_draining:
        command = MarkDraining(call.upstream, call.born)
        yield Planned(command, 'it leaves, by a late check-in')
