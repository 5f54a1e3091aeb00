"""Finds routes and obtains tickets for the requests accepted by this VM."""

import logging
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from typing import Any

from ibisjunction.clock import Clock
from ibisjunction.control.messages import ControlView
from ibisjunction.control.state import ControlState
from ibisjunction.control.terms import level_of
from ibisjunction.dispatch.messages import (
    CheckTickets,
    HeldTicket,
    SurveyTickets,
    TicketCancel,
    TicketDone,
    TicketGranted,
    TicketRefused,
    TicketRequest,
    TicketsHeld,
)
from ibisjunction.events import Event, log_event
from ibisjunction.ledger.messages import CrashSuspects
from ibisjunction.mailbox import Mailbox
from ibisjunction.membership.messages import LeaseExtended
from ibisjunction.outcomes import Reason, Refused
from ibisjunction.peers.link import PeerNetwork, Received
from ibisjunction.routing.messages import (
    AbandonTicket,
    FindRoute,
    ObtainTicket,
    ReturnTicket,
    TicketAnswer,
    TicketHeld,
)
from ibisjunction.services.catalogue import ServiceCatalogue
from ibisjunction.services.collection import parse_collection
from ibisjunction.settings.loader import parse_address

_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class RequestedTicket:
    """A ticket requested from a dispatcher, and where its answer goes.

    ``vm`` and ``epoch`` are those of the dispatcher. ``is_held`` is set once
    the request's task may have started to use the ticket.
    """

    vm: str
    epoch: int
    request: TicketRequest
    deadline_ms: int
    fingerprint: str
    reply: Mailbox[TicketAnswer]
    is_held: bool = False


class RoutingTask:
    """Owns the routes of the current revision and the tickets of this VM."""

    def __init__(self, vm: str, clock: Clock, peers: PeerNetwork) -> None:
        """Subscribe to the answers of dispatchers."""
        self._vm = vm
        self._clock = clock
        self._peers = peers
        self._state = ControlState()
        self._catalogue = ServiceCatalogue()
        self._lease_until_ms = 0
        self._tickets: dict[str, RequestedTicket] = {}
        self._suspects = CrashSuspects(frozenset(), frozenset())
        # Lowest epoch whose tickets may be used, by upstream.
        self._min_epochs: dict[str, int] = {}
        self.mailbox: Mailbox[Any] = Mailbox()
        peers.subscribe(
            self.mailbox,
            TicketGranted,
            TicketRefused,
            SurveyTickets,
            CheckTickets,
        )

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            self.handle(await self.mailbox.get())

    def handle(self, message: Any) -> None:
        """Process one message."""
        match message:
            case FindRoute(head=head, reply=reply):
                reply.post(self._catalogue.match(head))
            case ObtainTicket():
                self._request_ticket(message)
            case Received(message=TicketGranted() as granted):
                self._accept_ticket(granted)
            case Received(message=TicketRefused() as refused):
                self._forward_refusal(refused)
            case Received(sender=sender, message=SurveyTickets() as survey):
                self._answer_survey(sender, survey)
            case Received(sender=sender, message=CheckTickets() as check):
                self._answer_check(sender, check)
            case AbandonTicket(ticket_id=ticket_id):
                self._cancel_ticket(ticket_id)
            case ReturnTicket():
                self._return_ticket(message)
            case LeaseExtended(until_ms=until_ms):
                self._extend_lease(until_ms)
            case CrashSuspects():
                self._suspects = message
            case ControlView(state=state):
                self._apply_state(state)

    def _apply_state(self, state: ControlState) -> None:
        if state.revision != self._state.revision:
            self._catalogue = ServiceCatalogue(parse_collection(state.files))
        self._state = state
        for upstream, dispatcher in state.dispatchers.items():
            self._raise_min_epoch(upstream, dispatcher.epoch)
        for ticket_id, ticket in tuple(self._tickets.items()):
            if not ticket.is_held and self._has_owner_changed(ticket.request):
                self._drop_ticket(ticket_id, Reason.NO_OWNER)

    def _has_owner_changed(self, request: TicketRequest) -> bool:
        """Return whether a ticket was requested for a former owner."""
        grant = self._state.grant_of(request.service, request.shard)
        return grant is None or grant.upstream != request.upstream

    def _extend_lease(self, until_ms: int) -> None:
        """Extend the lease; drop tickets requested before a gap in it.

        Dispatchers may have given up these tickets during the gap.
        """
        if self._clock.now() >= self._lease_until_ms:
            for ticket_id, ticket in tuple(self._tickets.items()):
                if not ticket.is_held:
                    self._drop_ticket(ticket_id, Reason.NOT_LEASED)
        self._lease_until_ms = until_ms

    def _raise_min_epoch(self, upstream: str, epoch: int) -> None:
        """Raise the lowest usable epoch of an upstream.

        Tickets of earlier epochs that are not yet held are dropped.
        """
        if epoch <= self._min_epochs.get(upstream, 0):
            return
        self._min_epochs[upstream] = epoch
        for ticket_id, ticket in tuple(self._tickets.items()):
            is_older = ticket.epoch < epoch and not ticket.is_held
            if is_older and ticket.request.upstream == upstream:
                self._drop_ticket(ticket_id, Reason.NOT_DISPATCHER)

    def _drop_ticket(self, ticket_id: str, reason: Reason) -> None:
        """Refuse a ticket to its request and cancel it at the dispatcher."""
        ticket = self._tickets.pop(ticket_id)
        upstream = ticket.request.upstream
        ticket.reply.post(Refused(reason, upstream))
        self._peers.send(ticket.vm, TicketCancel(ticket_id, upstream))

    def _answer_survey(self, sender: str, survey: SurveyTickets) -> None:
        """Report the held tickets of earlier epochs to a new dispatcher.

        The survey of a former dispatcher is ignored.
        """
        if survey.epoch < self._min_epochs.get(survey.upstream, 0):
            return
        self._raise_min_epoch(survey.upstream, survey.epoch)
        now = self._clock.now()
        held_tickets = []
        for ticket_id, ticket in self._tickets.items():
            if not ticket.is_held or ticket.epoch >= survey.epoch:
                continue
            if ticket.request.upstream == survey.upstream:
                remaining_ms = max(0, ticket.deadline_ms - now)
                shard = ticket.request.shard
                held_tickets.append(HeldTicket(ticket_id, shard, remaining_ms))
                # The ticket will be returned to the new dispatcher.
                self._tickets[ticket_id] = replace(ticket, vm=sender)
        self._peers.send(
            sender,
            TicketsHeld(survey.upstream, survey.epoch, held_tickets),
        )

    def _answer_check(self, sender: str, check: CheckTickets) -> None:
        for cancel in _build_cancels(check, self._tickets):
            self._peers.send(sender, cancel)

    def _request_ticket(self, message: ObtainTicket) -> None:
        now = self._clock.now()
        if now >= self._lease_until_ms:
            message.reply.post(Refused(Reason.NOT_LEASED, self._vm))
            return
        if message.fingerprint in self._suspects.blocked:
            message.reply.post(Refused(Reason.CRASH_LIMIT))
            return
        spec = message.route.spec
        grant = self._state.grant_of(spec.service, message.route.shard)
        if grant is None or grant.upstream not in self._state.dispatchers:
            message.reply.post(
                Refused(
                    Reason.NO_OWNER, f'{spec.service}/{message.route.shard}'
                ),
            )
            return
        dispatcher = self._state.dispatchers[grant.upstream]
        request = self._build_request(message, grant.upstream, now)
        self._tickets[message.ticket_id] = RequestedTicket(
            dispatcher.vm,
            dispatcher.epoch,
            request,
            message.deadline_ms,
            message.fingerprint,
            message.reply,
        )
        log_event(
            _logger,
            Event.REQUEST_ROUTED,
            ticket=message.ticket_id,
            service=spec.service,
            shard=message.route.shard,
            upstream=grant.upstream,
            dispatcher=dispatcher.vm,
            rank=message.route.operation.rank.value,
        )
        self._peers.send(dispatcher.vm, request)

    def _build_request(
        self,
        message: ObtainTicket,
        upstream: str,
        now: int,
    ) -> TicketRequest:
        spec = message.route.spec
        service_terms = self._state.terms.get(spec.service, {})
        terms = spec.terms[level_of(spec, service_terms, message.client)]
        return TicketRequest(
            ticket_id=message.ticket_id,
            upstream=upstream,
            service=spec.service,
            shard=message.route.shard,
            rank=message.route.operation.rank,
            client=message.client,
            weight=terms.weight,
            max_in_flight=terms.max_in_flight,
            remaining_ms=max(0, message.deadline_ms - now),
            idempotent=message.route.operation.idempotent,
            attempt=message.attempt,
        )

    def _accept_ticket(self, granted: TicketGranted) -> None:
        ticket = self._tickets.get(granted.ticket_id)
        if ticket is None or ticket.is_held:
            return
        reason = self._find_refusal_reason(granted, ticket.request)
        if reason is not None:
            self._drop_ticket(granted.ticket_id, reason)
            return
        self._tickets[granted.ticket_id] = replace(
            ticket,
            epoch=granted.epoch,
            is_held=True,
        )
        upstream_record = self._state.upstreams[granted.upstream]
        ticket.reply.post(
            TicketHeld(
                granted,
                parse_address(upstream_record.address),
                self._lease_until_ms,
                ticket.fingerprint in self._suspects.suspected,
            ),
        )

    def _find_refusal_reason(
        self,
        granted: TicketGranted,
        request: TicketRequest,
    ) -> Reason | None:
        """Return why a ticket may not be used, or ``None``.

        Each change of owner or dispatcher reaches this VM within one VM lease,
        so a ticket that was granted before a change and arrives after that
        time is not used.
        """
        if granted.epoch < self._min_epochs.get(granted.upstream, 0):
            return Reason.NOT_DISPATCHER
        if granted.upstream not in self._state.upstreams:
            return Reason.NO_OWNER
        grant = self._state.grant_of(request.service, request.shard)
        if grant is None or grant.fence > granted.fence:
            return Reason.NO_OWNER
        if grant.fence == granted.fence and grant.moving_to is not None:
            return Reason.SHARD_MOVING
        return None

    def _forward_refusal(self, refused: TicketRefused) -> None:
        ticket = self._tickets.pop(refused.ticket_id, None)
        if ticket is not None:
            ticket.reply.post(
                Refused(
                    refused.reason,
                    ticket.request.upstream,
                    refused.retry_after_ms,
                ),
            )

    def _cancel_ticket(self, ticket_id: str) -> None:
        ticket = self._tickets.pop(ticket_id, None)
        if ticket is not None:
            self._peers.send(
                ticket.vm,
                TicketCancel(ticket_id, ticket.request.upstream),
            )

    def _return_ticket(self, returned: ReturnTicket) -> None:
        ticket = self._tickets.pop(returned.ticket_id, None)
        if ticket is not None:
            self._peers.send(
                ticket.vm,
                TicketDone(
                    returned.ticket_id,
                    ticket.request.upstream,
                    returned.result,
                ),
            )


def _build_cancels(
    check: CheckTickets,
    tickets: Mapping[str, RequestedTicket],
) -> Iterator[TicketCancel]:
    """Yield a cancellation for each ticket that this VM does not have."""
    for ticket_id in check.ticket_ids:
        if ticket_id not in tickets:
            yield TicketCancel(ticket_id, check.upstream)
