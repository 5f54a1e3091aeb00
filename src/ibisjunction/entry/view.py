"""What an entry VM knows of the fleet, indexed for requests."""

import bisect
from dataclasses import dataclass
from typing import Final

import xxhash

from ibisjunction.catalogue.model import Limits, Service
from ibisjunction.catalogue.routes import RouteTable
from ibisjunction.fleet.model import FleetState, Shard, Upstream

#: Upstreams of a service that one dispatcher looks after; each has 3 or 4
#: slots, so chance evens out within a group.
_GROUP_UPSTREAMS: Final = 16


@dataclass(frozen=True, slots=True)
class _Shards:
    """The shards of one service and their first keys."""

    firsts: list[int]
    shards: tuple[Shard, ...]


class FleetView:
    """One state of the fleet; never changed."""

    def __init__(
        self,
        state: FleetState,
        index: int,
        earlier: 'FleetView | None' = None,
    ) -> None:
        """Index a state; parts that equal an earlier view's are shared."""
        self.index = index
        self.state = state
        self.routes = _share_routes(state, earlier)
        self._upstreams: dict[str, list[Upstream]] = {}
        for upstream in state.upstreams.values():
            if not upstream.is_draining:
                members = self._upstreams.setdefault(upstream.service, [])
                members.append(upstream)
        self._groups = {
            service: _divide(members)
            for service, members in self._upstreams.items()
        }
        self._shards = {
            service: _Shards([shard.first for shard in shards], shards)
            for service, shards in state.shards.items()
        }

    @property
    def is_empty(self) -> bool:
        """Whether no items are known yet."""
        return self.state.catalogue.is_empty

    @property
    def limits(self) -> Limits | None:
        """The limits on callers in force."""
        return self.state.catalogue.current_limits()

    def find_service(self, name: str) -> Service | None:
        """Return a service by its name."""
        return self.state.catalogue.find_service(name)

    def list_upstreams(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that may get new requests."""
        return self._upstreams.get(service, [])

    def list_group(self, service: str, number: int) -> list[Upstream]:
        """Return the upstreams that may serve a request with this number.

        Requests are spread over the groups by their numbers.
        """
        groups = self._groups.get(service, [])
        return groups[number % len(groups)] if groups else []

    def name_queue(self, service: str, number: int, key: int | None) -> str:
        """Return the name that requests for the same upstreams share.

        That is the owner of a key, or the group of a request with this number.
        """
        if key is not None:
            owner = self.find_owner(service, key)
            return owner.upstream if owner else service
        groups = self._groups.get(service, [])
        return f'{service}/{number % len(groups)}' if groups else service

    def list_all(self) -> list[Upstream]:
        """Return all upstreams, draining ones included."""
        return list(self.state.upstreams.values())

    def find_process(self, name: str, born: int) -> Upstream | None:
        """Return a process of an upstream if it is listed."""
        found = self.state.upstreams.get(name)
        return found if found is not None and found.born == born else None

    def is_current(self, upstream: Upstream) -> bool:
        """Return whether a process is listed and not leaving."""
        found = self.state.upstreams.get(upstream.upstream)
        if found is None or found.is_draining:
            return False
        return found.born == upstream.born

    def find_owner(self, service: str, key: int) -> Upstream | None:
        """Return the upstream that serves a key now, if any does."""
        indexed = self._shards.get(service)
        if indexed is None:
            return None
        shard = indexed.shards[bisect.bisect_right(indexed.firsts, key) - 1]
        if not shard.owner or shard.is_releasing:
            return None
        found = self.state.upstreams.get(shard.owner)
        if found is None or not shard.is_owned_by(found):
            return None
        return found


def _divide(upstreams: list[Upstream]) -> list[list[Upstream]]:
    """Return the groups of upstreams that one dispatcher each looks after.

    A group that is empty by chance is replaced by all upstreams.
    """
    count = 1 + len(upstreams) // _GROUP_UPSTREAMS
    groups: list[list[Upstream]] = [[] for _ in range(count)]
    for upstream in upstreams:
        digest = xxhash.xxh3_64_intdigest(upstream.upstream.encode())
        groups[digest % count].append(upstream)
    return [group or upstreams for group in groups]


def _share_routes(state: FleetState, earlier: FleetView | None) -> RouteTable:
    """Return the routes of a state, or those of a view that equal them."""
    if earlier is not None and earlier.state.catalogue is state.catalogue:
        return earlier.routes
    return RouteTable(state.catalogue)
