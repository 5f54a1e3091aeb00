"""Messages between the VM that accepted a request and a dispatcher."""

import enum
from dataclasses import dataclass

from ibisjunction.outcomes import Reason
from ibisjunction.services.spec import Rank


@dataclass(frozen=True, slots=True)
class TicketRequest:
    """Requests permission to send one request to an upstream.

    ``remaining_ms`` is the time left until the request's deadline; it is a
    duration because clocks of two VMs cannot be compared. ``attempt`` counts
    the earlier attempts of the request that were sent.
    """

    ticket_id: str
    upstream: str
    service: str
    shard: int
    rank: Rank
    client: str
    weight: float
    max_in_flight: int
    remaining_ms: int
    idempotent: bool
    attempt: int = 0


@dataclass(frozen=True, slots=True)
class TicketGranted:
    """Permits one request; valid while the holder's VM lease runs."""

    ticket_id: str
    upstream: str
    epoch: int
    fence: int


@dataclass(frozen=True, slots=True)
class TicketRefused:
    """Refuses a ticket; the request was not run."""

    ticket_id: str
    reason: Reason
    retry_after_ms: int | None = None


class ResultKind(enum.Enum):
    """The result of the attempt that a ticket permitted."""

    #: A complete answer arrived.
    SUCCEEDED = 'succeeded'
    #: The upstream refused the request because of its load.
    SHED = 'shed'
    #: The upstream failed while it processed the request.
    FAILED = 'failed'
    #: The upstream accepted no connection.
    UNREACHED = 'unreached'
    #: The attempt ran out of time.
    TIMED_OUT = 'timed-out'
    #: The connection carried no data, while a new connection does.
    SILENT = 'silent'
    #: The attempt ended for a reason that is unrelated to the upstream.
    CANCELLED = 'cancelled'


@dataclass(frozen=True, slots=True)
class TicketResult:
    """The result of an attempt and the time from its start to its end."""

    kind: ResultKind
    service_ms: int


@dataclass(frozen=True, slots=True)
class TicketDone:
    """Returns a ticket with the result of its attempt."""

    ticket_id: str
    upstream: str
    result: TicketResult


@dataclass(frozen=True, slots=True)
class CheckTickets:
    """Requests that a VM checks whether it still holds overdue tickets.

    The VM answers with a :class:`TicketCancel` for each that it does not hold:
    the message that returned the ticket was lost.
    """

    upstream: str
    ticket_ids: list[str]


@dataclass(frozen=True, slots=True)
class TicketCancel:
    """Withdraws a ticket request, or returns an unused ticket."""

    ticket_id: str
    upstream: str


@dataclass(frozen=True, slots=True)
class LoadReported:
    """The report of an upstream about its own load; it may be wrong."""

    upstream: str
    is_busy: bool


@dataclass(frozen=True, slots=True)
class GrantsInForce:
    """The grants that an upstream confirmed, valid until ``until_ms``.

    ``fences`` maps shards to fences.
    """

    upstream: str
    epoch: int
    fences: dict[int, int]
    until_ms: int


@dataclass(frozen=True, slots=True)
class SurveyTickets:
    """Requests the tickets of earlier epochs that a VM has started to use.

    From then on the VM drops tickets of epochs before ``epoch``.
    """

    upstream: str
    epoch: int


@dataclass(frozen=True, slots=True)
class HeldTicket:
    """A ticket in use; ``remaining_ms`` is the time until its deadline."""

    ticket_id: str
    shard: int
    remaining_ms: int


@dataclass(frozen=True, slots=True)
class TicketsHeld:
    """Answers :class:`SurveyTickets` of ``epoch`` with the tickets in use."""

    upstream: str
    epoch: int
    tickets: list[HeldTicket]


@dataclass(frozen=True, slots=True)
class UpstreamSpeed:
    """Reports the measured speed of an upstream to the leader each second.

    ``speed`` is in requests per slot and second, 0 while unknown.
    """

    upstream: str
    incarnation: int
    speed: float
