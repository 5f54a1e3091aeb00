"""What the leader decides on calls of upstreams and operators.

The class does no I/O and reads no clock. A call is answered once all that it
needs is committed and, where a promise depends on it, applied by every entry
VM that may still act on an older state.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from ibisjunction.catalogue.model import ItemType, Rejected, UpdateOutcome
from ibisjunction.coordination.balance import (
    Member,
    ServiceView,
    choose_free,
    count_shards,
    plan_change,
)
from ibisjunction.coordination.calls import (
    Call,
    CallAnswer,
    ChangeItems,
    CheckedIn,
    CheckIn,
    Confirmed,
    Depart,
    GrantedRange,
    Invalid,
    ItemsRead,
    ReadItems,
    Unavailable,
)
from ibisjunction.coordination.liveness import Liveness
from ibisjunction.coordination.loads import KeyLoad, LoadBook
from ibisjunction.coordination.spread import Spreading, is_spread
from ibisjunction.coordination.timing import FleetTiming
from ibisjunction.fleet.commands import (
    AdmitUpstream,
    AssignShards,
    DivideKeys,
    FleetCommand,
    ForgetUpstream,
    FreedShard,
    FreeShards,
    MarkDraining,
    ReleaseShards,
    UpdateItems,
)
from ibisjunction.fleet.model import FleetState, Shard, Upstream
from ibisjunction.membership.leases import LeaseTable

#: A call that can't be answered by then is given up; its caller has gone to
#: another VM before.
_CALL_LIMIT_MS: Final = 4000
#: Check-ins missed by then: the upstream gets no shards.
_SILENT_INTERVALS: Final = 2.5
#: Leaving upstreams are remembered this long, so that a check-in which was
#: delayed on its way does not bring one back.
_FORGET_AFTER_MS: Final = 60_000
#: Interval of steps that even out the load.
_BALANCE_MS: Final = 250
#: Time of the first upstream's check-in until the keys are divided, so that
#: the others have checked in too.
_GATHER_MS: Final = 1200


@dataclass(frozen=True, slots=True)
class Propose:
    """Asks for a command to be committed."""

    proposal_id: str
    command: FleetCommand


@dataclass(frozen=True, slots=True)
class Reply:
    """Answers a call."""

    call_id: str
    answer: CallAnswer


Effect = Propose | Reply


@dataclass(slots=True)
class _Waiting:
    """A call with the proposals and the spread that it waits for."""

    call: Call
    since_ms: int
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
        """Start leading; ``prefix`` makes the names of proposals unique."""
        self.state = state
        self.leases = LeaseTable(timing.lease_ms, timing.clock_error, now)
        self._index = index
        self._vm = vm
        self._prefix = prefix
        self._timing = timing
        self._elected_ms = now
        self._liveness = Liveness(now, timing.hold_limit_ms)
        self._loads = LoadBook()
        self._proposals = 0
        self._waiting: dict[str, _Waiting] = {}
        self._spreading: dict[str, Spreading] = {}
        self._gathering: dict[str, int] = {}
        self._free_since: dict[str, int] = {}
        self._internal: set[str] = set()
        self._balance_at = now

    def take_call(self, call_id: str, call: Call, now: int) -> list[Effect]:
        """Start to answer a call."""
        waiting = _Waiting(call, now)
        self._waiting[call_id] = waiting
        fault = self._find_fault(call)
        if fault is not None:
            self._waiting.pop(call_id)
            return [Reply(call_id, fault)]
        effects: list[Effect] = []
        for command in self._plan(call, now):
            proposal = self._propose(command)
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
        self._index = index
        self._internal -= outcomes.keys()
        for waiting in self._waiting.values():
            for proposal_id in waiting.pending & outcomes.keys():
                outcome = outcomes[proposal_id]
                if isinstance(outcome, Rejected):
                    waiting.fault = outcome.detail
            waiting.pending -= outcomes.keys()
        return self.answer_ready(now)

    def record_load(self, report: KeyLoad, now: int) -> None:
        """Take a VM's report on the load of keys."""
        self._loads.record(report, now)

    def look_at_clock(self, now: int) -> list[Effect]:
        """Answer calls that became ready, and do what is due."""
        effects = self.answer_ready(now)
        if now < self._balance_at or self._internal:
            return effects
        self._balance_at = now + _BALANCE_MS
        for command in self._plan_duties(now):
            proposal = self._propose(command)
            self._internal.add(proposal.proposal_id)
            effects.append(proposal)
        return effects

    def step_down(self) -> list[Reply]:
        """Answer all calls that wait, because this VM no longer leads."""
        answer = Unavailable('the leader has changed')
        replies = [Reply(call_id, answer) for call_id in self._waiting]
        self._waiting.clear()
        return replies

    def _propose(self, command: FleetCommand) -> Propose:
        self._proposals += 1
        return Propose(f'{self._prefix}.{self._proposals}', command)

    def _find_fault(self, call: Call) -> CallAnswer | None:
        """Return the answer to a call that changes nothing."""
        match call:
            case CheckIn():
                return self._find_check_in_fault(call)
            case ReadItems() if self.state.catalogue.is_empty:
                return Unavailable('no items were published yet')
            case _:
                return None

    def _find_check_in_fault(self, call: CheckIn) -> CallAnswer | None:
        if self.state.catalogue.is_empty:
            return Unavailable('no items were published yet')
        if self.state.catalogue.find_service(call.service) is None:
            return Invalid(f'unknown service {call.service}')
        for other in self.state.upstreams.values():
            is_rival = call.upstream == other.upstream
            is_rival = is_rival or call.address == other.address
            if is_rival and other.born > call.born:
                return Invalid('a later process has replaced this one')
        if self._liveness.is_late(call):
            return CheckedIn(self._vm, is_renewal=False)
        return None

    def _plan(self, call: Call, now: int) -> Iterator[FleetCommand]:
        match call:
            case CheckIn():
                self._liveness.record(call, now)
                yield from self._plan_check_in(call, now)
            case Depart(upstream=name, born=born):
                known = self.state.upstreams.get(name)
                is_same = known is not None and born in {0, known.born}
                if known is not None and is_same and not known.is_draining:
                    yield MarkDraining(name, known.born)
                    yield from self._plan_release_all(known)
            case ChangeItems(update=update):
                yield UpdateItems(update)

    def _plan_check_in(
        self,
        call: CheckIn,
        now: int,
    ) -> Iterator[FleetCommand]:
        known = self.state.upstreams.get(call.upstream)
        if known is not None and known.born != call.born:
            known = None
        upstream = _describe(call, known)
        if known is None or upstream != known:
            yield AdmitUpstream(upstream)
        if upstream.is_draining:
            yield from self._plan_release_all(upstream)
        freed = tuple(self._find_freed(call, upstream))
        if freed:
            yield FreeShards(call.service, freed)
        taken = self._choose_taken(upstream, freed, now)
        if taken:
            yield AssignShards(
                call.service,
                upstream.upstream,
                upstream.born,
                tuple(shard.first for shard in taken),
            )

    def _plan_release_all(self, upstream: Upstream) -> Iterator[FleetCommand]:
        firsts = tuple(
            shard.first
            for shard in self.state.list_owned(upstream)
            if not shard.is_releasing
        )
        if firsts:
            yield ReleaseShards(upstream.service, firsts)

    def _find_freed(
        self,
        call: CheckIn,
        upstream: Upstream,
    ) -> Iterator[FreedShard]:
        """Find the shards that a process was told to release and has."""
        for shard in self.state.list_owned(upstream):
            if not shard.is_releasing:
                continue
            if any(
                _overlaps(held.first, held.last, shard) for held in call.holds
            ):
                continue
            tokens = [
                freed.handover
                for freed in call.freed
                if (freed.first, freed.last) == (shard.first, shard.last)
            ]
            covering = any(
                freed.first <= shard.first and shard.last <= freed.last
                for freed in call.freed
            )
            if covering:
                token = tokens[0] if tokens else ''
                yield FreedShard(shard.first, shard.fence, token)

    def _choose_taken(
        self,
        upstream: Upstream,
        freed: tuple[FreedShard, ...],
        now: int,
    ) -> list[Shard]:
        view = self._view(upstream.service, now)
        taker = next(
            (one for one in view.members if one.upstream == upstream),
            None,
        )
        if taker is None or not self._has_gathered(upstream.service, now):
            return []
        since = self._free_since.get(upstream.service, now)
        waited = (now - since) / self._timing.check_in_ms
        return choose_free(view, taker, waited)

    def _has_gathered(self, service: str, now: int) -> bool:
        since = self._gathering.setdefault(service, now)
        return now >= since + _GATHER_MS

    def _view(self, service: str, now: int) -> ServiceView:
        limit_ms = self._timing.check_in_ms * _SILENT_INTERVALS
        members = tuple(
            Member(upstream, upstream.slots)
            for upstream in self.state.list_upstreams(service)
            if not upstream.is_draining
            and self._liveness.silent_ms(upstream, now) <= limit_ms
        )
        return ServiceView(
            service,
            self.state.shards.get(service, ()),
            members,
            lambda shard: self._loads.load_of(service, shard),
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
        if spreading is not None and not self._is_spread(spreading, now):
            return None
        return self._confirm(waiting.call, now)

    def _is_spread(self, spreading: Spreading, now: int) -> bool:
        return is_spread(
            spreading,
            self.leases,
            self._elected_ms,
            self._timing,
            now,
        )

    def _find_spreading(self, call: Call) -> Spreading | None:
        """Return the change that all VMs must know before the answer."""
        match call:
            case CheckIn(upstream=name, is_draining=True):
                return self._spreading.get(name)
            case Depart(upstream=name):
                return self._spreading.get(name)
            case ChangeItems():
                return self._spreading.get('')
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
        for service, shards in state.shards.items():
            if all(shard.owner for shard in shards):
                self._free_since.pop(service, None)
            else:
                self._free_since.setdefault(service, now)

    def _confirm(self, call: Call, now: int) -> CallAnswer:
        match call:
            case CheckIn():
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
        grants = []
        for shard in self.state.list_owned(upstream):
            if shard.is_releasing:
                continue
            self._liveness.extend_hold(call.service, shard, now)
            grants.append(
                GrantedRange(
                    shard.first,
                    shard.last,
                    shard.fence,
                    shard.handover,
                ),
            )
        return CheckedIn(
            self._vm,
            is_renewal=True,
            hold_ms=self._timing.hold_ms,
            grants=tuple(grants),
        )

    def _plan_duties(self, now: int) -> Iterator[FleetCommand]:
        for item in self.state.catalogue.list_items(ItemType.SERVICE):
            if item.service is not None and item.service.is_sharded:
                yield from self._plan_service(item.name, now)
        for upstream in self.state.upstreams.values():
            if self._liveness.silent_ms(upstream, now) > _FORGET_AFTER_MS:
                yield ForgetUpstream(upstream.upstream, upstream.born)

    def _plan_service(self, service: str, now: int) -> Iterator[FleetCommand]:
        shards = self.state.shards.get(service)
        if shards is None:
            is_known = bool(self.state.list_upstreams(service))
            if is_known and self._has_gathered(service, now):
                yield DivideKeys(service, count_shards(self.state, service))
            return
        expired = tuple(
            FreedShard(shard.first, shard.fence)
            for shard in shards
            if shard.owner and not self._liveness.is_held(service, shard, now)
        )
        if expired:
            yield FreeShards(service, expired)
            return
        change = plan_change(self._view(service, now))
        if change is not None:
            yield change


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


def _overlaps(first: int, last: int, shard: Shard) -> bool:
    return first <= shard.last and shard.first <= last
