"""The tickets that one dispatcher has granted."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from ibisjunction.entry.dispatch import (
    Decision,
    Dispatcher,
    Grant,
    Refuse,
    TicketRequest,
    Wait,
)
from ibisjunction.entry.health import HealthReport, HealthResult
from ibisjunction.fleet.model import Upstream

#: A ticket that was not returned expires this long after its request times out.
_TICKET_GRACE_MS: Final = 500
#: The VM of a request, and the number of its ticket request there.
TicketId = tuple[str, int]
Decided = tuple[TicketRequest, Grant | Refuse]


@dataclass(frozen=True, slots=True)
class _Ticket:
    """A ticket in use."""

    upstream: Upstream
    granted_ms: int
    expires_ms: int


class GrantedTickets:
    """Decides on ticket requests and tracks the tickets in use."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        """Start without tickets."""
        self._dispatcher = dispatcher
        self._tickets: dict[TicketId, _Ticket] = {}

    def decide(self, request: TicketRequest, now: int) -> Decision | None:
        """Decide on a ticket request, which may be repeated.

        A repeated request keeps its place in the queue.

        :return: ``None`` if it was repeated just before its ticket arrived.
        """
        ticket_id = (request.vm, request.number)
        if ticket_id in self._tickets:
            return None
        if self._dispatcher.is_waiting(*ticket_id):
            return Wait()
        decision = self._dispatcher.submit(request, now)
        if not isinstance(decision, Wait):
            self._record(request, decision, now)
        return decision

    def end(
        self, ticket_id: TicketId, report: HealthReport, now: int
    ) -> list[Decided]:
        """End a ticket, or cancel a waiting request.

        :return: decisions on requests that waited for the ticket's slot.
        """
        ticket = self._tickets.pop(ticket_id, None)
        if ticket is None:
            self._dispatcher.cancel(*ticket_id)
            return []
        self._dispatcher.finish(ticket.upstream, report, now, ticket.granted_ms)
        return self.decide_waiting(now)

    def decide_waiting(self, now: int) -> list[Decided]:
        """Return the decisions on waiting requests that became possible."""
        decided = self._dispatcher.decide_waiting(now)
        for request, decision in decided:
            self._record(request, decision, now)
        return decided

    def expire(self, now: int) -> Iterator[Decided]:
        """End the tickets that were not returned; yield the decisions."""
        unused = HealthReport(HealthResult.UNUSED)
        for ticket_id, ticket in list(self._tickets.items()):
            if now >= ticket.expires_ms:
                yield from self.end(ticket_id, unused, now)

    def _record(
        self, request: TicketRequest, decision: Grant | Refuse, now: int
    ) -> None:
        if isinstance(decision, Grant):
            self._tickets[(request.vm, request.number)] = _Ticket(
                decision.upstream, now, request.give_up_ms + _TICKET_GRACE_MS
            )
