"""Finds routes and tickets for the requests that this VM accepted."""

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
from ibisjunction.services.catalog import ServiceCatalog
from ibisjunction.services.collection import parse_collection
from ibisjunction.settings.loader import parse_address

_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Waiting:
    """A ticket that was asked for and where its answer goes.

    ``vm`` and ``epoch`` are those of the dispatcher. ``is_held`` is true once
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
        self._catalog = ServiceCatalog()
        self._lease_until_ms = 0
        self._waiting: dict[str, Waiting] = {}
        self._suspects = CrashSuspects(frozenset(), frozenset())
        # Lowest epoch whose tickets may be used, by upstream.
        self._epochs: dict[str, int] = {}
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
                reply.post(self._catalog.match(head))
            case ObtainTicket():
                self._obtain(message)
            case Received(message=TicketGranted() as granted):
                self._hold(granted)
            case Received(message=TicketRefused() as refused):
                self._pass_refusal(refused)
            case Received(sender=sender, message=SurveyTickets() as survey):
                self._answer_survey(sender, survey)
            case Received(sender=sender, message=CheckTickets() as check):
                self._answer_check(sender, check)
            case AbandonTicket(ticket_id=ticket_id):
                self._abandon(ticket_id)
            case ReturnTicket():
                self._give_back(message)
            case LeaseExtended(until_ms=until_ms):
                self._extend_lease(until_ms)
            case CrashSuspects():
                self._suspects = message
            case ControlView(state=state):
                self._follow(state)

    def _follow(self, state: ControlState) -> None:
        if state.revision != self._state.revision:
            self._catalog = ServiceCatalog(parse_collection(state.files))
        self._state = state
        for upstream, dispatcher in state.dispatchers.items():
            self._raise_epoch(upstream, dispatcher.epoch)
        for ticket_id, waiting in tuple(self._waiting.items()):
            if not waiting.is_held and self._has_moved(waiting.request):
                self._drop(ticket_id, Reason.NO_OWNER)

    def _has_moved(self, request: TicketRequest) -> bool:
        """Return whether a request waits at a former owner's dispatcher."""
        grant = self._state.grant_of(request.service, request.shard)
        return grant is None or grant.upstream != request.upstream

    def _extend_lease(self, until_ms: int) -> None:
        """Drop tickets asked for before a gap in the lease.

        Dispatchers may have given them up during the gap.
        """
        if self._clock.now() >= self._lease_until_ms:
            for ticket_id, waiting in tuple(self._waiting.items()):
                if not waiting.is_held:
                    self._drop(ticket_id, Reason.NOT_LEASED)
        self._lease_until_ms = until_ms

    def _raise_epoch(self, upstream: str, epoch: int) -> None:
        """Drop tickets of earlier epochs that were not handed out."""
        if epoch <= self._epochs.get(upstream, 0):
            return
        self._epochs[upstream] = epoch
        for ticket_id, waiting in tuple(self._waiting.items()):
            is_older = waiting.epoch < epoch and not waiting.is_held
            if is_older and waiting.request.upstream == upstream:
                self._drop(ticket_id, Reason.NOT_DISPATCHER)

    def _drop(self, ticket_id: str, reason: Reason) -> None:
        waiting = self._waiting.pop(ticket_id)
        upstream = waiting.request.upstream
        waiting.reply.post(Refused(reason, upstream))
        self._peers.send(waiting.vm, TicketCancel(ticket_id, upstream))

    def _answer_survey(self, sender: str, survey: SurveyTickets) -> None:
        if survey.epoch < self._epochs.get(survey.upstream, 0):
            return
        self._raise_epoch(survey.upstream, survey.epoch)
        now = self._clock.now()
        held = []
        for ticket_id, waiting in self._waiting.items():
            if not waiting.is_held or waiting.epoch >= survey.epoch:
                continue
            if waiting.request.upstream == survey.upstream:
                remaining_ms = max(0, waiting.deadline_ms - now)
                shard = waiting.request.shard
                held.append(HeldTicket(ticket_id, shard, remaining_ms))
                # The new dispatcher takes the ticket back.
                self._waiting[ticket_id] = replace(waiting, vm=sender)
        self._peers.send(
            sender,
            TicketsHeld(survey.upstream, survey.epoch, held),
        )

    def _answer_check(self, sender: str, check: CheckTickets) -> None:
        for cancel in _list_unknown(check, self._waiting):
            self._peers.send(sender, cancel)

    def _obtain(self, ask: ObtainTicket) -> None:
        now = self._clock.now()
        if now >= self._lease_until_ms:
            ask.reply.post(Refused(Reason.NOT_LEASED, self._vm))
            return
        if ask.fingerprint in self._suspects.blocked:
            ask.reply.post(Refused(Reason.CRASH_LIMIT))
            return
        spec = ask.route.spec
        grant = self._state.grant_of(spec.service, ask.route.shard)
        if grant is None or grant.upstream not in self._state.dispatchers:
            ask.reply.post(
                Refused(Reason.NO_OWNER, f'{spec.service}/{ask.route.shard}'),
            )
            return
        dispatcher = self._state.dispatchers[grant.upstream]
        request = self._build_request(ask, grant.upstream, now)
        self._waiting[ask.ticket_id] = Waiting(
            dispatcher.vm,
            dispatcher.epoch,
            request,
            ask.deadline_ms,
            ask.fingerprint,
            ask.reply,
        )
        log_event(
            _logger,
            Event.REQUEST_ROUTED,
            ticket=ask.ticket_id,
            service=spec.service,
            shard=ask.route.shard,
            upstream=grant.upstream,
            dispatcher=dispatcher.vm,
            rank=ask.route.operation.rank.value,
        )
        self._peers.send(dispatcher.vm, request)

    def _build_request(
        self,
        ask: ObtainTicket,
        upstream: str,
        now: int,
    ) -> TicketRequest:
        spec = ask.route.spec
        held = self._state.terms.get(spec.service, {})
        terms = spec.terms[level_of(spec, held, ask.client)]
        return TicketRequest(
            ticket_id=ask.ticket_id,
            upstream=upstream,
            service=spec.service,
            shard=ask.route.shard,
            rank=ask.route.operation.rank,
            client=ask.client,
            weight=terms.weight,
            max_in_flight=terms.max_in_flight,
            remaining_ms=max(0, ask.deadline_ms - now),
            idempotent=ask.route.operation.idempotent,
            attempt=ask.attempt,
        )

    def _hold(self, granted: TicketGranted) -> None:
        waiting = self._waiting.get(granted.ticket_id)
        if waiting is None or waiting.is_held:
            return
        reason = self._find_fault(granted, waiting.request)
        if reason is not None:
            self._drop(granted.ticket_id, reason)
            return
        self._waiting[granted.ticket_id] = replace(
            waiting,
            epoch=granted.epoch,
            is_held=True,
        )
        record = self._state.upstreams[granted.upstream]
        waiting.reply.post(
            TicketHeld(
                granted,
                parse_address(record.address),
                self._lease_until_ms,
                waiting.fingerprint in self._suspects.suspected,
            ),
        )

    def _find_fault(
        self,
        granted: TicketGranted,
        request: TicketRequest,
    ) -> Reason | None:
        """Return why a ticket may not be used, or ``None``.

        Each change of owner or dispatcher is known here within one VM lease,
        so a ticket that arrives late is not used.
        """
        if granted.epoch < self._epochs.get(granted.upstream, 0):
            return Reason.NOT_DISPATCHER
        if granted.upstream not in self._state.upstreams:
            return Reason.NO_OWNER
        grant = self._state.grant_of(request.service, request.shard)
        if grant is None or grant.fence > granted.fence:
            return Reason.NO_OWNER
        if grant.fence == granted.fence and grant.moving_to is not None:
            return Reason.SHARD_MOVING
        return None

    def _pass_refusal(self, refused: TicketRefused) -> None:
        waiting = self._waiting.pop(refused.ticket_id, None)
        if waiting is not None:
            waiting.reply.post(
                Refused(
                    refused.reason,
                    waiting.request.upstream,
                    refused.retry_after_ms,
                ),
            )

    def _abandon(self, ticket_id: str) -> None:
        waiting = self._waiting.pop(ticket_id, None)
        if waiting is not None:
            self._peers.send(
                waiting.vm,
                TicketCancel(ticket_id, waiting.request.upstream),
            )

    def _give_back(self, returned: ReturnTicket) -> None:
        waiting = self._waiting.pop(returned.ticket_id, None)
        if waiting is not None:
            self._peers.send(
                waiting.vm,
                TicketDone(
                    returned.ticket_id,
                    waiting.request.upstream,
                    returned.result,
                ),
            )


def _list_unknown(
    check: CheckTickets,
    waiting: Mapping[str, Waiting],
) -> Iterator[TicketCancel]:
    """Yield the cancellation of each ticket that this VM does not hold."""
    for ticket_id in check.ticket_ids:
        if ticket_id not in waiting:
            yield TicketCancel(ticket_id, check.upstream)
