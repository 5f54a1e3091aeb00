"""What a replica is at a time, and what it starts from."""

import math
from dataclasses import dataclass, field
from typing import Final

from ibisjunction.control.effects import Proposed
from ibisjunction.control.protocol import Entry, Snapshot
from ibisjunction.control.replication import Replication

#: A leader sends this many heartbeats within the shortest election timeout.
_HEARTBEATS_PER_TIMEOUT: Final = 5


@dataclass(frozen=True, slots=True)
class Stored:
    """What a replica finds in its files when it starts."""

    term: int
    vote: str
    snapshot: Snapshot
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class ElectionTiming:
    """Durations in milliseconds; ``clock_error`` is a relative rate."""

    min_ms: int
    max_ms: int
    clock_error: float

    @property
    def leader_limit_ms(self) -> int:
        """How long a leader acts after a majority last followed it.

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
    """Follows ``leader``, whose log equals ours up to ``verified``.

    ``sent_at`` is the leader's time of its latest message.
    """

    leader: str | None = None
    verified: int = 0
    sent_at: int = 0


@dataclass(slots=True)
class Candidate:
    """Collects votes; ``write`` makes the own vote durable."""

    is_trial: bool
    write: int
    votes: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Leader:
    """Leads the term; its first own entry is at ``begin_index``.

    ``joining`` is a change of voters that waits for the new voter.
    """

    replication: Replication
    begin_index: int
    heartbeat_at: int
    joining: Proposed | None = None
    joining_until: int = 0


Role = Follower | Candidate | Leader
