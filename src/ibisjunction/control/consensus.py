"""Decides what one replica of the control log does.

The class does no I/O and reads no clock. The caller carries out the effects
in their order; writes are carried out one after the other, and each is
reported back as :class:`Written` once it is durable.
"""

import random

from ibisjunction.control.effects import (
    Arrived,
    Effect,
    Event,
    Proposed,
    SnapshotTaken,
    Tick,
    Written,
)
from ibisjunction.control.electing import Electing
from ibisjunction.control.following import Following
from ibisjunction.control.history import History
from ibisjunction.control.leading import Leading
from ibisjunction.control.protocol import (
    AppendAnswer,
    AppendEntries,
    InstallSnapshot,
    Message,
    RequestVote,
    VoteAnswer,
)
from ibisjunction.control.replica_core import ReplicaCore
from ibisjunction.control.roles import (
    Candidate,
    ElectionTiming,
    Follower,
    Leader,
    Stored,
)


class Consensus:
    """One replica of the log."""

    def __init__(
        self,
        node: str,
        stored: Stored,
        timing: ElectionTiming,
        generator: random.Random,
        now: int,
        min_copies: int = 1,
    ) -> None:
        """Start as a follower with what the replica's files hold.

        :param min_copies: durable copies that a committed entry has at least.
        """
        self.node = node
        core = ReplicaCore(node, stored, timing, generator, now, min_copies)
        self._core = core
        self._leading = Leading(core)
        self._electing = Electing(core, self._leading)
        self._following = Following(core)

    @property
    def term(self) -> int:
        """The current term."""
        return self._core.term

    @property
    def commit_index(self) -> int:
        """Index of the last committed entry."""
        return self._core.commit_index

    @property
    def history(self) -> History:
        """The log; only to be read."""
        return self._core.history

    def handle(self, event: Event, now: int) -> list[Effect]:
        """Process one event and return what to carry out."""
        core = self._core
        match event:
            case Tick():
                self._look_at_clock(now)
            case Arrived(source=source, message=message):
                self._receive(source, message, now)
            case Proposed():
                self._leading.propose(event, now)
            case Written(number=number):
                core.effects += core.durability.finish(number)
                self._continue(now)
            case SnapshotTaken(snapshot=snapshot, keep=keep):
                core.history.compact(snapshot, keep)
        effects = core.effects
        core.effects = []
        return effects

    def is_acting(self, now: int) -> bool:
        """Return whether this replica leads and may act on it."""
        return self._leading.is_acting(now)

    def find_leader(self) -> str | None:
        """Return the node that leads, as far as this replica knows."""
        match self._core.role:
            case Leader():
                return self.node
            case Follower(leader=leader):
                return leader
            case Candidate():
                return None

    def find_silent(self, now: int, limit_ms: int) -> list[str]:
        """Return the voters that have not answered this leader lately."""
        role = self._core.role
        if not isinstance(role, Leader):
            return []
        return [
            node
            for node in self._core.list_others()
            if role.replication.last_heard(node) < now - limit_ms
        ]

    def _look_at_clock(self, now: int) -> None:
        match self._core.role:
            case Leader() as leader:
                self._leading.look_at_clock(leader, now)
            case Follower() | Candidate():
                self._electing.look_at_clock(now)

    def _receive(self, source: str, message: Message, now: int) -> None:
        match message:
            case RequestVote():
                self._electing.answer(source, message, now)
            case VoteAnswer():
                self._electing.accept(source, message, now)
            case AppendAnswer(term=term):
                self._core.adopt(term)
                self._leading.accept(source, message, now)
            case AppendEntries() | InstallSnapshot():
                self._following.accept(source, message, now)

    def _continue(self, now: int) -> None:
        """Go on with what waited for a write."""
        match self._core.role:
            case Follower() as follower:
                self._following.acknowledge(follower)
            case Candidate() as candidate:
                self._electing.count_own_vote(candidate, now)
            case Leader(replication=replication) as leader:
                replication.own_match = self._core.durability.index
                self._leading.advance_commit(leader)
