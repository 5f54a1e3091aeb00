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
from ibisjunction.coordination.coordinator import (
    Coordinator,
    Effect,
    Propose,
    Reply,
)
from ibisjunction.coordination.forwarding import CallForwarder
from ibisjunction.coordination.log import AppliedEntries, FleetLog
from ibisjunction.coordination.messages import (
    AskToJoin,
    CallAnswered,
    ForgetVm,
    ForwardedCall,
    LoadReport,
    LocalCall,
    RelayedAnswer,
    RelayedHeartbeat,
    SeedsChanged,
    decode_call,
    encode_call,
)
from ibisjunction.coordination.metrics import LogMetrics
from ibisjunction.coordination.timing import FleetTiming
from ibisjunction.coordination.voters import Joiner, plan_voters
from ibisjunction.events import Event, log_event
from ibisjunction.fleet.codec import encode_fleet
from ibisjunction.fleet.commands import ReplaceVoters
from ibisjunction.fleet.report import ReadState, VmSummary, encode_report
from ibisjunction.mailbox import Mailbox
from ibisjunction.membership.messages import Heartbeat
from ibisjunction.metrics import ReadMetrics
from ibisjunction.peers.link import PeerNetwork, Received
from ibisjunction.peers.traffic import PeerTraffic

_logger = logging.getLogger(__name__)

_TICK_MS: Final = 20
#: Interval at which a replica that does not vote requests to become a voter,
#: and at which the leader changes the voters if needed.
_JOIN_INTERVAL_MS: Final = 300
#: A joiner that has sent no request for this long is not made a voter.
_JOINER_TIMEOUT_MS: Final = 1500
#: Messages with new entries to all entry VMs in a second. It bounds the
#: leader's processor time and traffic as VMs are added.
MAX_UPDATES_PER_S: Final = 600
#: A voter that has not answered for this long is replaced if possible.
_VOTER_TIMEOUT_MS: Final = 6000


@dataclass(frozen=True, slots=True)
class ReplicaOptions:
    """Options of a replica.

    ``seeds`` are the control VMs that it contacts first; ``prefix`` differs
    for each start of the process.
    """

    vm: str
    prefix: str
    seeds: tuple[str, ...]
    election: ElectionTiming
    timing: FleetTiming


@dataclass(slots=True)
class _LeaderState:
    """State of a leader; ``call_senders`` maps calls to their senders."""

    coordinator: Coordinator
    subscribers: Subscribers
    call_senders: dict[str, str]


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
        self._metrics = LogMetrics(self.log)
        self._leader_state: _LeaderState | None = None
        self._forwarding = CallForwarder(options.prefix)
        self._hinted_leader: str | None = None
        # Joiners and the times of their latest requests, by VM.
        self._joiners: dict[str, tuple[Joiner, int]] = {}
        self._next_join_ms = now
        self._voter_change_count = 0
        peers.subscribe(
            self.mailbox,
            ReplicaMessage,
            Heartbeat,
            LoadReport,
            ForwardedCall,
            CallAnswered,
            AskToJoin,
            LeaderHint,
            ForgetVm,
            RelayedHeartbeat,
            PeerTraffic,
        )

    @property
    def leader(self) -> str | None:
        """The VM of the leader, or ``None`` if it is unknown."""
        if self.log.is_voter:
            return self.log.find_leader()
        return self.log.find_leader() or self._hinted_leader

    async def run(self) -> None:
        """Handle messages until cancelled or until the storage fails."""
        while True:
            message = await self.mailbox.get()
            if isinstance(message, StorageFailed):
                raise OSError('the storage of the control log failed')
            self.handle(message)

    async def run_timer(self) -> None:
        """Post ticks until cancelled."""
        while True:
            await asyncio.sleep(in_seconds(_TICK_MS))
            self.mailbox.post(Tick())

    def handle(self, message: Any) -> None:
        """Process one message."""
        now = self._clock.now()
        match message:
            case Received(message=ReplicaMessage() as wrapped):
                self._handle_applied(self.log.handle_message(wrapped, now), now)
            case Received(sender=sender, message=received):
                self._handle_peer_message(sender, received, now)
            case LocalCall(call=call, reply=reply):
                self._forwarding.add(call, reply, now)
                self._forward_calls(now)
            case Tick():
                self._handle_applied(self.log.handle_event(message, now), now)
                self._handle_tick(now)
            case WritesCompleted() | SnapshotTaken():
                self._handle_applied(self.log.handle_event(message, now), now)
            case SeedsChanged(seeds=seeds):
                self._seeds = seeds
            case PeerTraffic():
                self._metrics.traffic = message
            case ReadMetrics(reply=reply):
                reply.post(self._metrics.render())
            case ReadState(reply=reply):
                reply.post(self._make_report(now))

    def _make_report(self, now: int) -> bytes:
        duty = 'voting' if self.log.is_voter else 'joining'
        vms: tuple[str, ...] = ()
        if self._leader_state is not None:
            duty = 'leading'
            vms = self._leader_state.coordinator.leases.serving_vms(now)
        summary = VmSummary(
            vm=self._options.vm,
            role='control',
            duty=duty,
            term=self.log.term,
            index=self.log.replica.index,
            leader=self.leader or '',
            voters=tuple(voter.vm for voter in self.log.voters),
            vms=vms,
        )
        return encode_report(summary, self.log.replica.state)

    def _handle_peer_message(self, sender: str, message: Any, now: int) -> None:
        match message:
            case CallAnswered(call_id=call_id, answer=encoded):
                self._forwarding.answer(call_id, decode_call(encoded))
            case AskToJoin(node=node, vm=vm):
                # A later process on the VM replaces the one before.
                self._joiners[vm] = (Joiner(node, vm), now)
                self._send_hint(sender)
            case LeaderHint(vm=vm):
                self._hinted_leader = vm
            case (
                Heartbeat()
                | RelayedHeartbeat()
                | ForwardedCall()
                | LoadReport()
                | ForgetVm()
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
        | ForgetVm,
        now: int,
    ) -> None:
        """Process a message to the leader."""
        coordinator = leader_state.coordinator
        match message:
            case Heartbeat():
                self._answer_heartbeat(leader_state, message, now)
            case RelayedHeartbeat(heartbeat=heartbeat, report=report):
                answer = _make_relayed_answer(
                    leader_state, self.log, heartbeat, now
                )
                self._peers.send(sender, answer)
                coordinator.record_loads(report.loads, report.speeds, now)
                self._execute_effects(
                    leader_state, coordinator.answer_ready_calls(now)
                )
            case ForwardedCall(call_id=call_id, call=encoded):
                if call_id not in leader_state.call_senders:
                    leader_state.call_senders[call_id] = sender
                    call = decode_call(encoded)
                    effects = coordinator.handle_call(call_id, call, now)
                    self._execute_effects(leader_state, effects)
            case LoadReport():
                coordinator.record_loads(message.loads, message.speeds, now)
            case ForgetVm(vm=vm, incarnation=incarnation):
                coordinator.leases.remove(vm, incarnation)

    def _answer_heartbeat(
        self,
        leader_state: _LeaderState,
        heartbeat: Heartbeat,
        now: int,
    ) -> None:
        index = self.log.replica.index
        subscribers = leader_state.subscribers
        subscribers.renew_lease(heartbeat, now, self.log.term, index)
        subscribers.send_missing(
            heartbeat,
            self.log.replica_log,
            index,
            self.log.replica.state,
            now,
        )
        effects = leader_state.coordinator.answer_ready_calls(now)
        self._execute_effects(leader_state, effects)

    def _handle_tick(self, now: int) -> None:
        leader_state = self._leader_state
        if leader_state is not None:
            effects = leader_state.coordinator.handle_tick(now)
            self._execute_effects(leader_state, effects)
            _push_entries(leader_state, now)
        self._forward_calls(now)
        if now < self._next_join_ms:
            return
        self._next_join_ms = now + _JOIN_INTERVAL_MS
        if self._leader_state is not None:
            self._change_voters(now)
        elif not self.log.is_voter:
            self._request_to_join()

    def _request_to_join(self) -> None:
        request = AskToJoin(self.log.node, self._options.vm)
        voters = {voter.vm for voter in self.log.voters}
        recipients = {*self._seeds, *voters, self._hinted_leader or ''}
        for vm in recipients - {self._options.vm, ''}:
            self._peers.send(vm, request)

    def _change_voters(self, now: int) -> None:
        joiners = [
            joiner
            for joiner, received_ms in self._joiners.values()
            if now < received_ms + _JOINER_TIMEOUT_MS
        ]
        new_voters = plan_voters(
            self.log.voters,
            joiners,
            self.log.find_unresponsive_replicas(now, _VOTER_TIMEOUT_MS),
            self._options.timing.voter_count,
        )
        if new_voters is not None:
            self._voter_change_count += 1
            number = self._voter_change_count
            proposal_id = f'{self._options.prefix}.voters.{number}'
            command = ReplaceVoters(new_voters)
            why = 'a voter is silent, or a disk has joined'
            applied = self.log.propose(proposal_id, command, now, why)
            self._handle_applied(applied, now)

    def _forward_calls(self, now: int) -> None:
        leader = self.leader
        for call_id, call in self._forwarding.take_calls_to_send(leader, now):
            forwarded = ForwardedCall(call_id, encode_call(call))
            self._peers.send(leader or '', forwarded)

    def _send_hint(self, vm: str) -> None:
        leader = self.leader
        if leader is not None and leader != self._options.vm:
            self._peers.send(vm, LeaderHint(leader, self.log.term))

    def _handle_applied(self, applied: list[AppliedEntries], now: int) -> None:
        """Process committed entries and a change of leadership."""
        leader_state = self._leader_state
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
        coordinator = Coordinator(
            self._options.vm,
            f'{self._options.prefix}.{self.log.term}',
            self._options.timing,
            self.log.replica.state,
            self.log.replica.index,
            now,
        )
        subscribers = Subscribers(
            self._peers, coordinator.leases, encode_fleet, MAX_UPDATES_PER_S
        )
        self._leader_state = _LeaderState(coordinator, subscribers, {})
        log_event(
            _logger,
            Event.LEADER_ELECTED,
            node=self.log.node,
            term=self.log.term,
            index=self.log.replica.index,
        )

    def _stop_leading(self, leader_state: _LeaderState) -> None:
        self._leader_state = None
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
                case Propose(proposal_id=proposal_id, command=command, why=why):
                    now = self._clock.now()
                    applied = self.log.propose(proposal_id, command, now, why)
                    self._handle_applied(applied, now)
                case Reply(call_id=call_id, answer=answer):
                    _log_confirmation(effect)
                    sender = leader_state.call_senders.pop(call_id, '')
                    reply = CallAnswered(call_id, encode_call(answer))
                    self._peers.send(sender, reply)


def _push_entries(leader_state: _LeaderState, now: int) -> None:
    leader_state.subscribers.push(
        now, wants_report=leader_state.coordinator.awaits_entry_vms
    )


def _log_confirmation(reply: Reply) -> None:
    """Log the answer to a call that had to wait for entry VMs."""
    wait = reply.wait
    if wait is None:
        return
    log_event(
        _logger,
        Event.CALL_ANSWERED,
        call_id=reply.call_id,
        call=wait.call,
        answer=type(reply.answer).__name__,
        waited_ms=wait.waited_ms,
        behind=','.join(wait.behind),
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
    )
    return RelayedAnswer(
        heartbeat.vm,
        leases.record_heartbeat(heartbeat, now, log.term, replica.index),
        entries=missing if isinstance(missing, CommittedEntries) else None,
        snapshot=missing if isinstance(missing, StateSnapshot) else None,
    )
