"""A queue that is weighted fair between clients.

The client that has received least for its weight goes first (start-time fair
queueing); within a client, the request that expires first. Every operation
takes O(log n) amortised: removed entries stay in the heaps until they reach
the top or until a heap holds more of them than live entries.
"""

import heapq
import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Final

from ibisjunction.dispatch.messages import TicketRequest

#: A heap of up to this size isn't compacted, which saves rebuilding heaps of
#: a few entries.
_MIN_COMPACTED_SIZE: Final = 16
#: Number of kept tags of clients without requests. More start a purge of the
#: tags that the virtual time has reached, since they no longer delay a client.
_MAX_IDLE_TAGS: Final = 1024


@dataclass(frozen=True, slots=True, eq=False)
class QueuedRequest:
    """A request that waits for a ticket.

    It meets its target if it starts before ``latest_start_ms``.
    """

    vm: str
    request: TicketRequest
    latest_start_ms: int
    deadline_ms: int


#: Returns whether a client has as many requests in flight as its terms allow.
IsBlocked = Callable[[str, int], bool]
#: Entries of expiry time, sequence number and request; the number orders
#: entries of the same time.
_Heap = list[tuple[float, int, QueuedRequest]]


@dataclass(slots=True, eq=False)
class _ClientQueue:
    """The requests of one client.

    ``count`` is the number of queued requests; the lists may also have stale
    entries of requests that were removed.

    ``tag`` is the virtual time at which the next request of the client starts.
    """

    name: str
    weight: float
    max_in_flight: int
    tag: float
    count: int = 0
    is_scheduled: bool = False
    by_expiry: _Heap = field(default_factory=list)
    by_arrival: list[QueuedRequest] = field(default_factory=list)


class FairQueue:
    """A queue that is weighted fair between clients.

    ``_schedule`` orders the clients by tag and ``_by_load`` by queued requests
    for their weight; ``_idle_tags`` keeps the tags of clients without requests.

    ``active_weight`` is the sum of the weights of the clients with requests.
    ``size`` is the number of queued requests; callers that need it for each
    decision read the attribute, which costs less than ``len``.
    """

    def __init__(self) -> None:
        """Start with an empty queue."""
        self._requests: dict[str, QueuedRequest] = {}
        self._clients: dict[str, _ClientQueue] = {}
        self._idle_tags: dict[str, float] = {}
        self._schedule: list[tuple[float, int, _ClientQueue]] = []
        self._by_load: list[tuple[float, int, _ClientQueue]] = []
        self._expiries: _Heap = []
        self._sequence = itertools.count()
        self._virtual_time: float = 0
        self.active_weight: float = 0
        self.size = 0

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return self.size

    def __iter__(self) -> Iterator[QueuedRequest]:
        """Iterate over the queued requests, in no particular order."""
        return iter(self._requests.values())

    def count_queued(self, client: str) -> int:
        """Return the number of queued requests of a client."""
        queue = self._clients.get(client)
        return 0 if queue is None else queue.count

    def add(self, queued: QueuedRequest, expires_ms: float) -> None:
        """Add a request that expires unless it starts before ``expires_ms``."""
        client = self._get_client_queue(queued.request)
        number = next(self._sequence)
        self._requests[queued.request.ticket_id] = queued
        self.size += 1
        client.count += 1
        heapq.heappush(client.by_expiry, (expires_ms, number, queued))
        client.by_arrival.append(queued)
        heapq.heappush(self._expiries, (expires_ms, number, queued))
        negated_load = -client.count / client.weight
        heapq.heappush(self._by_load, (negated_load, number, client))
        self._schedule_client(client)
        self._compact(client)

    def remove(self, ticket_id: str) -> QueuedRequest | None:
        """Remove and return a request, if it is queued."""
        queued = self._requests.pop(ticket_id, None)
        if queued is not None:
            client = self._clients[queued.request.client]
            self.size -= 1
            client.count -= 1
            if not client.count:
                self._remove_client(client)
        return queued

    def take(self, is_blocked: IsBlocked) -> QueuedRequest | None:
        """Remove and return the next request of a client that is not blocked.

        A blocked client is skipped until :meth:`unblock`.

        :param is_blocked: receives a client and its ``max_in_flight``.
        """
        while self._schedule:
            client = self._schedule[0][2]
            is_skipped = is_blocked(client.name, client.max_in_flight)
            if not client.count or is_skipped:
                client.is_scheduled = False
                heapq.heappop(self._schedule)
                continue
            queued = heapq.heappop(client.by_expiry)[2]
            while not self._is_live(queued):
                queued = heapq.heappop(client.by_expiry)[2]
            self._virtual_time = client.tag
            client.tag += 1 / client.weight
            heapq.heapreplace(
                self._schedule,
                (client.tag, next(self._sequence), client),
            )
            self.remove(queued.request.ticket_id)
            return queued
        return None

    def unblock(self, name: str) -> None:
        """Schedule a client that was skipped as blocked."""
        client = self._clients.get(name)
        if client is not None:
            self._schedule_client(client)

    def may_have_expired(self, now: int) -> bool:
        """Return whether a request may have expired, in constant time."""
        return bool(self._expiries) and self._expiries[0][0] <= now

    def take_expired(self, now: int) -> QueuedRequest | None:
        """Remove and return a request that expired, if there is one."""
        while self._expiries and self._expiries[0][0] <= now:
            queued = heapq.heappop(self._expiries)[2]
            if self._is_live(queued):
                return self.remove(queued.request.ticket_id)
        return None

    def evict_newest(self) -> QueuedRequest | None:
        """Remove and return the newest request of the most loaded client.

        That is the client with most queued requests for its weight.
        """
        while self._by_load:
            negated_load, _, client = self._by_load[0]
            # An entry that overstates the load of its client is replaced.
            if client.count and negated_load >= -client.count / client.weight:
                queued = client.by_arrival.pop()
                while not self._is_live(queued):
                    queued = client.by_arrival.pop()
                return self.remove(queued.request.ticket_id)
            heapq.heappop(self._by_load)
            if client.count:
                negated_load = -client.count / client.weight
                entry = (negated_load, next(self._sequence), client)
                heapq.heappush(self._by_load, entry)
        return None

    def _get_client_queue(self, request: TicketRequest) -> _ClientQueue:
        """Return the queue of a request's client, a new one if there is none.

        The request brings the current weight and maximum of its client.
        """
        client = self._clients.get(request.client)
        if client is None:
            tag = max(
                self._idle_tags.pop(request.client, 0), self._virtual_time
            )
            client = _ClientQueue(request.client, 0, 0, tag)
            self._clients[request.client] = client
        self.active_weight += request.weight - client.weight
        client.weight = request.weight
        client.max_in_flight = request.max_in_flight
        return client

    def _remove_client(self, client: _ClientQueue) -> None:
        """Remove an empty client, but keep its tag.

        Otherwise it would get turns again that it has already had.
        """
        self._clients.pop(client.name)
        self.active_weight -= client.weight
        self._idle_tags[client.name] = client.tag
        if len(self._idle_tags) > _MAX_IDLE_TAGS:
            self._idle_tags = {
                name: tag
                for name, tag in self._idle_tags.items()
                if tag > self._virtual_time
            }

    def _schedule_client(self, client: _ClientQueue) -> None:
        if not client.is_scheduled:
            client.is_scheduled = True
            client.tag = max(client.tag, self._virtual_time)
            entry = (client.tag, next(self._sequence), client)
            heapq.heappush(self._schedule, entry)

    def _is_live(self, queued: QueuedRequest) -> bool:
        return self._requests.get(queued.request.ticket_id) is queued

    def _compact(self, client: _ClientQueue) -> None:
        """Drop stale entries from lists where they are the larger part."""
        if _is_sparse(len(client.by_expiry), client.count):
            client.by_expiry = _without_stale(client.by_expiry, self._is_live)
        if _is_sparse(len(client.by_arrival), client.count):
            client.by_arrival = list(filter(self._is_live, client.by_arrival))
        if _is_sparse(len(self._expiries), len(self._requests)):
            self._expiries = _without_stale(self._expiries, self._is_live)
        if _is_sparse(len(self._by_load), len(self._requests)):
            self._by_load = [
                (-queue.count / queue.weight, next(self._sequence), queue)
                for queue in self._clients.values()
            ]
            heapq.heapify(self._by_load)


def _without_stale(
    heap: _Heap, is_live: Callable[[QueuedRequest], bool]
) -> _Heap:
    live = [entry for entry in heap if is_live(entry[2])]
    heapq.heapify(live)
    return live


def _is_sparse(size: int, live_count: int) -> bool:
    return size > _MIN_COMPACTED_SIZE + 2 * live_count
