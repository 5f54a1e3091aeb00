"""Upstreams and the key ranges that they own."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from ibisjunction.catalogue.items import Catalogue
from ibisjunction.control.records import VoterRecord

#: Keys are numbers from 0 to this one.
LAST_KEY: Final = 65_535
#: Load is counted per bucket of this many keys; shards begin at whole buckets,
#: so that the load of a bucket belongs to one shard.
BUCKET_KEYS: Final = 8


#: Name and start of a process of an upstream.
Process = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Upstream:
    """One process of an upstream.

    ``born`` is the time of its start in milliseconds since 1970; a process
    with the same name or address and a later ``born`` has replaced it.
    """

    upstream: str
    born: int
    service: str
    address: str
    failure_domain: str
    slots: int
    is_draining: bool = False

    @property
    def process(self) -> Process:
        """What tells this process from earlier ones of its name."""
        return (self.upstream, self.born)


@dataclass(frozen=True, slots=True)
class Shard:
    """A range of keys, both ends included, and the process that owns it.

    ``fence`` grows with each change of owner. A shard that ``is_releasing``
    gets no requests; ``shown`` is then the sequence of a check-in in which its
    owner said that it holds the shard, if there was one before the release.
    ``handover`` is the token with which the last holder passed the shard on;
    an owner that gets none starts cold.
    """

    first: int
    last: int
    owner: str = ''
    born: int = 0
    fence: int = 0
    is_releasing: bool = False
    handover: str = ''
    shown: int | None = None

    def is_owned_by(self, upstream: Upstream) -> bool:
        """Return whether this process owns the shard."""
        return (self.owner, self.born) == upstream.process


Shards = tuple[Shard, ...]


def list_starts(count: int) -> list[int]:
    """Return the first keys of so many shards, which begin at buckets."""
    buckets = (LAST_KEY + 1) // BUCKET_KEYS
    return [buckets * number // count * BUCKET_KEYS for number in range(count)]


def find_parts(before: Shards, after: Shards) -> Iterator[tuple[Shard, Shard]]:
    """Yield each shard that a division added, after the one it was part of.

    Both arguments list all keys of one service by their first keys.
    """
    wholes = {shard.first: shard for shard in before}
    whole: Shard | None = None
    for shard in after:
        found = wholes.get(shard.first)
        if found is None and whole is not None:
            yield whole, shard
        whole = found or whole


@dataclass(frozen=True)
class FleetState:
    """All state that the replicated log yields; never changed in place.

    ``shards`` lists the ranges of each sharded service by their first key;
    together they cover all keys. ``last_fence`` only grows.
    """

    catalogue: Catalogue = field(default_factory=Catalogue)
    upstreams: dict[str, Upstream] = field(default_factory=dict)
    shards: dict[str, Shards] = field(default_factory=dict)
    last_fence: int = 0
    voters: tuple[VoterRecord, ...] = ()

    def list_upstreams(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service, draining ones included."""
        return [
            upstream
            for upstream in self.upstreams.values()
            if upstream.service == service
        ]

    def list_owned(self, upstream: Upstream) -> list[Shard]:
        """Return the shards that a process owns, releasing ones included."""
        return [
            shard
            for shard in self.shards.get(upstream.service, ())
            if shard.is_owned_by(upstream)
        ]
