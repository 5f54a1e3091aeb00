"""Requests that wait for the same upstreams, in the order of service."""

import bisect
import heapq
from collections import Counter
from collections.abc import Iterator
from typing import Final, NamedTuple

from ibisjunction.entry.dispatching.floors import RankFloors
from ibisjunction.entry.tickets.ticket_request import RequestId, TicketRequest

#: The last turns of this many keys beside those that wait are remembered.
_SPARE_TURNS: Final = 64


class _Place(NamedTuple):
    """The position of a request among others; the lowest is served first.

    It is a tuple, which compares ten times faster than a dataclass.
    """

    is_late: bool
    rank: int
    is_new: bool
    turn: int
    target_ms: int
    arrival: int


class _Turns:
    """The turn that the next request for each key gets."""

    def __init__(self) -> None:
        self._current = 0
        self._last_turns: dict[int, int] = {}

    def find_next(self, key: int | None) -> int:
        """Return the turn of a new request for a key; without a key, 0."""
        if key is None:
            return 0
        return max(self._current, self._last_turns.get(key, -1) + 1)

    def record_added(self, key: int | None, turn: int) -> None:
        """Record that a request has got its turn."""
        if key is not None:
            self._last_turns[key] = turn

    def record_removed(self, key: int | None, turn: int) -> None:
        """Let the next request for a key have the turn of one that left."""
        if key is not None and self._last_turns.get(key) == turn:
            self._last_turns[key] = turn - 1

    def record_served(self, key: int | None, turn: int) -> None:
        """Record that a request was served in its turn."""
        self._current = max(self._current, turn)
        if key is not None:
            last_turn = self._last_turns.get(key, turn)
            self._last_turns[key] = max(last_turn, turn)

    def prune(self, waiting_count: int) -> None:
        """Forget the keys that have neither an advantage nor a delay."""
        if len(self._last_turns) > 2 * waiting_count + _SPARE_TURNS:
            self._last_turns = {
                key: turn
                for key, turn in self._last_turns.items()
                if turn >= self._current
            }


class WaitingQueue:
    """The waiting requests for one upstream, or for one group of them.

    Requests that can still meet their target go first, by rank. Of equally
    urgent ones, those whose callers came back as they were told go first; they
    do not become late. The others take turns by key: the second request for a
    key waits until each other key had its first. Otherwise the backlog of one
    busy key would delay the requests for all other keys of its owner. A rank
    that has earned a grant goes before all.

    All operations take a time that grows with the logarithm of the number of
    requests, apart from the shift of a list in memory.
    """

    def __init__(self, floors: RankFloors) -> None:
        """Create an empty queue."""
        self._floors = floors
        self._rank_counts: Counter[int] = Counter()
        self._requests: dict[RequestId, TicketRequest] = {}
        self._places: dict[RequestId, _Place] = {}
        self._order: list[_Place] = []
        self._by_arrival: dict[int, RequestId] = {}
        self._arrivals = 0
        self._by_target: list[tuple[int, int]] = []
        self._by_give_up: list[tuple[int, int]] = []
        self._turns = _Turns()
        #: When the queue has to be looked at although nothing happens.
        self.wake_ms = 0
        #: When late requests are compared with their time next.
        self.next_review_ms = 0

    def __len__(self) -> int:
        """Return the number of requests."""
        return len(self._order)

    def __contains__(self, request_id: RequestId) -> bool:
        """Return whether a request waits here."""
        return request_id in self._requests

    def find(self, request_id: RequestId) -> TicketRequest:
        """Return a request that waits here."""
        return self._requests[request_id]

    def add(self, request: TicketRequest, *, is_late: bool) -> None:
        """Add a request behind those that are served before it."""
        place = self._find_place(request, is_late=is_late)
        self._turns.record_added(request.key, place.turn)
        self._turns.prune(len(self._order))
        self._arrivals += 1
        request_id = request.request_id
        self._rank_counts[request.rank] += 1
        self._requests[request_id] = request
        self._by_arrival[place.arrival] = request_id
        self._insert(place)
        heapq.heappush(self._by_target, (request.target_ms, place.arrival))
        heapq.heappush(self._by_give_up, (request.give_up_ms, place.arrival))

    def count_ahead(self, request: TicketRequest, *, is_late: bool) -> int:
        """Return how many requests would be served before a new one."""
        place = self._find_place(request, is_late=is_late)
        return bisect.bisect_left(self._order, place)

    def remove(self, request_id: RequestId) -> TicketRequest | None:
        """Remove a request; return ``None`` if it does not wait here."""
        request = self._requests.pop(request_id, None)
        if request is None:
            return None
        place = self._places.pop(request_id)
        self._by_arrival.pop(place.arrival)
        self._order.pop(bisect.bisect_left(self._order, place))
        self._rank_counts[place.rank] -= 1
        if not self._rank_counts[place.rank]:
            self._rank_counts.pop(place.rank)
        if not self._order:
            self._by_target.clear()
            self._by_give_up.clear()
        self._turns.record_removed(request.key, place.turn)
        return request

    def take(self, request: TicketRequest) -> None:
        """Remove a request that is served now."""
        turn = self._places[request.request_id].turn
        self.remove(request.request_id)
        self._turns.record_served(request.key, turn)

    def iterate(self) -> Iterator[TicketRequest]:
        """Yield the requests in the order of service.

        A request that was yielded may be removed before the next one. One that
        is yielded first because its rank has earned it, and is not removed, is
        yielded again in its place.
        """
        for rank in self._floors.list_entitled(self._rank_counts):
            yield self._find(self._find_first(rank))
        position = 0
        while position < len(self._order):
            place = self._order[position]
            yield self._find(place)
            if position < len(self._order) and self._order[position] == place:
                position += 1

    def list_late(self) -> list[tuple[int, TicketRequest]]:
        """Return the late requests, each with the number of those ahead."""
        first = bisect.bisect_left(
            self._order, True, key=lambda place: place.is_late
        )
        return [
            (position, self._find(self._order[position]))
            for position in range(first, len(self._order))
        ]

    def mark_late(self, target_ms: float) -> None:
        """Put the requests with an earlier target behind the others."""
        while self._by_target and self._by_target[0][0] < target_ms:
            _, arrival = heapq.heappop(self._by_target)
            request_id = self._by_arrival.get(arrival)
            if request_id is not None:
                self._move_behind(request_id)

    def pop_timed_out(self, give_up_ms: float) -> Iterator[TicketRequest]:
        """Remove and yield the requests that time out until a moment."""
        while self._by_give_up and self._by_give_up[0][0] <= give_up_ms:
            _, arrival = heapq.heappop(self._by_give_up)
            request_id = self._by_arrival.get(arrival)
            request = None if request_id is None else self.remove(request_id)
            if request is not None:
                yield request

    @property
    def next_give_up_ms(self) -> int | None:
        """When the first request times out, or earlier."""
        return self._by_give_up[0][0] if self._by_give_up else None

    def _find_place(self, request: TicketRequest, *, is_late: bool) -> _Place:
        turn = self._turns.find_next(request.key)
        return _Place(
            is_late=is_late and not request.is_expected,
            rank=request.rank,
            is_new=not request.is_expected,
            turn=turn,
            target_ms=request.target_ms,
            arrival=self._arrivals,
        )

    def _find_first(self, rank: int) -> _Place:
        """Return the first place of a rank that waits."""
        position = bisect.bisect_left(self._order, (False, rank))
        if position < len(self._order):
            place = self._order[position]
            if place.rank == rank and not place.is_late:
                return place
        return self._order[bisect.bisect_left(self._order, (True, rank))]

    def _find(self, place: _Place) -> TicketRequest:
        return self._requests[self._by_arrival[place.arrival]]

    def _insert(self, place: _Place) -> None:
        bisect.insort(self._order, place)
        self._places[self._by_arrival[place.arrival]] = place

    def _move_behind(self, request_id: RequestId) -> None:
        place = self._places[request_id]
        if place.is_new and not place.is_late:
            self._order.pop(bisect.bisect_left(self._order, place))
            self._insert(place._replace(is_late=True))


class ParkedRequests:
    """Requests that are decided on at a set time, unless something happens."""

    def __init__(self) -> None:
        """Start without requests."""
        self._requests: dict[RequestId, TicketRequest] = {}
        self._by_due_ms: list[tuple[int, RequestId]] = []

    def __len__(self) -> int:
        """Return the number of requests."""
        return len(self._requests)

    def __contains__(self, request_id: RequestId) -> bool:
        """Return whether a request is parked."""
        return request_id in self._requests

    def add(self, request: TicketRequest, due_ms: int) -> None:
        """Add a request that is due at a moment."""
        self._requests[request.request_id] = request
        heapq.heappush(self._by_due_ms, (due_ms, request.request_id))

    def remove(self, request_id: RequestId) -> None:
        """Remove a request, if it is parked."""
        self._requests.pop(request_id, None)

    def list_requests(self) -> list[TicketRequest]:
        """Return all requests."""
        return list(self._requests.values())

    def pop_due(self, now: int) -> Iterator[TicketRequest]:
        """Remove and yield the requests that are due."""
        while self._by_due_ms and self._by_due_ms[0][0] <= now:
            _, request_id = heapq.heappop(self._by_due_ms)
            request = self._requests.pop(request_id, None)
            if request is not None:
                yield request
