"""Runs a replica of the fleet's log and, while elected, its leader."""

import asyncio
import logging
import random
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Final

from ibisjunction.clock import Clock, in_seconds
from ibisjunction.control.effects import SnapshotTaken, Tick, WritesCompleted
from ibisjunction.control.messages import (
    CommittedEntries,
    LeaderHint,
    ReplicaMessage,
    StateSnapshot,
)
from ibisjunction.control.roles import ElectionTiming
from ibisjunction.control.subscribers import Subscribers
from ibisjunction.control.task import OpenedLog
from ibisjunction.control.writer import StorageFailed
from ibisjunction.coordination.coordinator import Coordinator
from ibisjunction.coordination.effects import Effect, Propose, Reply
from ibisjunction.coordination.forwarding import CallForwarder
from ibisjunction.coordination.leader_calls import LeaderCalls
from ibisjunction.coordination.log import AppliedEntries, FleetLog
from ibisjunction.coordination.membership import VoterMembership
from ibisjunction.coordination.messages import (
    AskToJoin,
    AskToLeave,
    CallAnswered,
    ForgetVm,
    ForwardedCall,
    LeaveAnswered,
    LoadReport,
    LocalCall,
    PrepareToStop,
    RelayedAnswer,
    RelayedHeartbeat,
    SeedsChanged,
    decode_call,
)
from ibisjunction.coordination.metrics import LogMetrics
from ibisjunction.coordination.recent_changes import RecentChanges
from ibisjunction.coordination.spread import SlowVm
from ibisjunction.coordination.timing import FleetTiming
from ibisjunction.events import Event, log_event
from ibisjunction.fleet.codec import encode_fleet
from ibisjunction.fleet.report import ReadState, VmSummary, encode_report
from ibisjunction.mailbox import Mailbox
from ibisjunction.membership.messages import Heartbeat
from ibisjunction.metrics import ReadMetrics
from ibisjunction.peers.link import PeerNetwork, Received
from ibisjunction.peers.traffic import PeerTraffic

_logger = logging.getLogger(__name__)

_TICK_MS: Final = 20
#: A voter uses a hint of the leader for this long.
_HINT_TIMEOUT_MS: Final = 1000
#: Messages with new entries to all entry VMs in a second. It bounds the
#: leader's processor time and traffic as VMs are added.
MAX_UPDATES_PER_S: Final = 600
#: Check-ins that are answered before the task looks at other messages again.
#: They take some 5 ms.
_CHECK_INS_PER_TURN: Final = 32


@dataclass(frozen=True, slots=True)
class ReplicaOptions:
    """Options of a replica.

    ``seeds`` are the control VMs that it contacts first; ``prefix`` differs
    for each start of the process. ``failure_domains`` are those of the
    deployment.
    """

    vm: str
    prefix: str
    seeds: tuple[str, ...]
    election: ElectionTiming
    timing: FleetTiming
    failure_domains: frozenset[str] = frozenset()


@dataclass(slots=True)
class _LeaderState:
    """State of a leader."""

    coordinator: Coordinator
    subscribers: Subscribers
    calls: LeaderCalls


class FleetTask:
    """Runs one replica of the log, and the leader while it is elected."""

    def __init__(
        self,
        options: ReplicaOptions,
        clock: Clock,
        peers: PeerNetwork,
        opened: OpenedLog,
        rng: random.Random,
    ) -> None:
        """Subscribe to messages; the caller must run the log's storage too."""
        self._options = options
        self._seeds = options.seeds
        self._clock = clock
        self._peers = peers
        self.mailbox: Mailbox[Any] = Mailbox()
        now = clock.now()
        self.log = FleetLog(
            opened,
            options.election,
            options.timing.tolerated_losses + 1,
            peers,
            self.mailbox,
            rng,
            now,
        )
        self._state = self.log.replica.state
        self._recent = RecentChanges(options.timing)
        self._metrics = LogMetrics(self.log)
        self._leader_state: _LeaderState | None = None
        self._forwarding = CallForwarder(options.prefix, peers)
        self._hinted_leader: str | None = None
        self._hinted_ms = now
        self._leadership_count = 0
        self._membership = VoterMembership(
            options.vm,
            options.prefix,
            self.log,
            peers,
            options.election,
            options.timing,
            now,
        )
        peers.subscribe(
            self.mailbox,
            ReplicaMessage,
            Heartbeat,
            LoadReport,
            ForwardedCall,
            CallAnswered,
            AskToJoin,
            AskToLeave,
            LeaveAnswered,
            LeaderHint,
            ForgetVm,
            RelayedHeartbeat,
            PeerTraffic,
        )

    @property
    def leader(self) -> str | None:
        """The VM of the leader, or ``None`` if it is unknown.

        A voter without a leader relies on recent hints only: in an election
        there is none, but a voter that was replaced has no other source.
        """
        leader = self.log.find_leader()
        is_hint_usable = (
            not self.log.is_voter
            or self._clock.now() < self._hinted_ms + _HINT_TIMEOUT_MS
        )
        if leader is None and is_hint_usable:
            return self._hinted_leader
        return leader

    async def run(self) -> None:
        """Handle messages until cancelled or until the storage fails."""
        while True:
            leader_state = self._leader_state
            if leader_state is not None and leader_state.calls.check_ins:
                # Lets the links deliver what has arrived.
                await asyncio.sleep(0)
            else:
                self._receive(await self.mailbox.get())
            for message in self.mailbox.take_queued():
                self._receive(message)
            self._handle_check_ins(_CHECK_INS_PER_TURN)

    async def run_timer(self) -> None:
        """Post ticks until cancelled."""
        while True:
            await asyncio.sleep(in_seconds(_TICK_MS))
            self.mailbox.post(Tick())

    def handle(self, message: Any) -> None:
        """Process one message, and the check-ins that wait."""
        self._receive(message)
        self._handle_check_ins(None)

    def _receive(self, message: Any) -> None:
        """Process one message; a check-in waits until others are processed."""
        now = self._clock.now()
        match message:
            case StorageFailed():
                raise OSError('the storage of the control log failed')
            case Received(sender=sender, message=ReplicaMessage() as wrapped):
                self._membership.record_target(sender, wrapped.target)
                self._handle_applied(self.log.handle_message(wrapped, now), now)
            case Received(sender=sender, message=received):
                self._handle_peer_message(sender, received, now)
            case LocalCall(call=call, reply=reply):
                self._forwarding.add(call, reply, self.leader, now)
            case Tick():
                self._handle_applied(self.log.handle_event(message, now), now)
                self._handle_tick(now)
            case WritesCompleted() | SnapshotTaken():
                self._handle_applied(self.log.handle_event(message, now), now)
            case SeedsChanged(seeds=seeds):
                self._seeds = seeds
            case PrepareToStop(reply=reply):
                self._membership.prepare_to_stop(reply, now)
            case PeerTraffic():
                self._metrics.traffic = message
            case ReadMetrics(reply=reply):
                reply.post(self._metrics.render())
            case ReadState(reply=reply):
                summary = _summarise(
                    self._options.vm,
                    self.log,
                    self._leader_state,
                    self.leader,
                    now,
                )
                reply.post(encode_report(summary, self.log.replica.state))

    def _handle_peer_message(self, sender: str, message: Any, now: int) -> None:
        match message:
            case CallAnswered(call_id=call_id, answer=encoded):
                self._forwarding.answer(call_id, decode_call(encoded))
            case AskToJoin():
                self._membership.record_joiner(message, now)
                self._send_hint(sender)
            case LeaveAnswered():
                self._membership.handle_answer(message)
            case LeaderHint(vm=vm):
                self._hinted_leader = vm
                self._hinted_ms = now
            case (
                Heartbeat()
                | RelayedHeartbeat()
                | ForwardedCall()
                | LoadReport()
                | ForgetVm()
                | AskToLeave()
            ):
                leader_state = self._leader_state
                if leader_state is None or not self.log.is_acting(now):
                    self._send_hint(sender)
                else:
                    self._handle_leader_message(
                        leader_state, sender, message, now
                    )

    def _handle_leader_message(
        self,
        leader_state: _LeaderState,
        sender: str,
        message: Heartbeat
        | RelayedHeartbeat
        | ForwardedCall
        | LoadReport
        | ForgetVm
        | AskToLeave,
        now: int,
    ) -> None:
        """Process a message to the leader."""
        coordinator = leader_state.coordinator
        match message:
            case Heartbeat():
                _renew_lease(leader_state, self.log, message, now)
                effects = coordinator.answer_ready_calls(now)
                self._execute_effects(leader_state, effects)
            case RelayedHeartbeat(heartbeat=heartbeat, report=report):
                answer = _make_relayed_answer(
                    leader_state, self.log, heartbeat, now
                )
                self._peers.send(sender, answer)
                self._handle_report(leader_state, report, now)
                self._execute_effects(
                    leader_state, coordinator.answer_ready_calls(now)
                )
            case ForwardedCall():
                if leader_state.calls.receive(sender, message, now):
                    self._handle_call(leader_state, message, now)
            case LoadReport():
                self._handle_report(leader_state, message, now)
            case ForgetVm(vm=vm, incarnation=incarnation):
                coordinator.leases.remove(vm, incarnation)
            case AskToLeave():
                change = self._membership.handle_leave_request(message, now)
                self._propose(change, now)

    def _handle_call(
        self, leader_state: _LeaderState, forwarded: ForwardedCall, now: int
    ) -> None:
        call = decode_call(forwarded.call)
        effects = leader_state.coordinator.handle_call(
            forwarded.call_id, call, now
        )
        self._execute_effects(leader_state, effects)

    def _handle_report(
        self, leader_state: _LeaderState, report: LoadReport, now: int
    ) -> None:
        coordinator = leader_state.coordinator
        coordinator.record_loads(report.loads, report.speeds, now)
        effects = coordinator.record_crashes(report.crashes, now)
        self._execute_effects(leader_state, effects)

    def _handle_tick(self, now: int) -> None:
        leader_state = self._leader_state
        if leader_state is not None:
            effects = leader_state.coordinator.handle_tick(now)
            self._execute_effects(leader_state, effects)
            _push_entries(leader_state, now)
            leader_state.calls.log_put_off(now)
            self._metrics.check_ins = leader_state.calls.check_ins
        self._forwarding.send_due(self.leader, now)
        change = self._membership.handle_tick(
            self.leader,
            self._seeds,
            now,
            is_leading=self._leader_state is not None,
        )
        self._propose(change, now)

    def _propose(self, proposal: Propose | None, now: int) -> None:
        if proposal is not None:
            applied = self.log.propose(
                proposal.proposal_id, proposal.command, now, proposal.why
            )
            self._handle_applied(applied, now)

    def _handle_check_ins(self, limit: int | None) -> None:
        """Answer check-ins that wait, and put off those that waited long."""
        leader_state = self._leader_state
        if leader_state is None or not leader_state.calls.check_ins:
            return
        now = self._clock.now()
        for call in leader_state.calls.take_check_ins(limit, now):
            self._handle_call(leader_state, call, now)

    def _send_hint(self, vm: str) -> None:
        # Voters that pass hints on would renew each other's after the leader is
        # lost.
        leader = self.log.find_leader() if self.log.is_voter else self.leader
        if leader is not None and leader != self._options.vm:
            self._peers.send(vm, LeaderHint(leader, self.log.term))

    def _handle_applied(self, applied: list[AppliedEntries], now: int) -> None:
        """Process committed entries and a change of leadership."""
        leader_state = self._leader_state
        replica = self.log.replica
        if leader_state is None or not self.log.is_acting(now):
            self._recent.follow(self._state, replica.state, replica.index, now)
        self._state = replica.state
        if any(batch.changes_voters for batch in applied):
            self._membership.record_change(now)
        if leader_state is not None:
            for batch in applied:
                leader_state.subscribers.add_entries(
                    batch.first_index, batch.entries
                )
                effects = leader_state.coordinator.apply(
                    self.log.replica.state,
                    self.log.replica.index,
                    batch.outcomes,
                    now,
                )
                self._execute_effects(leader_state, effects)
            _push_entries(leader_state, now)
        is_acting = self.log.is_acting(now)
        if is_acting and self._leader_state is None:
            self._start_leading(now)
        elif not is_acting and self._leader_state is not None:
            self._stop_leading(self._leader_state)

    def _start_leading(self, now: int) -> None:
        # A leader may stop and start again in one term, so the term does not
        # tell its proposals apart.
        self._leadership_count += 1
        coordinator = Coordinator(
            self._options.vm,
            f'{self._options.prefix}.{self._leadership_count}',
            self._options.timing,
            self.log.replica.state,
            self.log.replica.index,
            now,
            self._options.failure_domains,
            self._recent,
        )
        subscribers = Subscribers(
            self._peers, coordinator.leases, encode_fleet, MAX_UPDATES_PER_S
        )
        self._leader_state = _LeaderState(
            coordinator, subscribers, LeaderCalls(self._peers)
        )
        log_event(
            _logger,
            Event.LEADER_ELECTED,
            node=self.log.node,
            term=self.log.term,
            index=self.log.replica.index,
        )

    def _stop_leading(self, leader_state: _LeaderState) -> None:
        self._leader_state = None
        leader_state.calls.refuse_check_ins()
        self._execute_effects(
            leader_state, leader_state.coordinator.step_down()
        )
        log_event(
            _logger,
            Event.LEADER_STOPPED,
            logging.WARNING,
            node=self.log.node,
            term=self.log.term,
        )

    def _execute_effects(
        self,
        leader_state: _LeaderState,
        effects: Iterable[Effect],
    ) -> None:
        for effect in effects:
            match effect:
                case Propose():
                    self._propose(effect, self._clock.now())
                case Reply(call_id=call_id, answer=answer):
                    _log_confirmation(effect)
                    leader_state.calls.answer(call_id, answer)


def _summarise(
    vm: str,
    log: FleetLog,
    leader_state: _LeaderState | None,
    leader: str | None,
    now: int,
) -> VmSummary:
    duty = 'voting' if log.is_voter else 'joining'
    vms: tuple[str, ...] = ()
    if leader_state is not None:
        duty = 'leading'
        vms = leader_state.coordinator.leases.serving_vms(now)
    return VmSummary(
        vm=vm,
        role='control',
        duty=duty,
        term=log.term,
        index=log.replica.index,
        leader=leader or '',
        voters=tuple(voter.vm for voter in log.voters),
        vms=vms,
    )


def _renew_lease(
    leader_state: _LeaderState, log: FleetLog, heartbeat: Heartbeat, now: int
) -> None:
    """Answer a heartbeat, and send what its VM has not applied."""
    index = log.replica.index
    subscribers = leader_state.subscribers
    subscribers.renew_lease(heartbeat, now, log.term, index)
    subscribers.send_missing(
        heartbeat,
        log.replica_log,
        index,
        log.replica.state,
        now,
        awaited_index=leader_state.coordinator.awaited_index,
    )


def _push_entries(leader_state: _LeaderState, now: int) -> None:
    leader_state.subscribers.push(
        now, awaited_index=leader_state.coordinator.awaited_index
    )


def _log_confirmation(reply: Reply) -> None:
    """Log the answer to a call that had to wait for entry VMs."""
    wait = reply.wait
    if wait is None:
        return
    slowest = wait.slowest or SlowVm('', 0, 0)
    log_event(
        _logger,
        Event.CALL_ANSWERED,
        call_id=reply.call_id,
        call=wait.call,
        answer=type(reply.answer).__name__,
        waited_ms=wait.waited_ms,
        behind=','.join(wait.behind),
        committed_ms=wait.committed_ms,
        slowest=slowest.vm,
        gap_ms=slowest.gap_ms,
        missing=slowest.missing,
        uncommitted=','.join(wait.uncommitted),
    )


def _make_relayed_answer(
    leader_state: _LeaderState,
    log: FleetLog,
    heartbeat: Heartbeat,
    now: int,
) -> RelayedAnswer:
    """Return the answer to a heartbeat that came through another VM."""
    replica = log.replica
    leases = leader_state.coordinator.leases
    missing = leader_state.subscribers.find_missing(
        heartbeat,
        log.replica_log,
        replica.index,
        replica.state,
        now,
        is_relayed=True,
        awaited_index=leader_state.coordinator.awaited_index,
    )
    return RelayedAnswer(
        heartbeat.vm,
        leases.record_heartbeat(heartbeat, now, log.term, replica.index),
        entries=missing if isinstance(missing, CommittedEntries) else None,
        snapshot=missing if isinstance(missing, StateSnapshot) else None,
    )
