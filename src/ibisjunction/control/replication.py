"""Replication progress of the followers, and the messages to them."""

from dataclasses import dataclass
from typing import Final

from ibisjunction.control.protocol import (
    AppendAnswer,
    AppendEntries,
    InstallSnapshot,
    Message,
    Voters,
)
from ibisjunction.control.replica_log import ReplicaLog

#: Entries per message; a follower that lags more gets several messages.
MAX_BATCH_ENTRIES: Final = 512
#: A batch ends after the entry that exceeds this size, 256 KiB.
MAX_BATCH_BYTES: Final = 262144


@dataclass(slots=True)
class _Batch:
    """Entries or a snapshot sent up to ``last`` and not acknowledged yet."""

    first: int
    last: int
    expires_at: int


@dataclass(slots=True)
class _Follower:
    """Replication progress of one follower.

    ``confirmed_at`` is the time, on the leader's clock, at which it sent the
    latest message that the follower answered.
    """

    next_index: int
    confirmed_at: int
    match_index: int = 0
    batch: _Batch | None = None


class Replication:
    """Replication of one leader's log to its followers in one term."""

    def __init__(
        self,
        node: str,
        term: int,
        replica_log: ReplicaLog,
        now: int,
        retry_ms: int,
    ) -> None:
        """Start with no progress recorded for any follower.

        :param retry_ms: time after which an unacknowledged batch is resent.
        """
        self._node = node
        self._term = term
        self._replica_log = replica_log
        self._started_at = now
        self._initial_next_index = replica_log.last_index + 1
        self._retry_ms = retry_ms
        self._followers: dict[str, _Follower] = {}
        #: Index up to which the leader's own log is durable.
        self.own_match_index = 0

    def durable_index_of(self, node: str) -> int:
        """Return the index up to which a replica has this log durably."""
        if node == self._node:
            return self.own_match_index
        return self._get_follower(node).match_index

    def find_commit_index(self, voters: Voters, min_copies: int) -> int:
        """Return the highest index that enough voters have durably.

        Enough means a majority and at least ``min_copies`` voters, or all
        voters if there are fewer. With a majority alone, a deployment that
        starts with few voters could lose acknowledged entries when fewer
        disks fail than it must tolerate.
        """
        matches = [self.durable_index_of(voter.node) for voter in voters]
        copies = min(min_copies, len(matches))
        ranked = sorted(matches, reverse=True)
        return min(_majority_value(matches), ranked[copies - 1])

    def last_confirmed_at(self, node: str) -> int:
        """Return the send time of the latest message that a node answered.

        If the node has answered none, it is the time of the leader's election.
        """
        return self._confirmed_at(node)

    def majority_confirmed_at(self, voters: Voters, now: int) -> int:
        """Return the latest time at which a majority followed the leader.

        Times are the send times of answered messages, so that a late answer
        does not extend the leadership.
        """
        times = [
            now if voter.node == self._node else self._confirmed_at(voter.node)
            for voter in voters
        ]
        return _majority_value(times)

    def record_answer(self, node: str, answer: AppendAnswer) -> None:
        """Record an answer of a follower."""
        follower = self._get_follower(node)
        follower.confirmed_at = max(follower.confirmed_at, answer.sent_at)
        if not answer.is_match:
            first = min(follower.next_index, answer.index + 1)
            follower.next_index = max(first, follower.match_index + 1)
            follower.batch = None
            return
        follower.match_index = max(follower.match_index, answer.index)
        follower.next_index = max(
            follower.next_index,
            follower.match_index + 1,
        )
        batch = follower.batch
        if batch is not None and batch.last <= follower.match_index:
            follower.batch = None

    def next_message(
        self,
        node: str,
        commit_index: int,
        now: int,
    ) -> Message | None:
        """Return the next entries or a snapshot, or ``None`` if none is due."""
        follower = self._get_follower(node)
        batch = follower.batch
        if batch is not None:
            if now < batch.expires_at:
                return None
            follower.next_index = max(batch.first, follower.match_index + 1)
            follower.batch = None
        first = follower.next_index
        if first <= self._replica_log.base_index:
            return self._make_snapshot_message(follower, now)
        entries = self._replica_log.read_batch(
            first, MAX_BATCH_ENTRIES, MAX_BATCH_BYTES
        )
        if not entries:
            return None
        last = first + len(entries) - 1
        follower.batch = _Batch(first, last, now + self._retry_ms)
        follower.next_index = last + 1
        return AppendEntries(
            self._term,
            first - 1,
            self._replica_log.term_at(first - 1) or 0,
            commit_index,
            now,
            entries,
        )

    def make_heartbeat(self, node: str, commit_index: int, now: int) -> Message:
        """Return a message without entries, which every follower accepts."""
        previous = self._get_follower(node).match_index
        term = self._replica_log.term_at(previous)
        if term is None:
            previous = 0
            term = 0
        return AppendEntries(
            self._term,
            previous,
            term,
            commit_index,
            now,
            (),
        )

    def _make_snapshot_message(self, follower: _Follower, now: int) -> Message:
        snapshot = self._replica_log.snapshot
        follower.batch = _Batch(
            follower.next_index,
            snapshot.index,
            now + self._retry_ms,
        )
        follower.next_index = snapshot.index + 1
        return InstallSnapshot(self._term, now, snapshot)

    def _get_follower(self, node: str) -> _Follower:
        follower = self._followers.get(node)
        if follower is None:
            follower = _Follower(self._initial_next_index, self._started_at)
            self._followers[node] = follower
        return follower

    def _confirmed_at(self, node: str) -> int:
        return self._get_follower(node).confirmed_at


def _majority_value(values: list[int]) -> int:
    """Return the highest value that a majority of the values reaches."""
    if not values:
        return 0
    return sorted(values, reverse=True)[len(values) // 2]
