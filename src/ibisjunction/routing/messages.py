"""Messages between a request's task and the routing task."""

from dataclasses import dataclass
from typing import Any

from ibisjunction.dispatch.messages import TicketGranted, TicketResult
from ibisjunction.mailbox import Mailbox
from ibisjunction.outcomes import Refused
from ibisjunction.services.catalogue import RequestHead, RouteMatch
from ibisjunction.settings import Address


@dataclass(frozen=True, slots=True)
class FindRoute:
    """Looks up the service, operation, key and shard of a request."""

    head: RequestHead
    reply: Mailbox[Any]


@dataclass(frozen=True, slots=True)
class ObtainTicket:
    """Requests a ticket for the upstream that owns the key of the request.

    ``attempt`` counts the earlier attempts that were sent. ``fingerprint`` is
    the same for a request and its resends.
    """

    ticket_id: str
    fingerprint: str
    route: RouteMatch
    client: str
    deadline_ms: int
    reply: Mailbox[Any]
    attempt: int = 0


@dataclass(frozen=True, slots=True)
class AbandonTicket:
    """The request ended before its ticket was used."""

    ticket_id: str


@dataclass(frozen=True, slots=True)
class ReturnTicket:
    """The request that used the ticket has ended."""

    ticket_id: str
    result: TicketResult


@dataclass(frozen=True, slots=True)
class TicketHeld:
    """Answers :class:`ObtainTicket`: the request may be sent.

    The request must be started before ``start_before_ms``, the end of the VM
    lease. ``is_suspect`` is set if an upstream was lost during an earlier run
    of the request.
    """

    granted: TicketGranted
    address: Address
    start_before_ms: int
    is_suspect: bool


TicketAnswer = TicketHeld | Refused
