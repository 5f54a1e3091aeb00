"""Roles of a replica, its stored state and its election timing."""

import math
from dataclasses import dataclass, field
from typing import Final

from ibisjunction.control.effects import CommandProposed
from ibisjunction.control.protocol import Entry, Snapshot
from ibisjunction.control.replication import Replication

#: A leader sends this many heartbeats within the shortest election timeout.
_HEARTBEATS_PER_TIMEOUT: Final = 5
_DEFAULT_CATCH_UP_MS: Final = 20_000


@dataclass(frozen=True, slots=True)
class StoredState:
    """The durable state that a replica loads when it starts.

    ``vote`` is the node voted for in ``term``, or empty.
    """

    term: int
    vote: str
    snapshot: Snapshot
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class ElectionTiming:
    """Election timeouts, and the relative clock-rate error.

    The timeout is random between ``min_ms`` and ``max_ms``. A new voter has
    ``catch_up_ms`` to catch up; its change is then declined, so that a voter
    that is slow or down does not block other changes.
    """

    min_ms: int
    max_ms: int
    clock_error: float
    catch_up_ms: int = _DEFAULT_CATCH_UP_MS

    @property
    def leader_lease_ms(self) -> int:
        """Time that a leader may act after a majority last followed it.

        Followers refuse votes for ``min_ms`` on their own clocks, so the
        leader stops earlier by the clock-rate error.
        """
        return math.floor(self.min_ms * (1 - self.clock_error))

    @property
    def heartbeat_ms(self) -> int:
        """Interval of a leader's heartbeats."""
        return max(1, self.min_ms // _HEARTBEATS_PER_TIMEOUT)


@dataclass(slots=True)
class Follower:
    """Follows ``leader``; both logs match up to ``verified_index``.

    ``sent_at`` is the send time of the leader's latest message, on the
    leader's clock.
    """

    leader: str | None = None
    verified_index: int = 0
    sent_at: int = 0


@dataclass(slots=True)
class Candidate:
    """Collects votes; ``vote_write`` numbers the write of the own vote."""

    is_trial: bool
    vote_write: int
    votes: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Leader:
    """Leads the term, whose first entry is at ``term_start_index``.

    ``pending_change`` is a change of voters that waits until the new voter has
    caught up, until ``change_deadline`` at the latest.
    """

    replication: Replication
    term_start_index: int
    next_heartbeat_at: int
    pending_change: CommandProposed | None = None
    change_deadline: int = 0


Role = Follower | Candidate | Leader
