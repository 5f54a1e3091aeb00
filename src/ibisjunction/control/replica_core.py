"""State of a replica that the handlers of its roles share."""

import random

from ibisjunction.control.durability import Durability
from ibisjunction.control.effects import (
    AppendLog,
    Committed,
    Deposed,
    Effect,
    SaveVote,
    Send,
)
from ibisjunction.control.protocol import Entry, Message
from ibisjunction.control.replica_log import ReplicaLog
from ibisjunction.control.roles import (
    ElectionTiming,
    Follower,
    Leader,
    Role,
    StoredState,
)


class ReplicaCore:
    """Term, vote, log and role of one replica, and its pending effects."""

    def __init__(
        self,
        node: str,
        stored: StoredState,
        timing: ElectionTiming,
        rng: random.Random,
        now: int,
        min_copies: int = 1,
    ) -> None:
        """Start as a follower.

        An entry is committed only once ``min_copies`` voters have it durably,
        or all voters while there are fewer.

        The replica may have followed a leader just before it stopped, so it
        refuses votes at first as if that leader had contacted it now.
        """
        self.node = node
        self.term = stored.term
        self.vote = stored.vote
        self.commit_index = stored.snapshot.index
        self.replica_log = ReplicaLog(stored.snapshot, stored.entries)
        self.durability = Durability(self.replica_log.last_index)
        self.role: Role = Follower()
        self.timing = timing
        self.min_copies = min_copies
        self.leader_contact_at = now
        self.election_deadline = now
        self.effects: list[Effect] = []
        self._rng = rng
        if not self.is_sole_voter():
            self.restart_election_timeout(now)

    def send(self, target: str, message: Message) -> None:
        """Send a message."""
        self.effects.append(Send(target, message))

    def send_when_durable(self, target: str, message: Message) -> None:
        """Send a message once all writes so far are durable."""
        self.durability.hold_until_durable(Send(target, message))
        # Number 0 marks no further write as durable; the call only releases
        # messages that no write holds back.
        self.effects += self.durability.mark_durable(0)

    def save_vote(self, term: int, vote: str) -> int:
        """Set the term and the vote; return the number of the write.

        An empty ``vote`` means that no vote was cast in the term.
        """
        self.term = term
        self.vote = vote
        number = self.durability.start_write()
        self.effects.append(SaveVote(number, term, vote))
        return number

    def adopt_term(self, term: int) -> None:
        """Become a follower in ``term`` if it is higher than the own term."""
        if term > self.term:
            self.stop_leading()
            self.save_vote(term, '')

    def stop_leading(self) -> None:
        """Become a follower without a known leader."""
        if isinstance(self.role, Leader):
            self.effects.append(Deposed(self.term))
        self.role = Follower()

    def write_log(self, first: int, entries: tuple[Entry, ...]) -> None:
        """Replace the entries from ``first`` on and write them."""
        self.replica_log.replace_from(first, entries)
        number = self.durability.start_append(
            first, self.replica_log.last_index
        )
        self.effects.append(AppendLog(number, first, entries))

    def commit(self, index: int) -> None:
        """Commit all entries up to ``index``."""
        if index <= self.commit_index:
            return
        first = self.commit_index + 1
        self.commit_index = index
        entries = self.replica_log.read(first, index)
        self.effects.append(Committed(first, entries))

    def restart_election_timeout(self, now: int) -> None:
        """Set the election deadline to a random time from now."""
        self.election_deadline = now + self._rng.randint(
            self.timing.min_ms,
            self.timing.max_ms,
        )

    def is_voter(self, node: str) -> bool:
        """Return whether a replica is a voter."""
        return any(voter.node == node for voter in self.replica_log.voters)

    def is_sole_voter(self) -> bool:
        """Return whether this replica is the only voter."""
        voters = self.replica_log.voters
        return len(voters) == 1 and self.is_voter(self.node)

    def has_recent_majority(self, now: int) -> bool:
        """Return whether a majority followed this leader recently.

        If so, no other replica can have become leader in a later term.
        """
        if not isinstance(self.role, Leader):
            return False
        confirmed_at = self.role.replication.majority_confirmed_at(
            self.replica_log.voters,
            now,
        )
        return now < confirmed_at + self.timing.leader_lease_ms

    def list_other_replicas(self) -> list[str]:
        """Return the other voters and the replica that is to become one."""
        nodes = [voter.node for voter in self.replica_log.voters]
        return [
            node
            for node in (*nodes, *self.list_learners())
            if node != self.node
        ]

    def list_learners(self) -> list[str]:
        """Return the replica that catches up to become a voter, if any."""
        pending_change = (
            self.role.pending_change if isinstance(self.role, Leader) else None
        )
        if pending_change is None or pending_change.voters is None:
            return []
        return [
            voter.node
            for voter in pending_change.voters
            if not self.is_voter(voter.node)
        ]
