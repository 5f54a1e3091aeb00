"""Runs a replica of the fleet's log, and leads while it is elected."""

import asyncio
import functools
import logging
import random
from dataclasses import dataclass
from typing import Any, Final

from ibisjunction.clock import Clock, in_seconds
from ibisjunction.control.audience import Audience
from ibisjunction.control.codec import decode_message, encode_message
from ibisjunction.control.consensus import Consensus
from ibisjunction.control.effects import (
    AppendLog,
    Arrived,
    Committed,
    Declined,
    Deposed,
    Elected,
    InstallState,
    Proposed,
    SaveVote,
    Send,
    SnapshotTaken,
    Tick,
    Written,
)
from ibisjunction.control.effects import Effect as ReplicaEffect
from ibisjunction.control.effects import Event as ReplicaEvent
from ibisjunction.control.messages import LeaderHint, ReplicaMessage
from ibisjunction.control.roles import ElectionTiming
from ibisjunction.control.task import OpenedLog
from ibisjunction.control.writer import (
    SaveSnapshot,
    StorageFailed,
    StorageTask,
)
from ibisjunction.coordination.coordinator import (
    Coordinator,
    Effect,
    Propose,
    Reply,
)
from ibisjunction.coordination.forwarding import Forwarding
from ibisjunction.coordination.messages import (
    AskToJoin,
    CallAnswered,
    ForgetVm,
    ForwardedCall,
    LoadReport,
    LocalCall,
    decode_call,
    encode_call,
)
from ibisjunction.coordination.replicas import FleetReplica
from ibisjunction.coordination.timing import FleetTiming
from ibisjunction.coordination.voters import Joiner, plan_voters
from ibisjunction.events import Event, log_event
from ibisjunction.fleet.codec import encode_fleet, encode_fleet_command
from ibisjunction.fleet.commands import ReplaceVoters
from ibisjunction.mailbox import Mailbox
from ibisjunction.membership.leader import LeaderTracker
from ibisjunction.membership.messages import Heartbeat
from ibisjunction.peers.codec import CodecError
from ibisjunction.peers.link import PeerNetwork, Received

_logger = logging.getLogger(__name__)

_TICK_MS: Final = 20
#: Bounds the entries that a restart has to read.
_ENTRIES_PER_SNAPSHOT: Final = 1000
#: Interval at which a replica that does not vote says so.
_JOIN_MS: Final = 300
#: A joiner that was not heard for this long is not made a voter.
_JOINER_LIMIT_MS: Final = 1500
#: A voter that did not answer for this long gives way to another replica.
_SILENT_VOTER_MS: Final = 6000


@dataclass(frozen=True, slots=True)
class ReplicaOptions:
    """What a replica is started with.

    ``seeds`` are the VMs to ask for the leader; ``prefix`` differs for each
    start of the process.
    """

    vm: str
    prefix: str
    seeds: tuple[str, ...]
    election: ElectionTiming
    timing: FleetTiming


class FleetTask:
    """One replica of the log and the duties of its leader."""

    def __init__(
        self,
        options: ReplicaOptions,
        clock: Clock,
        peers: PeerNetwork,
        opened: OpenedLog,
        generator: random.Random,
    ) -> None:
        """Subscribe to messages; :attr:`storage` must run beside this task."""
        self._options = options
        self._clock = clock
        self._peers = peers
        now = clock.now()
        self._consensus = Consensus(
            opened.node,
            opened.stored,
            options.election,
            generator,
            now,
            options.timing.tolerated_losses + 1,
        )
        self._replica = FleetReplica()
        self._replica.restore(opened.stored.snapshot)
        self._audience: Audience | None = None
        self._coordinator: Coordinator | None = None
        self._origins: dict[str, str] = {}
        self._forwarding = Forwarding(options.prefix)
        self._tracker = LeaderTracker(_JOIN_MS)
        self._hinted: str | None = None
        self._joiners: dict[Joiner, int] = {}
        self._join_at = now
        self._voter_changes = 0
        self._is_saving = False
        self.mailbox: Mailbox[Any] = Mailbox()
        self.storage = StorageTask(
            opened.store,
            self.mailbox,
            opened.run_blocking,
        )
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
        )

    @property
    def leader(self) -> str | None:
        """The VM that leads, as far as this one knows."""
        node = self._consensus.find_leader()
        if node is not None:
            return _vm_of(node)
        return None if self._is_voter() else self._hinted

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
                self._accept(wrapped, now)
            case Received(sender=sender, message=received):
                self._receive(sender, received, now)
            case LocalCall(call=call, reply=reply):
                self._forwarding.add(call, reply, now)
                self._forward_calls(now)
            case Tick():
                self._advance(message, now)
                self._look_at_clock(now)
            case SnapshotTaken(snapshot=snapshot):
                self._is_saving = False
                self._advance(message, now)
                log_event(_logger, Event.SNAPSHOT_SAVED, index=snapshot.index)
            case Written():
                self._advance(message, now)

    def _receive(self, sender: str, message: Any, now: int) -> None:
        match message:
            case Heartbeat():
                self._answer_heartbeat(sender, message, now)
            case ForwardedCall(call_id=call_id, call=encoded):
                self._take_call(sender, call_id, encoded, now)
            case CallAnswered(call_id=call_id, answer=encoded):
                self._forwarding.answer(call_id, decode_call(encoded))
            case LoadReport(loads=loads) if self._coordinator is not None:
                for load in loads:
                    self._coordinator.record_load(load, now)
            case AskToJoin(node=node, vm=vm):
                self._joiners[Joiner(node, vm)] = now
                self._send_hint(sender)
            case LeaderHint(vm=vm):
                self._hinted = vm
            case ForgetVm(vm=vm, incarnation=incarnation):
                self._forget_vm(vm, incarnation)

    def _accept(self, wrapped: ReplicaMessage, now: int) -> None:
        if wrapped.target != self._consensus.node:
            return
        try:
            message = decode_message(wrapped.body)
        except CodecError as error:
            log_event(
                _logger,
                Event.MESSAGE_REJECTED,
                logging.WARNING,
                sender=wrapped.source,
                detail=error,
            )
            return
        self._advance(Arrived(wrapped.source, message), now)

    def _look_at_clock(self, now: int) -> None:
        if self._coordinator is not None:
            self._carry_out(self._coordinator.look_at_clock(now))
        self._forward_calls(now)
        if now >= self._join_at:
            self._join_at = now + _JOIN_MS
            self._care_for_voters(now)

    def _care_for_voters(self, now: int) -> None:
        if self._coordinator is not None:
            self._change_voters(now)
        elif not self._is_voter():
            request = AskToJoin(self._consensus.node, self._options.vm)
            voters = tuple(voter.vm for voter in self._consensus.history.voters)
            asked = {*self._options.seeds, *voters, self._hinted or ''}
            for vm in asked - {self._options.vm, ''}:
                self._peers.send(vm, request)

    def _change_voters(self, now: int) -> None:
        joiners = [
            joiner
            for joiner, heard_ms in self._joiners.items()
            if now < heard_ms + _JOINER_LIMIT_MS
        ]
        voters = self._consensus.history.voters
        changed = plan_voters(
            voters,
            joiners,
            self._consensus.find_silent(now, _SILENT_VOTER_MS),
            self._options.timing.voters,
        )
        if changed is None:
            return
        self._voter_changes += 1
        proposal_id = f'{self._options.prefix}.voters.{self._voter_changes}'
        command = encode_fleet_command(ReplaceVoters(changed))
        self._advance(Proposed(proposal_id, command, changed), now)

    def _forward_calls(self, now: int) -> None:
        leader = self.leader
        for call_id, call in self._forwarding.take_due(leader, now):
            forwarded = ForwardedCall(call_id, encode_call(call))
            self._peers.send(leader or '', forwarded)

    def _take_call(
        self,
        sender: str,
        call_id: str,
        encoded: bytes,
        now: int,
    ) -> None:
        coordinator = self._coordinator
        if coordinator is None or not self._consensus.is_acting(now):
            self._send_hint(sender)
            return
        if call_id in self._origins:
            return
        self._origins[call_id] = sender
        call = decode_call(encoded)
        self._carry_out(coordinator.take_call(call_id, call, now))

    def _answer_heartbeat(
        self,
        sender: str,
        heartbeat: Heartbeat,
        now: int,
    ) -> None:
        audience = self._audience
        if audience is None or not self._consensus.is_acting(now):
            self._send_hint(sender)
            return
        committed = self._replica.index
        history = self._consensus.history
        audience.renew(heartbeat, now, self._consensus.term, committed)
        audience.send_missing(
            heartbeat,
            history,
            committed,
            self._replica.state,
        )
        if self._coordinator is not None:
            ready = self._coordinator.answer_ready(now)
            self._carry_out(ready)

    def _forget_vm(self, vm: str, incarnation: int) -> None:
        if self._coordinator is not None:
            self._coordinator.leases.forget(vm, incarnation)

    def _send_hint(self, vm: str) -> None:
        leader = self.leader
        if leader is not None and leader != self._options.vm:
            hint = LeaderHint(leader, self._consensus.term)
            self._peers.send(vm, hint)

    def _advance(self, event: ReplicaEvent, now: int) -> None:
        for effect in self._consensus.handle(event, now):
            self._carry_out_replica(effect, now)
        is_acting = self._consensus.is_acting(now)
        if is_acting and self._coordinator is None:
            self._start_leading(now)
        elif not is_acting and self._coordinator is not None:
            self._stop_leading()

    def _start_leading(self, now: int) -> None:
        timing = self._options.timing
        term = self._consensus.term
        self._coordinator = Coordinator(
            self._options.vm,
            f'{self._options.prefix}.{term}',
            timing,
            self._replica.state,
            self._replica.index,
            now,
        )
        self._audience = Audience(
            self._peers,
            self._coordinator.leases,
            encode_fleet,
        )
        log_event(
            _logger,
            Event.LEADER_ELECTED,
            node=self._consensus.node,
            term=term,
            index=self._replica.index,
        )

    def _stop_leading(self) -> None:
        if self._coordinator is not None:
            self._carry_out(self._coordinator.step_down())
        self._coordinator = None
        self._audience = None
        self._origins.clear()
        log_event(
            _logger,
            Event.LEADER_STOPPED,
            logging.WARNING,
            node=self._consensus.node,
            term=self._consensus.term,
        )

    def _carry_out(self, effects: list[Effect] | list[Reply]) -> None:
        for effect in effects:
            match effect:
                case Propose(proposal_id=proposal_id, command=command):
                    encoded = encode_fleet_command(command)
                    log_event(_logger, Event.COMMAND_PROPOSED, command=command)
                    now = self._clock.now()
                    self._advance(Proposed(proposal_id, encoded), now)
                case Reply(call_id=call_id, answer=answer):
                    sender = self._origins.pop(call_id, None)
                    if sender is not None:
                        reply = CallAnswered(call_id, encode_call(answer))
                        self._peers.send(sender, reply)

    def _carry_out_replica(self, effect: ReplicaEffect, now: int) -> None:
        match effect:
            case Send(target=target, message=message):
                wrapped = ReplicaMessage(
                    self._consensus.node,
                    target,
                    encode_message(message),
                )
                self._peers.send(_vm_of(target), wrapped)
            case SaveVote() | AppendLog():
                self.storage.mailbox.post(effect)
            case InstallState(snapshot=snapshot):
                self._replica.restore(snapshot)
                self.storage.mailbox.post(effect)
                log_event(
                    _logger,
                    Event.SNAPSHOT_INSTALLED,
                    index=snapshot.index,
                )
            case Committed():
                self._apply(effect, now)
            case Declined(proposal_id=proposal_id, detail=detail):
                _logger.debug('%s declined: %s', proposal_id, detail)
            case Elected() | Deposed():
                _logger.debug('role changed: %s', effect)

    def _apply(self, committed: Committed, now: int) -> None:
        entries = committed.entries
        outcomes = self._replica.apply_log(committed.first_index, entries)
        if self._audience is not None:
            self._audience.push(committed.first_index, entries)
        for entry in entries:
            if entry.voters is not None:
                log_event(
                    _logger,
                    Event.VOTERS_CHANGED,
                    voters=','.join(voter.node for voter in entry.voters),
                )
        if self._coordinator is not None:
            ready = self._coordinator.apply(
                self._replica.state,
                self._replica.index,
                outcomes,
                now,
            )
            self._carry_out(ready)
        self._save_if_due()

    def _save_if_due(self) -> None:
        history = self._consensus.history
        index = self._replica.index
        is_due = index - history.snapshot.index >= _ENTRIES_PER_SNAPSHOT
        if self._is_saving or not is_due:
            return
        self._is_saving = True
        self.storage.mailbox.post(
            SaveSnapshot(
                index,
                history.term_at(index) or 0,
                history.voters_at(index),
                functools.partial(encode_fleet, self._replica.state),
                history.read(index + 1, history.last_index),
            ),
        )

    def _is_voter(self) -> bool:
        return any(
            voter.node == self._consensus.node
            for voter in self._consensus.history.voters
        )


def _vm_of(node: str) -> str:
    """Return the VM that a replica runs on."""
    return node.partition('/')[0]
