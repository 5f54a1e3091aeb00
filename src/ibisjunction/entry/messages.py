"""Messages about tickets, between entry VMs and inside one."""

from dataclasses import dataclass

from ibisjunction.entry.dispatch import Ask, Grant, Refuse
from ibisjunction.entry.health import Report
from ibisjunction.mailbox import Mailbox


@dataclass(frozen=True, slots=True)
class TicketAsk:
    """Asks a dispatcher for permission to send a request.

    ``number`` is unique for the sender. Times are in milliseconds from now.
    """

    number: int
    service: str
    key: int | None
    rank: int
    failure_domain: str
    target_in_ms: int
    give_up_in_ms: int
    avoided: tuple[tuple[str, int], ...] = ()


@dataclass(frozen=True, slots=True)
class TicketGranted:
    """The request may be sent to this process."""

    number: int
    upstream: str
    born: int


@dataclass(frozen=True, slots=True)
class TicketQueued:
    """The request waits at the dispatcher."""

    number: int


@dataclass(frozen=True, slots=True)
class TicketRefused:
    """The request is not to be sent; ``why`` is the name of a reason."""

    number: int
    why: str
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class TicketDone:
    """A ticket, or an ask that waits, is not needed any more."""

    number: int
    report: Report


@dataclass(frozen=True, slots=True)
class LocalAsk:
    """Posted by a request of this VM."""

    ask: Ask
    reply: Mailbox[Grant | Refuse]


@dataclass(frozen=True, slots=True)
class LocalDone:
    """Posted by a request of this VM whose ask or ticket has ended."""

    number: int
    report: Report


@dataclass(frozen=True, slots=True)
class DispatchersKnown:
    """Posted when the VMs that dispatch have changed."""

    vms: tuple[str, ...]
