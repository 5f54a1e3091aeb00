"""One sharded service and its upstreams as the balance sees them."""

import math
from dataclasses import dataclass, field
from typing import Final

from ibisjunction.fleet.model import Process, Shards, Upstream

#: Shards that one upstream may have. An answer to a check-in is at most 4 KiB,
#: and a shard takes 27 bytes of it, or 43 with the token of a hand-over.
MAX_OWNED: Final = 90
#: Part of an upstream's share of the load that it may have beyond it.
FULL: Final = 1.05
#: Utilisation below which an upstream keeps its shards: requests rarely wait.
_CALM: Final = 0.3
#: An upstream gives shards away above this multiple of the mean utilisation.
_HIGH: Final = 1.2


@dataclass(frozen=True, slots=True)
class Member:
    """An upstream that may own shards.

    ``capacity`` is in requests each second; ``next_ms`` is when its next
    check-in is expected.
    """

    upstream: Upstream
    capacity: float
    next_ms: int

    @property
    def process(self) -> Process:
        """What names the member's process."""
        return self.upstream.process


@dataclass(slots=True)
class ServiceView:
    """One service as the balance sees it; ``rates`` belong to the shards.

    ``weight_s`` is the time in seconds over which the rates were counted.
    ``promised`` names the process that is to take a shard once it is free, by
    the shard's first key. ``resting`` are the first keys of shards that moved
    a short time ago and stay where they are.
    """

    service: str
    shards: Shards
    rates: list[float]
    members: tuple[Member, ...]
    weight_s: float = math.inf
    promised: dict[int, Process] = field(default_factory=dict)
    resting: frozenset[int] = frozenset()
    _owned: dict[Process, list[int]] = field(default_factory=dict)
    _loads: dict[Process, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Index the shards by owner, or by who is to take them."""
        for position, shard in enumerate(self.shards):
            process: Process | None
            if shard.owner and not shard.is_releasing:
                process = (shard.owner, shard.born)
                self._owned.setdefault(process, []).append(position)
            else:
                process = self.promised.get(shard.first)
            if process is not None:
                load = self._loads.get(process, 0)
                self._loads[process] = load + self.rates[position]

    @property
    def capacity(self) -> float:
        """Capacity of all members."""
        return sum(member.capacity for member in self.members)

    @property
    def rate(self) -> float:
        """Requests each second of all shards."""
        return sum(self.rates)

    @property
    def unserved_rate(self) -> float:
        """Requests each second of shards that nobody serves."""
        return sum(
            rate
            for shard, rate in zip(self.shards, self.rates, strict=True)
            if shard.is_releasing or not shard.owner
        )

    def load_on(self, member: Member) -> float:
        """Return the requests each second of a member's shards.

        Those that are on their way to it count, or several upstreams would
        give shards to the same idle one at once.
        """
        return self._loads.get(member.process, 0)

    def utilisation(self, member: Member) -> float:
        """Return the part of a member's capacity that is used."""
        return self.load_on(member) / member.capacity

    def is_busy(self, member: Member) -> bool:
        """Return whether a member has more than its share of the load.

        What chance makes of a few requests is left out.
        """
        mean = self.rate / self.capacity
        load = self.load_on(member)
        chance = math.sqrt(max(0, load) / self.weight_s) / member.capacity
        limit = max(_CALM, mean * _HIGH, mean + chance)
        return self.utilisation(member) >= limit

    def owned_by(self, member: Member) -> list[int]:
        """Return the positions of a member's shards that stay with it."""
        return self._owned.get(member.process, [])

    def describe(self, member: Member) -> str:
        """Return a member's load and the mean of all, for the log."""
        mean = self.rate / self.capacity
        return (
            f'{member.upstream.upstream} at {self.utilisation(member):.2f},'
            f' mean {mean:.2f}'
        )

    def find_member(self, upstream: Upstream) -> Member | None:
        """Return the member that is this process."""
        return next(
            (one for one in self.members if one.upstream == upstream),
            None,
        )
