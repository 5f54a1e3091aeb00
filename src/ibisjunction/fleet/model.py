"""Upstreams and the key ranges that they own."""

import functools
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from typing import Final

from ibisjunction.catalogue.items import Catalogue
from ibisjunction.control.records import VoterRecord

#: Keys are numbers from 0 to ``LAST_KEY``.
LAST_KEY: Final = 65_535
#: Load is measured per bucket of this many keys. Shards begin at bucket
#: boundaries, so that the load of a bucket belongs to one shard.
BUCKET_KEYS: Final = 8
#: Most shards of a service.
MAX_SHARDS: Final = (LAST_KEY + 1) // BUCKET_KEYS


#: Name and start time of a process of an upstream.
ProcessKey = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Upstream:
    """One process of an upstream.

    ``born`` is the time of its start in milliseconds since 1970; a process
    with the same name or address and a later ``born`` has replaced it. One
    that ``is_cold`` takes only the requests that its service states.
    """

    upstream: str
    born: int
    service: str
    address: str
    failure_domain: str
    slots: int
    is_draining: bool = False
    is_cold: bool = False

    @property
    def process_key(self) -> ProcessKey:
        """The key that identifies the process."""
        return (self.upstream, self.born)


@dataclass(frozen=True, slots=True)
class Shard:
    """A range of keys, both ends included, and the process that owns it.

    ``fence`` grows with each change of owner. A shard that ``is_releasing``
    gets no requests; ``shown`` is then the sequence of a check-in of its owner;
    in that check-in or an earlier one, the owner reported that it holds the
    shard. It is ``None`` if the owner had not reported that before the release.
    ``handover`` is the token with which the last holder released the shard; an
    owner that gets no token starts cold.
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
        return (self.owner, self.born) == upstream.process_key

    def without_owner(self, handover: str) -> 'Shard':
        """Return the shard as its owner left it.

        :param handover: token for the next owner; it may be empty.
        """
        return replace(
            self,
            owner='',
            born=0,
            is_releasing=False,
            handover=handover,
            shown=None,
        )


Shards = tuple[Shard, ...]


def list_first_keys(count: int) -> list[int]:
    """Return the first keys of ``count`` shards, at bucket boundaries."""
    buckets = (LAST_KEY + 1) // BUCKET_KEYS
    return [buckets * number // count * BUCKET_KEYS for number in range(count)]


def find_split_shards(
    before: Shards, after: Shards
) -> Iterator[tuple[Shard, Shard]]:
    """Yield each shard that a split added, after the shard that was split.

    Both arguments list the shards of one service, ordered by first key.
    """
    originals = {shard.first: shard for shard in before}
    original: Shard | None = None
    for shard in after:
        found = originals.get(shard.first)
        if found is None and original is not None:
            yield original, shard
        original = found or original


@dataclass(frozen=True)
class FleetState:
    """The state built from the replicated log; never changed in place.

    ``shards`` lists the shards of each sharded service, ordered by first key;
    together they cover all keys. ``last_fence`` only grows. ``blocked`` are the
    fingerprints of requests that crash upstreams, the oldest first.
    ``evacuated`` are the failure domains that get no new requests, and
    ``applied_orders`` the latest orders that changed them.
    """

    catalogue: Catalogue = field(default_factory=Catalogue)
    upstreams: dict[str, Upstream] = field(default_factory=dict)
    shards: dict[str, Shards] = field(default_factory=dict)
    last_fence: int = 0
    voters: tuple[VoterRecord, ...] = ()
    blocked: tuple[int, ...] = ()
    evacuated: tuple[str, ...] = ()
    applied_orders: tuple[str, ...] = ()

    def is_evacuated(self, upstream: Upstream) -> bool:
        """Return whether an upstream is in an evacuated failure domain."""
        return upstream.failure_domain in self.evacuated

    def list_upstreams(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service, draining ones included."""
        return [
            upstream
            for upstream in self.upstreams.values()
            if upstream.service == service
        ]

    def list_owned(self, upstream: Upstream) -> list[Shard]:
        """Return the shards that a process owns, releasing ones included."""
        return self._owned_shards.get(
            (upstream.service, *upstream.process_key), []
        )

    def find_conflicting(self, upstream: str, address: str) -> list[Upstream]:
        """Return the processes with this name or this address."""
        by_name = self.upstreams.get(upstream)
        by_address = self._upstreams_by_address.get(address)
        found = [] if by_name is None else [by_name]
        if by_address is not None and by_address is not by_name:
            found.append(by_address)
        return found

    @functools.cached_property
    def _owned_shards(self) -> dict[tuple[str, str, int], list[Shard]]:
        """Shards by service, name and start time of the owning process.

        A leader looks them up at each check-in; a scan of all shards took
        longer than the interval between check-ins of 3,000 upstreams.
        """
        owned: dict[tuple[str, str, int], list[Shard]] = {}
        for service, shards in self.shards.items():
            for shard in shards:
                key = (service, shard.owner, shard.born)
                owned.setdefault(key, []).append(shard)
        return owned

    @functools.cached_property
    def _upstreams_by_address(self) -> dict[str, Upstream]:
        """Upstreams by address; a later process replaces one at its address."""
        return {one.address: one for one in self.upstreams.values()}
