"""Messages between a VM that accepted a request and a dispatcher."""

from dataclasses import dataclass

from ibisjunction.outcomes import Reason
from ibisjunction.services.spec import Rank


@dataclass(frozen=True, slots=True)
class TicketRequest:
    """Asks for permission to send one request to an upstream.

    ``remaining_ms`` is the time left until the request's deadline; it is a
    duration because clocks of two VMs cannot be compared.
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


@dataclass(frozen=True, slots=True)
class TicketGranted:
    """Permits one request; valid while the holder's VM lease runs."""

    ticket_id: str
    upstream: str
    epoch: int
    fence: int


@dataclass(frozen=True, slots=True)
class TicketRefused:
    """No ticket is given; the request was not run."""

    ticket_id: str
    reason: Reason
    retry_after_ms: int | None = None


@dataclass(frozen=True, slots=True)
class TicketDone:
    """Gives a ticket back.

    ``succeeded`` is false if the upstream failed or shed the request.
    ``service_ms`` is the time the upstream took.
    """

    ticket_id: str
    upstream: str
    succeeded: bool
    service_ms: int


@dataclass(frozen=True, slots=True)
class TicketCancel:
    """Withdraws a request for a ticket, or gives an unused ticket back."""

    ticket_id: str
    upstream: str


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
    """Asks a VM which tickets of earlier epochs it has started to use.

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
    """Answers :class:`SurveyTickets` of the dispatcher with this epoch."""

    upstream: str
    epoch: int
    tickets: list[HeldTicket]


@dataclass(frozen=True, slots=True)
class UpstreamSpeed:
    """Tells the leader the measured speed of an upstream, each second.

    ``speed`` is in requests per slot and second, 0 while unknown.
    """

    upstream: str
    incarnation: int
    speed: float
