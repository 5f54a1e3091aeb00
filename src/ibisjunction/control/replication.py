"""What a leader knows about its followers, and what it sends them."""

from dataclasses import dataclass
from typing import Final

from ibisjunction.control.history import History
from ibisjunction.control.protocol import (
    AppendAnswer,
    AppendEntries,
    InstallSnapshot,
    Message,
    Voters,
)

#: Entries per message; a follower that is further behind gets several.
MAX_BATCH: Final = 512
#: A batch ends after the entry that exceeds this size, 256 KiB.
MAX_BATCH_BYTES: Final = 262144


@dataclass(slots=True)
class _Batch:
    """Entries, or a snapshot up to ``last``, that await an answer."""

    first: int
    last: int
    expires_at: int


@dataclass(slots=True)
class _Follower:
    """Progress of one follower; ``confirmed_at`` is on the leader's clock."""

    next_index: int
    confirmed_at: int
    match_index: int = 0
    batch: _Batch | None = None


class Replication:
    """The followers of one leader in one term."""

    def __init__(
        self,
        node: str,
        term: int,
        history: History,
        now: int,
        retry_ms: int,
    ) -> None:
        """Start without knowledge of any follower."""
        self._node = node
        self._term = term
        self._history = history
        self._started_at = now
        self._first_guess = history.last_index + 1
        self._retry_ms = retry_ms
        self._followers: dict[str, _Follower] = {}
        #: Index up to which the leader's own log is durable.
        self.own_match = 0

    def match_of(self, node: str) -> int:
        """Return the index up to which a replica's log is durable."""
        if node == self._node:
            return self.own_match
        return self._find(node).match_index

    def count_committed(self, voters: Voters, min_copies: int) -> int:
        """Return the highest index that enough voters hold durably.

        Enough are a majority, and ``min_copies`` or all if they are fewer. A
        deployment that starts with few voters would otherwise lose what it
        acknowledged with fewer disks than it is to tolerate.
        """
        matches = [self.match_of(voter.node) for voter in voters]
        copies = min(min_copies, len(matches))
        ranked = sorted(matches, reverse=True)
        return min(_majority_value(matches), ranked[copies - 1])

    def last_heard(self, node: str) -> int:
        """Return the send time of the latest message that a node answered."""
        return self._confirmed(node)

    def confirmed_at(self, voters: Voters, now: int) -> int:
        """Return until when a majority is known to have followed.

        It is the send time of messages that were answered, so that a slow
        answer never makes leadership last longer.
        """
        times = [
            now if voter.node == self._node else self._confirmed(voter.node)
            for voter in voters
        ]
        return _majority_value(times)

    def accept(self, node: str, answer: AppendAnswer) -> None:
        """Record an answer of a follower."""
        follower = self._find(node)
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
        """Return entries or a snapshot if the follower is due some."""
        follower = self._find(node)
        batch = follower.batch
        if batch is not None:
            if now < batch.expires_at:
                return None
            follower.next_index = max(batch.first, follower.match_index + 1)
            follower.batch = None
        first = follower.next_index
        if first <= self._history.base_index:
            return self._send_snapshot(follower, now)
        entries = self._history.read_batch(first, MAX_BATCH, MAX_BATCH_BYTES)
        if not entries:
            return None
        last = first + len(entries) - 1
        follower.batch = _Batch(first, last, now + self._retry_ms)
        follower.next_index = last + 1
        return AppendEntries(
            self._term,
            first - 1,
            self._history.term_at(first - 1) or 0,
            commit_index,
            now,
            entries,
        )

    def heartbeat(self, node: str, commit_index: int, now: int) -> Message:
        """Return a message without entries, which every follower accepts."""
        previous = self._find(node).match_index
        term = self._history.term_at(previous)
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

    def _send_snapshot(self, follower: _Follower, now: int) -> Message:
        snapshot = self._history.snapshot
        follower.batch = _Batch(
            follower.next_index,
            snapshot.index,
            now + self._retry_ms,
        )
        follower.next_index = snapshot.index + 1
        return InstallSnapshot(self._term, now, snapshot)

    def _find(self, node: str) -> _Follower:
        follower = self._followers.get(node)
        if follower is None:
            follower = _Follower(self._first_guess, self._started_at)
            self._followers[node] = follower
        return follower

    def _confirmed(self, node: str) -> int:
        return self._find(node).confirmed_at


def _majority_value(values: list[int]) -> int:
    """Return the highest value that a majority reaches."""
    if not values:
        return 0
    return sorted(values, reverse=True)[len(values) // 2]
