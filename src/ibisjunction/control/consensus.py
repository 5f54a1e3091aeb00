"""The consensus state machine of one replica of the replicated log.

The class does no I/O and reads no clock. The caller executes the returned
effects in order. It performs writes one after the other and reports each as
:class:`WritesCompleted` once it is durable.
"""

import random

from ibisjunction.control.effects import (
    CommandProposed,
    Effect,
    Event,
    MessageArrived,
    SnapshotTaken,
    Tick,
    WritesCompleted,
)
from ibisjunction.control.election import ElectionHandler
from ibisjunction.control.follower import FollowerHandler
from ibisjunction.control.leader import LeaderHandler
from ibisjunction.control.protocol import (
    AppendAnswer,
    AppendEntries,
    InstallSnapshot,
    Message,
    RequestVote,
    VoteAnswer,
)
from ibisjunction.control.replica_core import ReplicaCore
from ibisjunction.control.replica_log import ReplicaLog
from ibisjunction.control.roles import (
    Candidate,
    ElectionTiming,
    Follower,
    Leader,
    StoredState,
)


class Consensus:
    """Elects a leader and replicates the log on one replica."""

    def __init__(
        self,
        node: str,
        stored: StoredState,
        timing: ElectionTiming,
        rng: random.Random,
        now: int,
        min_copies: int = 1,
    ) -> None:
        """Start as a follower from the stored state.

        :param min_copies: minimum number of durable copies of a committed
            entry.
        """
        self.node = node
        core = ReplicaCore(node, stored, timing, rng, now, min_copies)
        self._core = core
        self._leader_handler = LeaderHandler(core)
        self._election_handler = ElectionHandler(core, self._leader_handler)
        self._follower_handler = FollowerHandler(core)

    @property
    def term(self) -> int:
        """The current term."""
        return self._core.term

    @property
    def commit_index(self) -> int:
        """Index of the last committed entry."""
        return self._core.commit_index

    @property
    def replica_log(self) -> ReplicaLog:
        """The log; callers must not modify it."""
        return self._core.replica_log

    def handle(self, event: Event, now: int) -> list[Effect]:
        """Process one event and return the effects to execute."""
        core = self._core
        match event:
            case Tick():
                self._handle_tick(now)
            case MessageArrived(source=source, message=message):
                self._handle_message(source, message, now)
            case CommandProposed():
                self._leader_handler.propose(event, now)
            case WritesCompleted(number=number):
                core.effects += core.durability.mark_durable(number)
                self._resume_after_write(now)
            case SnapshotTaken(snapshot=snapshot, keep=keep):
                core.replica_log.compact(snapshot, keep)
        effects = core.effects
        core.effects = []
        return effects

    def is_acting(self, now: int) -> bool:
        """Return whether this replica leads and may act as leader."""
        return self._leader_handler.is_acting(now)

    def find_leader(self) -> str | None:
        """Return the leader's node, or ``None`` if it is unknown."""
        match self._core.role:
            case Leader():
                return self.node
            case Follower(leader=leader):
                return leader
            case Candidate():
                return None

    def find_unresponsive_replicas(self, now: int, limit_ms: int) -> list[str]:
        """Return the replicas that have answered no recent message.

        A message is recent if this leader sent it within ``limit_ms``. A
        replica that does not lead returns an empty list.
        """
        role = self._core.role
        if not isinstance(role, Leader):
            return []
        return [
            node
            for node in self._core.list_other_replicas()
            if role.replication.last_confirmed_at(node) < now - limit_ms
        ]

    def _handle_tick(self, now: int) -> None:
        match self._core.role:
            case Leader() as leader:
                self._leader_handler.handle_tick(leader, now)
            case Follower() | Candidate():
                self._election_handler.handle_tick(now)

    def _handle_message(self, source: str, message: Message, now: int) -> None:
        match message:
            case RequestVote():
                self._election_handler.handle_vote_request(source, message, now)
            case VoteAnswer():
                self._election_handler.handle_vote_answer(source, message, now)
            case AppendAnswer(term=term):
                self._core.adopt_term(term)
                self._leader_handler.handle_append_answer(source, message, now)
            case AppendEntries() | InstallSnapshot():
                self._follower_handler.handle_leader_message(
                    source, message, now
                )

    def _resume_after_write(self, now: int) -> None:
        """Run the steps that waited for a write to become durable."""
        match self._core.role:
            case Follower() as follower:
                self._follower_handler.acknowledge(follower)
            case Candidate() as candidate:
                self._election_handler.count_own_vote(candidate, now)
            case Leader(replication=replication) as leader:
                replication.own_match_index = (
                    self._core.durability.durable_index
                )
                self._leader_handler.advance_commit(leader)
