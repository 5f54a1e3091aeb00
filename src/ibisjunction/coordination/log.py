"""Connects a replica of the fleet's log to its storage and its peers."""

import functools
import logging
import random
from dataclasses import dataclass
from typing import Any, Final

from ibisjunction.catalogue.model import UpdateOutcome
from ibisjunction.control.codec import decode_message, encode_message
from ibisjunction.control.consensus import Consensus
from ibisjunction.control.effects import (
    AppendLog,
    CommandProposed,
    Committed,
    Effect,
    InstallState,
    MessageArrived,
    SaveVote,
    Send,
    SnapshotTaken,
)
from ibisjunction.control.effects import (
    Event as ReplicaEvent,
)
from ibisjunction.control.messages import ReplicaMessage
from ibisjunction.control.protocol import Entry, Voters
from ibisjunction.control.replica_log import ReplicaLog
from ibisjunction.control.roles import ElectionTiming
from ibisjunction.control.task import OpenedLog
from ibisjunction.control.writer import SaveSnapshot, StorageTask
from ibisjunction.coordination.replica import FleetReplica
from ibisjunction.events import Event, log_event
from ibisjunction.fleet.codec import encode_fleet, encode_fleet_command
from ibisjunction.fleet.commands import FleetCommand, ReplaceVoters
from ibisjunction.mailbox import Mailbox
from ibisjunction.peers.codec import CodecError
from ibisjunction.peers.link import PeerNetwork

_logger = logging.getLogger(__name__)

#: Bounds the number of entries that a restart has to read.
_ENTRIES_PER_SNAPSHOT: Final = 1000


@dataclass(frozen=True, slots=True)
class AppliedEntries:
    """Committed entries and the outcomes of their proposals."""

    first_index: int
    entries: tuple[Entry, ...]
    outcomes: dict[str, UpdateOutcome]

    @property
    def changes_voters(self) -> bool:
        """Whether an entry changes the voters."""
        return any(entry.voters is not None for entry in self.entries)


class FleetLog:
    """Executes the effects of the consensus protocol.

    Writes go to :attr:`storage`, a task that the caller must run. It reports to
    ``owner``.
    """

    def __init__(
        self,
        opened: OpenedLog,
        election: ElectionTiming,
        min_copies: int,
        peers: PeerNetwork,
        owner: Mailbox[Any],
        rng: random.Random,
        now: int,
    ) -> None:
        """Start as a follower with the stored state."""
        self._consensus = Consensus(
            opened.node,
            opened.stored,
            election,
            rng,
            now,
            min_copies,
        )
        self._replica = FleetReplica()
        self._replica.restore(opened.stored.snapshot)
        self._peers = peers
        self._applied: list[AppliedEntries] = []
        self._is_saving_snapshot = False
        self.storage = StorageTask(opened.store, owner, opened.run_blocking)

    @property
    def node(self) -> str:
        """The name of this replica."""
        return self._consensus.node

    @property
    def term(self) -> int:
        """The current term."""
        return self._consensus.term

    @property
    def replica(self) -> FleetReplica:
        """The state after the applied entries; callers only read it."""
        return self._replica

    @property
    def replica_log(self) -> ReplicaLog:
        """The entries; callers only read them."""
        return self._consensus.replica_log

    @property
    def voters(self) -> Voters:
        """The voters in force."""
        return self._consensus.replica_log.voters

    @property
    def committed_voters(self) -> Voters:
        """The voters after the last committed change."""
        return self.replica_log.voters_at(self._consensus.commit_index)

    @property
    def is_voter(self) -> bool:
        """Whether this replica votes."""
        return any(voter.node == self.node for voter in self.voters)

    def is_acting(self, now: int) -> bool:
        """Return whether this replica may act as the leader."""
        return self._consensus.is_acting(now)

    def find_leader(self) -> str | None:
        """Return the VM of the leader, or ``None`` if it is unknown."""
        node = self._consensus.find_leader()
        return None if node is None else vm_of(node)

    def find_unresponsive_replicas(self, now: int, limit_ms: int) -> list[str]:
        """Return the voters without a recent answer, within ``limit_ms``."""
        return self._consensus.find_unresponsive_replicas(now, limit_ms)

    def propose(
        self,
        proposal_id: str,
        command: FleetCommand,
        now: int,
        why: str = '',
    ) -> list[AppliedEntries]:
        """Add a command to the log if this replica leads.

        :param why: reason of the command, for its log line.
        """
        log_event(_logger, Event.COMMAND_PROPOSED, command=command, why=why)
        voters = command.voters if isinstance(command, ReplaceVoters) else None
        encoded = encode_fleet_command(command)
        return self.handle_event(
            CommandProposed(proposal_id, encoded, voters), now
        )

    def handle_message(
        self, wrapped: ReplicaMessage, now: int
    ) -> list[AppliedEntries]:
        """Process a message of another replica."""
        if wrapped.target != self.node:
            return []
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
            return []
        return self.handle_event(MessageArrived(wrapped.source, message), now)

    def handle_event(
        self, event: ReplicaEvent, now: int
    ) -> list[AppliedEntries]:
        """Process an event; return the entries that it committed."""
        if isinstance(event, SnapshotTaken):
            self._is_saving_snapshot = False
            index = event.snapshot.index
            log_event(_logger, Event.SNAPSHOT_SAVED, index=index)
        for effect in self._consensus.handle(event, now):
            self._execute_effect(effect)
        applied = self._applied
        self._applied = []
        return applied

    def _execute_effect(self, effect: Effect) -> None:
        match effect:
            case Send(target=target, message=message):
                body = encode_message(message)
                wrapped = ReplicaMessage(self.node, target, body)
                self._peers.send(vm_of(target), wrapped)
            case SaveVote() | AppendLog():
                self.storage.mailbox.post(effect)
            case InstallState(snapshot=snapshot):
                self._replica.restore(snapshot)
                self.storage.mailbox.post(effect)
                index = snapshot.index
                log_event(_logger, Event.SNAPSHOT_INSTALLED, index=index)
            case Committed(first_index=first_index, entries=entries):
                self._apply(first_index, entries)
            case _:
                _logger.debug('%s', effect)

    def _apply(self, first_index: int, entries: tuple[Entry, ...]) -> None:
        outcomes = self._replica.apply_log(first_index, entries)
        self._applied.append(AppliedEntries(first_index, entries, outcomes))
        for entry in entries:
            if entry.voters is not None:
                names = ','.join(voter.node for voter in entry.voters)
                log_event(_logger, Event.VOTERS_CHANGED, voters=names)
        index = self._replica.index
        is_snapshot_due = (
            index - self.replica_log.snapshot.index >= _ENTRIES_PER_SNAPSHOT
        )
        if is_snapshot_due and not self._is_saving_snapshot:
            self._save_snapshot()

    def _save_snapshot(self) -> None:
        replica_log = self.replica_log
        index = self._replica.index
        self._is_saving_snapshot = True
        self.storage.mailbox.post(
            SaveSnapshot(
                index,
                replica_log.term_at(index) or 0,
                replica_log.voters_at(index),
                functools.partial(encode_fleet, self._replica.state),
                replica_log.read(index + 1, replica_log.last_index),
            ),
        )


def vm_of(node: str) -> str:
    """Return the VM that a replica runs on."""
    return node.partition('/')[0]
