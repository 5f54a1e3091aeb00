"""State that the parts of a replica share."""

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
from ibisjunction.control.history import History
from ibisjunction.control.protocol import Entry, Message
from ibisjunction.control.roles import (
    ElectionTiming,
    Follower,
    Leader,
    Role,
    Stored,
)


class ReplicaCore:
    """Term, vote, log and role of one replica, and the effects to come."""

    def __init__(
        self,
        node: str,
        stored: Stored,
        timing: ElectionTiming,
        generator: random.Random,
        now: int,
        min_copies: int = 1,
    ) -> None:
        """Start as a follower.

        An entry is committed only once ``min_copies`` voters hold it durably,
        or all voters while there are fewer.

        The replica may have followed a leader just before it stopped, so it
        refuses votes at first as if it had heard from that leader now.
        """
        self.node = node
        self.term = stored.term
        self.vote = stored.vote
        self.commit_index = stored.snapshot.index
        self.history = History(stored.snapshot, stored.entries)
        self.durability = Durability(self.history.last_index)
        self.role: Role = Follower()
        self.timing = timing
        self.min_copies = min_copies
        self.heard_at = now
        self.deadline = now
        self.effects: list[Effect] = []
        self._generator = generator
        if not self.is_alone():
            self.restart_timeout(now)

    def send(self, target: str, message: Message) -> None:
        """Send a message."""
        self.effects.append(Send(target, message))

    def send_when_durable(self, target: str, message: Message) -> None:
        """Send a message once all writes so far are durable."""
        self.durability.hold(Send(target, message))
        self.effects += self.durability.finish(0)

    def save_vote(self, term: int, vote: str) -> int:
        """Enter a term with a vote, or none, and return the write's number."""
        self.term = term
        self.vote = vote
        number = self.durability.start_write()
        self.effects.append(SaveVote(number, term, vote))
        return number

    def adopt(self, term: int) -> None:
        """Follow a higher term."""
        if term > self.term:
            self.stop_leading()
            self.save_vote(term, '')

    def stop_leading(self) -> None:
        """Become a follower without a leader."""
        if isinstance(self.role, Leader):
            self.effects.append(Deposed(self.term))
        self.role = Follower()

    def write_log(self, first: int, entries: tuple[Entry, ...]) -> None:
        """Replace the log from ``first`` on."""
        self.history.replace_from(first, entries)
        number = self.durability.start_append(first, self.history.last_index)
        self.effects.append(AppendLog(number, first, entries))

    def commit(self, index: int) -> None:
        """Commit all entries up to ``index``."""
        if index <= self.commit_index:
            return
        first = self.commit_index + 1
        self.commit_index = index
        entries = self.history.read(first, index)
        self.effects.append(Committed(first, entries))

    def restart_timeout(self, now: int) -> None:
        """Wait for a random time before standing for election."""
        self.deadline = now + self._generator.randint(
            self.timing.min_ms,
            self.timing.max_ms,
        )

    def is_voter(self, node: str) -> bool:
        """Return whether a replica votes."""
        return any(voter.node == node for voter in self.history.voters)

    def is_alone(self) -> bool:
        """Return whether there is no other voter."""
        voters = self.history.voters
        return len(voters) == 1 and self.is_voter(self.node)

    def is_confirmed(self, now: int) -> bool:
        """Return whether a majority followed this leader recently."""
        if not isinstance(self.role, Leader):
            return False
        confirmed = self.role.replication.confirmed_at(
            self.history.voters,
            now,
        )
        return now < confirmed + self.timing.leader_limit_ms

    def list_others(self) -> list[str]:
        """Return the other replicas, including one that catches up."""
        nodes = [voter.node for voter in self.history.voters]
        return [
            node for node in (*nodes, *self.list_joining()) if node != self.node
        ]

    def list_joining(self) -> list[str]:
        """Return the replica that catches up to become a voter, if any."""
        joining = self.role.joining if isinstance(self.role, Leader) else None
        if joining is None or joining.voters is None:
            return []
        return [
            voter.node
            for voter in joining.voters
            if not self.is_voter(voter.node)
        ]
