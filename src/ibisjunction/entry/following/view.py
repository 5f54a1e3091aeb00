"""A snapshot of the fleet state, indexed to serve requests."""

import bisect
import itertools
import operator
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

import xxhash

from ibisjunction.catalogue.model import Limits, Service
from ibisjunction.catalogue.routes import RouteTable
from ibisjunction.fleet.model import (
    FleetState,
    ProcessKey,
    Upstream,
)

#: The groups of upstreams that each have one dispatcher have fewer members than
#: this on average. An upstream has 3 or 4 slots, so random differences in load
#: even out within a group.
_GROUP_UPSTREAMS: Final = 16
_Groups = list[list[Upstream]]
_get_first_key: Final = operator.attrgetter('first')


@dataclass(frozen=True, slots=True)
class UpstreamIndex:
    """The upstreams of a fleet by process, service and group.

    ``services`` and ``groups`` contain those that may get new requests.
    """

    process_keys: frozenset[ProcessKey]
    services: dict[str, list[Upstream]]
    groups: dict[str, _Groups]
    group_names: dict[ProcessKey, list[str]]
    queue_names: frozenset[str]


class FleetView:
    """An immutable snapshot of the fleet state with its indexes."""

    def __init__(
        self,
        state: FleetState,
        index: int,
        previous: 'FleetView | None' = None,
    ) -> None:
        """Index a state; the previous view shares what is unchanged."""
        #: Log index of the last entry that the state includes.
        self.index = index
        self.state = state
        self.blocked = frozenset(state.blocked)
        self.routes = _reuse_routes(state, previous)
        #: Shared with the previous view while the upstreams are the same.
        self.upstream_index = _reuse_index(state, previous)

    @property
    def process_keys(self) -> frozenset[ProcessKey]:
        """The processes of all upstreams, draining ones included."""
        return self.upstream_index.process_keys

    @property
    def queue_names(self) -> frozenset[str]:
        """The names of all queues that requests may wait in."""
        return self.upstream_index.queue_names

    @property
    def shared_queues(self) -> frozenset[str]:
        """The names of the queues of services that several ranks share."""
        shared = itertools.chain.from_iterable(
            upstreams
            for service, upstreams in self.upstream_index.services.items()
            if self.routes.is_shared(service)
        )
        return frozenset(
            itertools.chain.from_iterable(map(self.list_queues, shared))
        )

    @property
    def is_empty(self) -> bool:
        """Whether the catalogue has no items yet."""
        return self.state.catalogue.is_empty

    @property
    def limits(self) -> Limits | None:
        """The limits on requests in force, if any."""
        return self.state.catalogue.current_limits()

    def find_service(self, name: str) -> Service | None:
        """Return a service by its name."""
        return self.state.catalogue.find_service(name)

    def list_upstreams(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that may get new requests."""
        return self.upstream_index.services.get(service, [])

    def list_group(self, service: str, number: int) -> list[Upstream]:
        """Return the upstreams that may serve a request with this number.

        Requests are spread over the groups by their numbers.
        """
        groups = self.upstream_index.groups.get(service, [])
        return groups[number % len(groups)] if groups else []

    def find_queue_name(
        self,
        service: str,
        number: int,
        key: int | None,
    ) -> str:
        """Return the name of the queue of a request.

        Requests for the same upstreams share a queue: that of the owner of the
        key, or that of the group for this number.
        """
        if key is not None:
            owner = self.find_owner(service, key)
            return owner.upstream if owner else service
        groups = self.upstream_index.groups.get(service, [])
        return f'{service}/{number % len(groups)}' if groups else service

    def list_queue(self, name: str) -> list[Upstream]:
        """Return the upstreams that may serve the requests of a queue."""
        service, _, index = name.rpartition('/')
        if index.isdecimal() and service in self.upstream_index.groups:
            return self.upstream_index.groups[service][int(index)]
        owner = self.state.upstreams.get(name)
        return [] if owner is None else [owner]

    def find_own_queue(self, upstream: Upstream) -> str:
        """Return the queue of the requests that an upstream serves."""
        service = self.find_service(upstream.service)
        names = self.upstream_index.group_names.get(upstream.process_key, ())
        if not names or (service is not None and service.is_sharded):
            return upstream.upstream
        return names[0]

    def list_queues(self, upstream: Upstream) -> list[str]:
        """Return the names of the queues that an upstream serves."""
        names = self.upstream_index.group_names.get(upstream.process_key, ())
        return [upstream.upstream, *names]

    def list_all_upstreams(self) -> list[Upstream]:
        """Return all upstreams, draining ones included."""
        return list(self.state.upstreams.values())

    def find_process(self, name: str, born: int) -> Upstream | None:
        """Return a process of an upstream if it is in the fleet."""
        upstream = self.state.upstreams.get(name)
        return (
            upstream if upstream is not None and upstream.born == born else None
        )

    def is_current(self, upstream: Upstream) -> bool:
        """Return whether a process is in the fleet and not draining."""
        current = self.state.upstreams.get(upstream.upstream)
        if current is None or current.is_draining:
            return False
        return current.born == upstream.born

    def find_owner(self, service: str, key: int) -> Upstream | None:
        """Return the owner of a key; ``None`` without one, as in a move."""
        shards = self.state.shards.get(service)
        if shards is None:
            return None
        shard = shards[bisect.bisect_right(shards, key, key=_get_first_key) - 1]
        if not shard.owner or shard.is_releasing:
            return None
        upstream = self.state.upstreams.get(shard.owner)
        if upstream is None or not shard.is_owned_by(upstream):
            return None
        return upstream


def _reuse_index(
    state: FleetState, previous: FleetView | None
) -> UpstreamIndex:
    """Return the previous index if the upstreams are unchanged, or a new one.

    Most entries change shards only.
    """
    if (
        previous is not None
        and previous.state.upstreams is state.upstreams
        and previous.state.evacuated == state.evacuated
    ):
        return previous.upstream_index
    return _index_upstreams(state)


def _index_upstreams(state: FleetState) -> UpstreamIndex:
    services: dict[str, list[Upstream]] = {}
    for upstream in state.upstreams.values():
        if not (upstream.is_draining or state.is_evacuated(upstream)):
            services.setdefault(upstream.service, []).append(upstream)
    groups = {
        service: _divide_into_groups(members)
        for service, members in services.items()
    }
    group_names = _list_group_names(groups)
    names = itertools.chain.from_iterable(group_names.values())
    return UpstreamIndex(
        frozenset(one.process_key for one in state.upstreams.values()),
        services,
        groups,
        group_names,
        frozenset(itertools.chain(state.upstreams, names)),
    )


def _divide_into_groups(upstreams: list[Upstream]) -> list[list[Upstream]]:
    """Divide upstreams by hash into groups that have one dispatcher each.

    A group that no upstream falls into is replaced by all upstreams.
    """
    count = 1 + len(upstreams) // _GROUP_UPSTREAMS
    groups: list[list[Upstream]] = [[] for _ in range(count)]
    for upstream in upstreams:
        digest = xxhash.xxh3_64_intdigest(upstream.upstream.encode())
        groups[digest % count].append(upstream)
    return [group or upstreams for group in groups]


def _list_group_names(
    groups: Mapping[str, _Groups],
) -> dict[ProcessKey, list[str]]:
    """Return the names of the groups of each upstream."""
    names: dict[ProcessKey, list[str]] = {}
    for service, service_groups in groups.items():
        for index, members in enumerate(service_groups):
            for upstream in members:
                names.setdefault(upstream.process_key, []).append(
                    f'{service}/{index}'
                )
    return names


def _reuse_routes(state: FleetState, previous: FleetView | None) -> RouteTable:
    """Return the previous routes if the catalogue is unchanged, or new ones."""
    if previous is not None and previous.state.catalogue is state.catalogue:
        return previous.routes
    return RouteTable(state.catalogue)
