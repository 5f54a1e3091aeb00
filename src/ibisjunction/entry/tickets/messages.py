"""Messages about tickets, between entry VMs and inside one."""

from dataclasses import dataclass

from ibisjunction.entry.dispatching.dispatch import Grant, Refuse
from ibisjunction.entry.dispatching.health import HealthReport
from ibisjunction.entry.tickets.ticket_request import TicketRequest
from ibisjunction.mailbox import Mailbox


@dataclass(frozen=True, slots=True)
class TicketAsk:
    """Requests permission from a dispatcher to send a request.

    ``number`` is unique among all processes of the sender. Times are in
    milliseconds from now. ``avoided`` are the processes of upstreams that did
    not accept an earlier attempt of the request, or gave no usable answer to
    it. ``fingerprint`` is the same for all attempts of a caller at a request.
    """

    number: int
    service: str
    key: int | None
    rank: int
    failure_domain: str
    target_in_ms: int
    give_up_in_ms: int
    avoided: tuple[tuple[str, int], ...] = ()
    is_bulky: bool = False
    fingerprint: int = 0


@dataclass(frozen=True, slots=True)
class TicketGranted:
    """The request may be sent to this process of an upstream.

    ``born`` is when the process started. ``is_paced`` is set if the dispatcher
    knows a limit of the upstream and keeps it, or that there is none.
    """

    number: int
    upstream: str
    born: int
    is_paced: bool = False


@dataclass(frozen=True, slots=True)
class TicketQueued:
    """The dispatcher has queued the request."""

    number: int


@dataclass(frozen=True, slots=True)
class TicketRefused:
    """The request must not be sent; ``why`` is the name of a ``Reason``."""

    number: int
    why: str
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class TicketDone:
    """Ends a ticket, or cancels a request that waits for one."""

    number: int
    report: HealthReport


@dataclass(frozen=True, slots=True)
class LocalTicketRequest:
    """Posted by a request of this VM that needs a ticket."""

    request: TicketRequest
    reply: Mailbox[Grant | Refuse]


@dataclass(frozen=True, slots=True)
class LocalTicketDone:
    """Posted by a request of this VM that no longer needs its ticket."""

    number: int
    report: HealthReport


@dataclass(frozen=True, slots=True)
class CrashRecorded:
    """Posted when there are crashes of upstreams to report."""


@dataclass(frozen=True, slots=True)
class DispatchersChanged:
    """Posted when the set of entry VMs changes; each is a dispatcher.

    ``capacities`` are those of the VMs, in the same order; without them, all
    are equal.
    """

    vms: tuple[str, ...]
    capacities: tuple[int, ...] = ()
