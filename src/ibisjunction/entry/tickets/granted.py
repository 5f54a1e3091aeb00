"""The tickets that one dispatcher has granted."""

import heapq
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from ibisjunction.entry.dispatching.dispatch import (
    Decided,
    Decision,
    Dispatcher,
    Grant,
    Refuse,
    Wait,
)
from ibisjunction.entry.dispatching.health import HealthReport, HealthResult
from ibisjunction.entry.tickets.ticket_request import RequestId, TicketRequest
from ibisjunction.fleet.model import Upstream

#: A ticket that was not returned expires this long after its request times out.
_TICKET_GRACE_MS: Final = 500


@dataclass(frozen=True, slots=True)
class _Ticket:
    """A ticket in use."""

    upstream: Upstream
    granted_ms: int


class GrantedTickets:
    """Decides on ticket requests and tracks the tickets in use."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        """Start without tickets."""
        self._dispatcher = dispatcher
        self._tickets: dict[RequestId, _Ticket] = {}
        self._by_expiry: list[tuple[int, RequestId]] = []

    def decide(self, request: TicketRequest, now: int) -> Decision | None:
        """Decide on a ticket request, which may be repeated.

        A repeated request keeps its place in the queue.

        :return: ``None`` if it was repeated just before its ticket arrived.
        """
        ticket_id = request.request_id
        if ticket_id in self._tickets:
            return None
        if self._dispatcher.is_waiting(*ticket_id):
            return Wait()
        decision = self._dispatcher.submit(request, now)
        if not isinstance(decision, Wait):
            self._record(request, decision, now)
        return decision

    def end(
        self, ticket_id: RequestId, report: HealthReport, now: int
    ) -> list[Decided]:
        """End a ticket, or cancel a waiting request.

        :return: decisions on requests that waited for the ticket's slot.
        """
        ticket = self._tickets.pop(ticket_id, None)
        if ticket is None:
            self._dispatcher.cancel(*ticket_id)
            return []
        decided = self._dispatcher.finish(
            ticket.upstream, report, now, ticket.granted_ms
        )
        return self._record_all(decided, now)

    def decide_waiting(self, now: int) -> list[Decided]:
        """Return the decisions that have become possible with time."""
        return self._record_all(self._dispatcher.decide_waiting(now), now)

    def expire(self, now: int) -> Iterator[Decided]:
        """End the tickets that were not returned; yield the decisions."""
        unknown = HealthReport(HealthResult.UNKNOWN)
        while self._by_expiry and self._by_expiry[0][0] <= now:
            _, ticket_id = heapq.heappop(self._by_expiry)
            if ticket_id in self._tickets:
                yield from self.end(ticket_id, unknown, now)

    def _record_all(self, decided: list[Decided], now: int) -> list[Decided]:
        for request, decision in decided:
            self._record(request, decision, now)
        return decided

    def _record(
        self, request: TicketRequest, decision: Grant | Refuse, now: int
    ) -> None:
        if isinstance(decision, Grant):
            ticket_id = request.request_id
            self._tickets[ticket_id] = _Ticket(decision.upstream, now)
            expires_ms = request.give_up_ms + _TICKET_GRACE_MS
            heapq.heappush(self._by_expiry, (expires_ms, ticket_id))
