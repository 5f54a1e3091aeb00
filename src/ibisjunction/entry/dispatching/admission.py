"""Decides which requests may wait, and when refused callers come back."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from ibisjunction.entry.dispatching.appointments import Appointments
from ibisjunction.entry.dispatching.candidates import Candidates
from ibisjunction.entry.dispatching.demand import Demand
from ibisjunction.entry.dispatching.floors import RankFloors
from ibisjunction.entry.dispatching.forecast import Forecast
from ibisjunction.entry.dispatching.terms import (
    PLAIN_TERMS,
    AppointedReturn,
    FixedReturn,
    WaitingTerms,
)
from ibisjunction.entry.dispatching.waiting import WaitingQueue
from ibisjunction.entry.tickets.ticket_request import TicketRequest

_SHARED_TERMS: Final = WaitingTerms()


@dataclass(frozen=True, slots=True)
class RoomCounts:
    """Requests that were refused for want of room, and that came back.

    ``returned`` came at the time at which they had a place.
    """

    refused: int = 0
    returned: int = 0


class Admission:
    """What one dispatcher knows of the demand for its queues.

    It outlasts a queue, which exists only while requests wait.
    """

    def __init__(self, terms: WaitingTerms | None = None) -> None:
        """Start without demand.

        :param terms: rules for all queues; without any, queues of services
            that several ranks share have the default ones, and others the
            plain ones.
        """
        self._terms = terms
        self._shared: frozenset[str] = frozenset()
        self._demands: dict[str, Demand] = {}
        self._floors: dict[str, RankFloors] = {}
        self._appointments = Appointments()
        self._refused = 0
        self._returned = 0

    def take_counts(self) -> RoomCounts:
        """Return the counts since the last call."""
        counts = RoomCounts(self._refused, self._returned)
        self._refused = 0
        self._returned = 0
        return counts

    def update_queues(
        self, queues: frozenset[str], shared: frozenset[str]
    ) -> None:
        """Forget all other queues.

        :param shared: queues in which requests of several ranks compete.
        """
        if shared != self._shared:
            self._shared = shared
            self._floors.clear()
        for forgotten in self._demands.keys() - queues:
            self._demands.pop(forgotten)
        for forgotten in self._floors.keys() - queues:
            self._floors.pop(forgotten)
        self._appointments.retain(queues)

    def record(
        self, queue: str, request: TicketRequest, now: int
    ) -> TicketRequest:
        """Record the arrival of a request.

        :return: the request with what is known of its earlier attempt.
        """
        self._find_demand(queue, now).record(request.rank, now)
        self._find_floors(queue).record_arrival(request.rank)
        match self._find_terms(queue).returns:
            case FixedReturn():
                return request
            case AppointedReturn():
                known = self._appointments.recognise(request, now)
                self._returned += known.is_expected
                return known

    def make_queue(self, name: str) -> WaitingQueue:
        """Return an empty queue that keeps what ranks have earned."""
        return WaitingQueue(self._find_floors(name))

    def record_grant(self, queue: str, request: TicketRequest) -> None:
        """Record that a request was granted."""
        self._find_floors(queue).record_grant(request.rank)

    def find_refusal(
        self,
        name: str,
        queue: WaitingQueue | None,
        request: TicketRequest,
        candidates: Candidates,
        now: int,
    ) -> int | None:
        """Return when the caller should come back if it must not wait.

        A request must not wait if it is expected to time out.

        :return: milliseconds, or ``None`` if the request may wait.
        """
        forecast = self._make_forecast(name, candidates, now)
        is_late = forecast.is_late(request)
        ahead = self._appointments.count_due(name, now)
        if queue is not None:
            queue.mark_late(now + candidates.conservative_service_ms)
            ahead += queue.count_ahead(request, is_late=is_late)
        if forecast.exceeds_time(request, ahead, is_late=is_late):
            return self._appoint(name, request, forecast, ahead)
        return None

    def pop_hopeless(
        self, name: str, queue: WaitingQueue, candidates: Candidates, now: int
    ) -> Iterator[tuple[TicketRequest, int]]:
        """Remove and yield late requests that others delay too long.

        Each is yielded with the time after which its caller should come back.
        """
        forecast = self._make_forecast(name, candidates, now)
        removed = 0
        for position, request in queue.list_late():
            ahead = position - removed
            if forecast.exceeds_time(request, ahead, is_late=True):
                removed += 1
                queue.remove(request.request_id)
                yield request, self._appoint(name, request, forecast, ahead)

    def _appoint(
        self, name: str, request: TicketRequest, forecast: Forecast, ahead: int
    ) -> int:
        self._refused += 1
        match self._find_terms(name).returns:
            case FixedReturn(retry_after_ms=retry_after_ms):
                return retry_after_ms
            case AppointedReturn(share=share):
                room = forecast.find_room(request, ahead, share)
                return self._appointments.appoint(
                    name, request, room, forecast.now
                )

    def _make_forecast(
        self, name: str, candidates: Candidates, now: int
    ) -> Forecast:
        demand = self._find_demand(name, now)
        return Forecast(candidates, demand, self._find_terms(name), now)

    def _find_terms(self, queue: str) -> WaitingTerms:
        if self._terms is not None:
            return self._terms
        return _SHARED_TERMS if queue in self._shared else PLAIN_TERMS

    def _find_demand(self, queue: str, now: int) -> Demand:
        demand = self._demands.get(queue)
        if demand is None:
            demand = Demand(now)
            self._demands[queue] = demand
        return demand

    def _find_floors(self, queue: str) -> RankFloors:
        floors = self._floors.get(queue)
        if floors is None:
            floors = RankFloors(self._find_terms(queue).min_share)
            self._floors[queue] = floors
        return floors
