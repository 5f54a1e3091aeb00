"""Processes calls of upstreams and operators on the leader.

The class does no I/O and reads no clock. A call is answered once its commands
are committed. Some answers also wait until each entry VM that may still act on
an older state has applied the change: those to departures, to check-ins that
announce one and to changes of items.
"""

from collections.abc import Iterable, Iterator
from typing import Final

from ibisjunction.catalogue.model import ItemType, UpdateOutcome
from ibisjunction.coordination.admissions import Admissions
from ibisjunction.coordination.calls import (
    Call,
    CallAnswer,
    ChangeItems,
    CheckedIn,
    CheckIn,
    Confirmed,
    Depart,
    EndEvacuation,
    Invalid,
    ItemsRead,
    ReadItems,
    StartEvacuation,
    Unavailable,
)
from ibisjunction.coordination.calls_in_progress import (
    CallInProgress,
    CallsInProgress,
)
from ibisjunction.coordination.check_in_queue import (
    PUT_OFF,
    choose_endpoint,
    is_deferrable,
)
from ibisjunction.coordination.cold import ColdTracker, discard_cold_latencies
from ibisjunction.coordination.confirmations import Confirmations
from ibisjunction.coordination.crashes import CrashCounter, CrashReport
from ibisjunction.coordination.departures import Departures
from ibisjunction.coordination.effects import (
    ConfirmationWait,
    Effect,
    Proposals,
    Reply,
)
from ibisjunction.coordination.evacuations import Evacuations
from ibisjunction.coordination.keys import KeyPlanner
from ibisjunction.coordination.liveness import Liveness
from ibisjunction.coordination.loads import KeyLoad, LoadTracker
from ibisjunction.coordination.planned import PlannedCommand
from ibisjunction.coordination.recent_changes import RecentChanges
from ibisjunction.coordination.speeds import UpstreamSpeed
from ibisjunction.coordination.spread import (
    CommittedChange,
    find_slowest,
    list_behind,
)
from ibisjunction.coordination.timing import FleetTiming
from ibisjunction.fleet.commands import (
    AllowRequests,
    BlockRequest,
    ForgetUpstream,
    UpdateItems,
)
from ibisjunction.fleet.model import FleetState, Upstream
from ibisjunction.membership.leases import LeaseTable

#: A call that can't be answered within this time fails. Callers time out
#: earlier and turn to another VM.
_CALL_TIMEOUT_MS: Final = 4000
#: An upstream without check-ins is removed from the state after this time.
#: Until then, an upstream that has left can't be registered again by a delayed
#: check-in.
_MAX_SILENT_MS: Final = 60_000
#: Interval of the work that no call triggers, such as splits of busy shards.
_PERIODIC_INTERVAL_MS: Final = 250
#: Heartbeats of all entry VMs in a second. It bounds the leader's processor
#: time and traffic as VMs are added.
MAX_HEARTBEATS_PER_S: Final = 150
_NOTHING_PUBLISHED: Final = Unavailable('no items were published yet')
_NO_DOMAINS: Final[frozenset[str]] = frozenset()


class Coordinator:
    """Handles calls and balances shards for one leader during one term."""

    def __init__(
        self,
        vm: str,
        prefix: str,
        timing: FleetTiming,
        state: FleetState,
        index: int,
        now: int,
        failure_domains: frozenset[str] = _NO_DOMAINS,
        recent: RecentChanges | None = None,
    ) -> None:
        """Start a term; ``prefix`` makes the identifiers of proposals unique.

        Changes that were committed up to ``index`` may not have been confirmed
        yet, and entry VMs may not have applied them.

        :param recent: those of them that this replica has applied of late.
        """
        self.state = state
        self.leases = LeaseTable(
            timing.lease_ms, timing.clock_error, now, MAX_HEARTBEATS_PER_S
        )
        self._vm = vm
        self._timing = timing
        self._liveness = Liveness(now, timing.hold_limit_ms)
        self._load_tracker = LoadTracker()
        self._cold = ColdTracker(self._liveness, timing.check_in_ms)
        self._keys = KeyPlanner(timing, self._liveness, self._load_tracker)
        self._crashes = CrashCounter(state.blocked, now)
        inherited = CommittedChange(index, now)
        self._evacuations = Evacuations(
            timing, failure_domains, inherited, state
        )
        self._confirmations = Confirmations(
            timing,
            self.leases,
            self._evacuations,
            inherited,
            recent or RecentChanges(timing),
        )
        self._proposals = Proposals(prefix)
        self._calls = CallsInProgress()
        self._admissions = Admissions(self._proposals.make_id)
        self._departures = Departures(self._admissions)
        self._periodic_proposals: set[str] = set()
        self._next_periodic_ms = now
        # What all entry VMs had applied when their calls were last answered.
        self._answered_index: float = -1

    @property
    def awaited_index(self) -> int:
        """The latest change that an answer may wait for; 0 if none waits."""
        if not self._calls.has_spreading:
            return 0
        return self._confirmations.latest_index

    def handle_call(self, call_id: str, call: Call, now: int) -> list[Effect]:
        """Propose a call's commands, and answer the call if it is ready."""
        is_late = isinstance(call, CheckIn) and self._liveness.is_late(call)
        answer = _find_immediate_answer(self.state, self._evacuations, call)
        if answer is not None:
            return [Reply(call_id, answer)]
        same_proposals = self._calls.find_same_proposals(call)
        change = self._confirmations.find_required_change(call, None)
        call_state = CallInProgress(call, now, is_late=is_late, change=change)
        self._calls.add(call_id, call_state)
        self._calls.add_proposals(call_id, same_proposals)
        if same_proposals:
            return []
        awaited = self._departures.record(self.state, call, now)
        self._calls.add_proposals(call_id, awaited)
        effects: list[Effect] = []
        for planned in self._plan(call_id, call, now):
            proposal = self._proposals.propose(planned)
            self._calls.add_proposals(call_id, (proposal.proposal_id,))
            effects.append(proposal)
        effects += self._admissions.take_next(now)
        return [*effects, *self._answer_ready((call_id,), now)]

    def apply(
        self,
        state: FleetState,
        index: int,
        outcomes: dict[str, UpdateOutcome],
        now: int,
    ) -> list[Effect]:
        """Replace the state after commands were committed.

        :param outcomes: outcomes of the committed proposals.
        """
        self._confirmations.record_state_change(self.state, state, index, now)
        self._keys.record_state_change(self.state, state, now)
        self.state = state
        self._periodic_proposals -= outcomes.keys()
        self._admissions.record_outcomes(outcomes)
        change = CommittedChange(index, now)
        concerned = self._calls.record_outcomes(outcomes, change)
        if self._calls.has_item_changes(concerned):
            self._confirmations.record_item_change(change)
        return [
            *self._admissions.take_next(now),
            *self._answer_ready(concerned, now),
        ]

    def record_loads(
        self,
        loads: tuple[KeyLoad, ...],
        speeds: tuple[UpstreamSpeed, ...],
        now: int,
    ) -> None:
        """Record a VM's report on the load of keys and upstreams."""
        for load in loads:
            self._load_tracker.record_load(load, now)
        for speed in speeds:
            self._load_tracker.speeds.record(
                discard_cold_latencies(self.state, speed), now
            )

    def record_crashes(
        self, reports: Iterable[CrashReport], now: int
    ) -> list[Effect]:
        """Record crashes of upstreams; block requests that cause them."""
        return [
            self._proposals.propose(
                PlannedCommand(
                    BlockRequest(report.fingerprint),
                    f'it has crashed upstreams, the last was {report.upstream}',
                )
            )
            for report in reports
            if self._crashes.record(report, now)
        ]

    def handle_tick(self, now: int) -> list[Effect]:
        """Answer calls that became ready, and do the periodic work."""
        effects = self._answer_ready(tuple(self._calls), now)
        effects += self._admissions.take_next(now)
        if now < self._next_periodic_ms or self._periodic_proposals:
            return effects
        self._next_periodic_ms = now + _PERIODIC_INTERVAL_MS
        self._load_tracker.speeds.retain(
            {one.process_key for one in self.state.upstreams.values()}
        )
        for planned in self._plan_periodic(now):
            proposal = self._proposals.propose(planned)
            self._periodic_proposals.add(proposal.proposal_id)
            effects.append(proposal)
        return effects

    def step_down(self) -> list[Reply]:
        """Fail all calls in progress, because this VM no longer leads."""
        answer = Unavailable('the leader has changed')
        replies = [Reply(call_id, answer) for call_id in self._calls]
        self._calls.clear()
        return replies

    def _plan(
        self, call_id: str, call: Call, now: int
    ) -> Iterator[PlannedCommand]:
        match call:
            case CheckIn() if self._liveness.is_late(call):
                # A departure takes effect even if the check-in is late.
                yield from self._departures.plan(self.state, call)
            case CheckIn():
                self._liveness.record_check_in(call, now)
                yield from self._plan_check_in(call_id, call, now)
            case Depart():
                yield from self._departures.plan(self.state, call)
                yield from _plan_release(self.state, self._keys, call)
            case StartEvacuation():
                yield self._evacuations.plan(call, call_id)
            case EndEvacuation(failure_domain=domain):
                yield from self._cold.plan_restored(self.state, domain)
                yield self._evacuations.plan(call, call_id)
            case ChangeItems(update=update):
                if not self.state.catalogue.contains(update):
                    why = 'sent by an operator'
                    yield PlannedCommand(UpdateItems(update), why)

    def _plan_check_in(
        self,
        call_id: str,
        call: CheckIn,
        now: int,
    ) -> Iterator[PlannedCommand]:
        existing = self.state.upstreams.get(call.upstream)
        if existing is not None and existing.born != call.born:
            existing = None
        is_cold = self._cold.record(self.state, call, existing, now)
        upstream = self._departures.mark(
            _make_upstream(call, existing, is_cold=is_cold), now
        )
        if existing is None or upstream != existing:
            self._calls.add_proposals(
                call_id, (self._admissions.add(upstream),)
            )
        service = self.state.catalogue.find_service(call.service)
        if service is not None and service.is_sharded:
            yield from self._keys.plan_check_in(
                self.state,
                call,
                upstream,
                now,
            )

    def answer_ready_calls(self, now: int) -> list[Effect]:
        """Answer the calls that waited for entry VMs and are ready.

        Most heartbeats change nothing for any call. What they leave undone
        follows at the next tick.
        """
        applied_index = self.leases.find_applied_index(now)
        if applied_index == self._answered_index:
            return []
        self._answered_index = applied_index
        return self._answer_ready(self._calls.list_spreading(), now)

    def _answer_ready(self, call_ids: Iterable[str], now: int) -> list[Effect]:
        """Answer those of some calls that are complete or have timed out."""
        replies: list[Effect] = []
        for call_id in call_ids:
            call_state = self._calls.find(call_id)
            if call_state is None:
                continue
            answer = self._find_answer(call_state, now)
            if answer is not None:
                change = self._find_required_change(call_id)
                self._calls.remove(call_id)
                wait = None
                if change is not None:
                    wait = _describe_wait(call_state, change, self.leases, now)
                replies.append(Reply(call_id, answer, wait))
        return replies

    def _find_required_change(self, call_id: str) -> CommittedChange | None:
        call_state = self._calls.find(call_id)
        if call_state is None:
            return None
        return self._confirmations.find_required_change(
            call_state.call, call_state.change
        )

    def _find_answer(
        self, call_state: CallInProgress, now: int
    ) -> CallAnswer | None:
        if call_state.rejection:
            return Invalid(call_state.rejection)
        if now >= call_state.started_ms + _CALL_TIMEOUT_MS:
            return Unavailable('not confirmed in time')
        if call_state.pending_proposals:
            return None
        if not self._confirmations.is_confirmable(
            call_state.call, call_state.change, now
        ):
            return None
        return self._confirm(call_state, now)

    def _confirm(self, call_state: CallInProgress, now: int) -> CallAnswer:
        match call_state.call:
            case CheckIn() if call_state.is_late:
                return CheckedIn(self._endpoint, is_renewal=False)
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
            return CheckedIn(self._endpoint, is_renewal=False)
        return CheckedIn(
            self._endpoint,
            is_renewal=True,
            hold_ms=self._timing.hold_ms,
            grants=self._keys.grant_keys(self.state, upstream, call, now),
        )

    @property
    def _endpoint(self) -> str:
        return choose_endpoint(
            self._vm, len(self.state.upstreams), self._timing.check_in_ms
        )

    def _plan_periodic(self, now: int) -> Iterator[PlannedCommand]:
        yield from self._cold.plan_periodic(self.state, now)
        allowed = tuple(self._crashes.expire(now))
        if allowed:
            yield PlannedCommand(AllowRequests(allowed), 'blocked for long')
        for item in self.state.catalogue.list_items(ItemType.SERVICE):
            if item.service is not None and item.service.is_sharded:
                yield from self._keys.plan_periodic(
                    self.state,
                    item.name,
                    now,
                )
        for upstream in self._evacuations.list_overdue(self.state, now):
            yield from self._keys.plan_release_all(self.state, upstream)
        for upstream in self.state.upstreams.values():
            if self._liveness.silent_ms(upstream, now) > _MAX_SILENT_MS:
                command = ForgetUpstream(upstream.upstream, upstream.born)
                yield PlannedCommand(command, 'silent for long')


def _describe_wait(
    call_state: CallInProgress,
    change: CommittedChange,
    leases: LeaseTable,
    now: int,
) -> ConfirmationWait:
    return ConfirmationWait(
        type(call_state.call).__name__,
        now - call_state.started_ms,
        tuple(list_behind(change, leases, now)),
        now - change.committed_ms,
        find_slowest(change, leases, now),
        tuple(sorted(call_state.pending_proposals)),
    )


def _make_upstream(
    call: CheckIn, existing: Upstream | None, *, is_cold: bool
) -> Upstream:
    """Return the upstream that a check-in describes.

    A process that has started to leave stays marked as leaving.
    """
    was_draining = existing is not None and existing.is_draining
    return Upstream(
        call.upstream,
        call.born,
        call.service,
        call.address,
        call.failure_domain,
        call.slots,
        call.is_draining or was_draining,
        is_cold,
    )


def _find_immediate_answer(
    state: FleetState, evacuations: Evacuations, call: Call
) -> CallAnswer | None:
    """Return the answer if a call needs no command and no confirmation."""
    match call:
        case CheckIn():
            return _find_check_in_error(state, call)
        case ReadItems() if state.catalogue.is_empty:
            return _NOTHING_PUBLISHED
        case StartEvacuation() | EndEvacuation() as order:
            return evacuations.find_error(state, order)
        case _:
            return None


def _find_check_in_error(
    state: FleetState,
    call: CheckIn,
) -> CallAnswer | None:
    if state.catalogue.is_empty:
        # A refusal would make the upstream call all VMs in turn. It is admitted
        # at a later check-in.
        return PUT_OFF if is_deferrable(call) else _NOTHING_PUBLISHED
    if state.catalogue.find_service(call.service) is None:
        return Invalid(f'unknown service {call.service}')
    conflicting = state.find_conflicting(call.upstream, call.address)
    if any(other.born > call.born for other in conflicting):
        return Invalid('a later process has replaced this one')
    return None


def _plan_release(
    state: FleetState, keys: KeyPlanner, call: Depart
) -> Iterator[PlannedCommand]:
    existing = state.upstreams.get(call.upstream)
    if existing is None or existing.is_draining:
        return
    if call.born in {0, existing.born}:
        yield from keys.plan_release_all(state, existing)
