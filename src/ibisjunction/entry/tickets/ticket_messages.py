"""Converts ticket requests and decisions to messages, and back."""

from ibisjunction.entry.dispatching.dispatch import Dispatcher, Grant, Refuse
from ibisjunction.entry.following.view import FleetView
from ibisjunction.entry.model import Reason
from ibisjunction.entry.tickets.messages import (
    TicketAsk,
    TicketGranted,
    TicketRefused,
)
from ibisjunction.entry.tickets.ticket_request import TicketRequest


def encode_request(request: TicketRequest, now: int) -> TicketAsk:
    """Return the message that asks a dispatcher for a ticket."""
    return TicketAsk(
        request.number,
        request.service,
        request.key,
        request.rank,
        request.failure_domain,
        request.target_ms - now,
        request.give_up_ms - now,
        tuple(request.avoided),
        request.is_bulky,
        request.fingerprint,
    )


def decode_request(vm: str, message: TicketAsk, now: int) -> TicketRequest:
    """Return the ticket request that another VM has sent."""
    return TicketRequest(
        number=message.number,
        vm=vm,
        service=message.service,
        key=message.key,
        rank=message.rank,
        failure_domain=message.failure_domain,
        requested_ms=now,
        target_ms=now + message.target_in_ms,
        give_up_ms=now + message.give_up_in_ms,
        avoided=frozenset(message.avoided),
        is_bulky=message.is_bulky,
        fingerprint=message.fingerprint,
    )


def encode_decision(
    number: int, decision: Grant | Refuse, dispatcher: Dispatcher, now: int
) -> TicketGranted | TicketRefused:
    """Return the message that tells another VM a decision."""
    match decision:
        case Grant(upstream=upstream):
            return TicketGranted(
                number,
                upstream.upstream,
                upstream.born,
                is_paced=dispatcher.health.knows_limit(upstream, now),
            )
        case Refuse(reason=reason, retry_after_ms=retry_ms):
            return TicketRefused(number, reason.name, retry_ms)


def decode_decision(
    message: TicketGranted | TicketRefused, view: FleetView | None
) -> Grant | Refuse:
    """Return the decision that another VM has sent."""
    match message:
        case TicketRefused(why=why, retry_after_ms=retry_ms):
            return Refuse(Reason[why], retry_ms)
        case TicketGranted(upstream=name, born=born):
            upstream = view and view.find_process(name, born)
            return Grant(upstream) if upstream else Refuse(Reason.NO_UPSTREAM)


def is_for_service(decision: Grant | Refuse, service: str) -> bool:
    """Return whether a decision sends no request to another service."""
    match decision:
        case Grant(upstream=upstream):
            return upstream.service == service
        case Refuse():
            return True


def find_unkept_limit(
    message: TicketGranted | TicketRefused,
    decision: Grant | Refuse,
    dispatcher: Dispatcher,
) -> float | None:
    """Return the limit that a grant does not keep, if there is one."""
    match message, decision:
        case TicketGranted(is_paced=False), Grant(upstream=upstream):
            return dispatcher.health.find_limit(upstream)
        case _:
            return None
