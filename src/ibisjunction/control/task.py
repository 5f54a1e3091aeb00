"""Runs a replica of the control log on a VM with a disk."""

import asyncio
import functools
import logging
import random
from dataclasses import dataclass
from typing import Any, Final

from ibisjunction.clock import Clock, in_seconds
from ibisjunction.control.codec import (
    decode_command,
    decode_message,
    encode_message,
    encode_state,
)
from ibisjunction.control.commands import ChangeVoters
from ibisjunction.control.consensus import Consensus
from ibisjunction.control.effects import (
    AppendLog,
    CommandProposed,
    Committed,
    Declined,
    Deposed,
    Effect,
    Elected,
    InstallState,
    MessageArrived,
    SaveVote,
    Send,
    SnapshotTaken,
    Tick,
    WritesCompleted,
)
from ibisjunction.control.effects import (
    Event as ReplicaEvent,
)
from ibisjunction.control.machine import decode_machine, encode_machine
from ibisjunction.control.messages import (
    LeaderHint,
    Leadership,
    ProposalResult,
    ProposeCommand,
    ReplicaMessage,
)
from ibisjunction.control.proposals import PendingProposals
from ibisjunction.control.protocol import (
    Entry,
)
from ibisjunction.control.roles import ElectionTiming, StoredState
from ibisjunction.control.subscribers import Subscribers
from ibisjunction.control.writer import (
    LogStore,
    RunBlocking,
    SaveSnapshot,
    StorageFailed,
    StorageTask,
)
from ibisjunction.events import Event, log_event
from ibisjunction.mailbox import Mailbox
from ibisjunction.membership.leases import LeaseTable
from ibisjunction.membership.messages import (
    FetchReports,
    Heartbeat,
)
from ibisjunction.peers.codec import CodecError
from ibisjunction.peers.link import PeerNetwork, Received
from ibisjunction.settings import Settings
from ibisjunction.settings.loader import parse_address

_logger = logging.getLogger(__name__)

_TICK_MS: Final = 25
_LIVE_VMS_INTERVAL_MS: Final = 50
#: Limits the number of entries that a restart has to read.
_ENTRIES_PER_SNAPSHOT: Final = 2000


@dataclass(frozen=True, slots=True)
class OpenedLog:
    """The files of this VM's replica and the state read from them."""

    node: str
    stored: StoredState
    store: LogStore
    run_blocking: RunBlocking = asyncio.to_thread


class ControlTask:
    """One replica of the control log.

    ``listeners`` receive :class:`Leadership`, and the ``LiveVms`` while this
    replica leads. Writes go to ``storage``, which must run beside this task.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        peers: PeerNetwork,
        listeners: list[Mailbox[Any]],
        opened: OpenedLog,
        rng: random.Random,
    ) -> None:
        """Subscribe to proposals, heartbeats and messages of replicas."""
        self._clock = clock
        self._peers = peers
        self._listeners = listeners
        timing = settings.timing
        self._consensus = Consensus(
            opened.node,
            opened.stored,
            ElectionTiming(
                timing.election_min_ms,
                timing.election_max_ms,
                timing.clock_error,
            ),
            rng,
            clock.now(),
        )
        self._machine = decode_machine(opened.stored.snapshot.machine)
        self._proposals = PendingProposals(peers)
        self._timing = timing
        leases = self._make_leases()
        self._subscribers = Subscribers(peers, leases, encode_state)
        self._is_acting = False
        self._is_saving_snapshot = False
        self._next_live_vms_at = 0
        self.mailbox: Mailbox[Any] = Mailbox()
        self.storage = StorageTask(
            opened.store,
            self.mailbox,
            opened.run_blocking,
        )
        _set_peer_addresses(peers, self._consensus)
        peers.subscribe(
            self.mailbox,
            ProposeCommand,
            Heartbeat,
            FetchReports,
            ReplicaMessage,
        )

    async def run(self) -> None:
        """Handle messages until cancelled or until the storage fails."""
        while True:
            message = await self.mailbox.get()
            if isinstance(message, StorageFailed):
                self.mailbox.close()
                self._notify(Leadership(False, self._consensus.term))
                return
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
            case Received(sender=sender, message=ProposeCommand() as proposal):
                self._handle_proposal(sender, proposal, now)
            case Received(sender=sender, message=Heartbeat() as heartbeat):
                self._handle_heartbeat(sender, heartbeat, now)
            case Received(message=ReplicaMessage() as wrapped):
                self._handle_replica_message(wrapped, now)
            case Received(sender=sender, message=FetchReports() as fetch):
                if self._consensus.is_acting(now):
                    self._subscribers.answer_fetch(sender, fetch, now)
            case Tick():
                self._handle_event(message, now)
                self._notify_live_vms(now)
            case WritesCompleted():
                self._handle_event(message, now)
            case SnapshotTaken(snapshot=snapshot):
                self._is_saving_snapshot = False
                self._handle_event(message, now)
                log_event(_logger, Event.SNAPSHOT_SAVED, index=snapshot.index)

    def _handle_proposal(
        self,
        sender: str,
        proposal: ProposeCommand,
        now: int,
    ) -> None:
        if not self._consensus.is_acting(now):
            self._send_hint(sender)
            return
        previous_result = self._machine.find_outcome(proposal.proposal_id)
        if previous_result is not None:
            self._peers.send(sender, previous_result)
            return
        try:
            command = decode_command(proposal.command)
        except CodecError as error:
            result = ProposalResult(
                proposal.proposal_id,
                accepted=False,
                detail=str(error),
            )
            self._peers.send(sender, result)
            return
        voters = command.voters if isinstance(command, ChangeVoters) else None
        self._proposals.add(proposal.proposal_id, sender)
        self._handle_event(
            CommandProposed(proposal.proposal_id, proposal.command, voters),
            now,
        )

    def _handle_replica_message(
        self, wrapped: ReplicaMessage, now: int
    ) -> None:
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
        self._handle_event(MessageArrived(wrapped.source, message), now)

    def _send_hint(self, vm: str) -> None:
        leader = self._consensus.find_leader()
        if leader is not None and leader != self._consensus.node:
            hint = LeaderHint(_vm_of(leader), self._consensus.term)
            self._peers.send(vm, hint)

    def _handle_event(self, event: ReplicaEvent, now: int) -> None:
        for effect in self._consensus.handle(event, now):
            self._execute_effect(effect)
        is_acting = self._consensus.is_acting(now)
        if is_acting != self._is_acting:
            self._is_acting = is_acting
            self._notify(Leadership(is_acting, self._consensus.term))

    def _execute_effect(self, effect: Effect) -> None:
        match effect:
            case Send(target=target, message=message):
                self._peers.send(
                    _vm_of(target),
                    ReplicaMessage(
                        self._consensus.node,
                        target,
                        encode_message(message),
                    ),
                )
            case SaveVote() | AppendLog():
                self.storage.mailbox.post(effect)
            case InstallState(snapshot=snapshot):
                self._machine = decode_machine(snapshot.machine)
                self.storage.mailbox.post(effect)
                log_event(
                    _logger,
                    Event.SNAPSHOT_INSTALLED,
                    index=snapshot.index,
                )
            case Committed(first_index=first_index, entries=entries):
                self._apply(first_index, entries)
            case Elected() | Deposed():
                self._handle_role_change(effect)
            case Declined(proposal_id=proposal_id, detail=detail):
                self._proposals.answer(
                    ProposalResult(proposal_id, accepted=False, detail=detail),
                )

    def _handle_role_change(self, effect: Elected | Deposed) -> None:
        node = self._consensus.node
        match effect:
            case Elected(term=term):
                self._subscribers.reset(self._make_leases())
                log_event(_logger, Event.LEADER_ELECTED, node=node, term=term)
            case Deposed(term=term):
                self._proposals.clear()
                log_event(
                    _logger,
                    Event.LEADER_STOPPED,
                    logging.WARNING,
                    node=node,
                    term=term,
                )

    def _apply(self, first_index: int, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            self._machine = self._machine.apply(entry)
        if self._is_acting:
            self._subscribers.add_entries(first_index, entries)
            self._subscribers.push(self._clock.now())
        for applied in entries:
            self._finish_entry(applied)
        self._save_snapshot_if_due()

    def _finish_entry(self, entry: Entry) -> None:
        result = self._machine.find_outcome(entry.proposal_id)
        if result is not None:
            self._proposals.answer(result)
        if entry.voters is not None:
            _set_peer_addresses(self._peers, self._consensus)
            log_event(
                _logger,
                Event.VOTERS_CHANGED,
                voters=','.join(voter.node for voter in entry.voters),
            )

    def _make_leases(self) -> LeaseTable:
        return LeaseTable(
            self._timing.vm_lease_ms,
            self._timing.clock_error,
            self._clock.now(),
        )

    def _save_snapshot_if_due(self) -> None:
        replica_log = self._consensus.replica_log
        index = self._consensus.commit_index
        is_due = index - replica_log.snapshot.index >= _ENTRIES_PER_SNAPSHOT
        if self._is_saving_snapshot or not is_due:
            return
        self._is_saving_snapshot = True
        self.storage.mailbox.post(
            SaveSnapshot(
                index,
                replica_log.term_at(index) or 0,
                replica_log.voters_at(index),
                functools.partial(encode_machine, self._machine.copy()),
                replica_log.read(index + 1, replica_log.last_index),
            ),
        )

    def _handle_heartbeat(
        self,
        sender: str,
        heartbeat: Heartbeat,
        now: int,
    ) -> None:
        if not self._consensus.is_acting(now):
            self._send_hint(sender)
            return
        consensus = self._consensus
        commit_index = consensus.commit_index
        self._subscribers.send_missing(
            heartbeat,
            consensus.replica_log,
            commit_index,
            self._machine.state,
            now,
        )
        self._subscribers.renew_lease(
            heartbeat, now, consensus.term, commit_index
        )

    def _notify_live_vms(self, now: int) -> None:
        if not self._is_acting or now < self._next_live_vms_at:
            return
        self._next_live_vms_at = now + _LIVE_VMS_INTERVAL_MS
        self._notify(self._subscribers.list_live_vms(now))

    def _notify(self, message: object) -> None:
        for listener in self._listeners:
            listener.post(message)


def _vm_of(node: str) -> str:
    """Return the VM that a replica runs on."""
    return node.partition('/')[0]


def _set_peer_addresses(peers: PeerNetwork, consensus: Consensus) -> None:
    for voter in consensus.replica_log.voters:
        peers.set_address(voter.vm, parse_address(voter.peer))
