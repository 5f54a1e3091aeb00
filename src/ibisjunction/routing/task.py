"""Finds routes and tickets for the requests that this VM accepted."""

import logging
from dataclasses import dataclass
from typing import Any

from ibisjunction.clock import Clock
from ibisjunction.control.messages import ControlView
from ibisjunction.control.state import ControlState
from ibisjunction.dispatch.messages import (
    TicketCancel,
    TicketDone,
    TicketGranted,
    TicketRefused,
    TicketRequest,
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
    """A ticket that was asked for and where its answer goes."""

    vm: str
    upstream: str
    fingerprint: str
    reply: Mailbox[TicketAnswer]


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
        self.mailbox: Mailbox[Any] = Mailbox()
        peers.subscribe(self.mailbox, TicketGranted, TicketRefused)

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
            case AbandonTicket(ticket_id=ticket_id):
                self._abandon(ticket_id)
            case ReturnTicket():
                self._give_back(message)
            case LeaseExtended(until_ms=until_ms):
                self._lease_until_ms = until_ms
            case CrashSuspects():
                self._suspects = message
            case ControlView(state=state):
                self._follow(state)

    def _follow(self, state: ControlState) -> None:
        if state.revision != self._state.revision:
            self._catalog = ServiceCatalog(parse_collection(state.files))
        self._state = state

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
        self._waiting[ask.ticket_id] = Waiting(
            dispatcher.vm,
            grant.upstream,
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
        request = self._build_request(ask, grant.upstream, now)
        self._peers.send(dispatcher.vm, request)

    def _build_request(
        self,
        ask: ObtainTicket,
        upstream: str,
        now: int,
    ) -> TicketRequest:
        spec = ask.route.spec
        terms = spec.terms_for(spec.client_levels.get(ask.client, 0))
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
        )

    def _hold(self, granted: TicketGranted) -> None:
        waiting = self._waiting.get(granted.ticket_id)
        if waiting is None:
            return
        record = self._state.upstreams.get(granted.upstream)
        if record is None:
            waiting.reply.post(Refused(Reason.NO_OWNER, granted.upstream))
            return
        waiting.reply.post(
            TicketHeld(
                granted,
                parse_address(record.address),
                self._lease_until_ms,
                waiting.fingerprint in self._suspects.suspected,
            ),
        )

    def _pass_refusal(self, refused: TicketRefused) -> None:
        waiting = self._waiting.pop(refused.ticket_id, None)
        if waiting is not None:
            waiting.reply.post(
                Refused(
                    refused.reason,
                    waiting.upstream,
                    refused.retry_after_ms,
                ),
            )

    def _abandon(self, ticket_id: str) -> None:
        waiting = self._waiting.pop(ticket_id, None)
        if waiting is not None:
            self._peers.send(
                waiting.vm,
                TicketCancel(ticket_id, waiting.upstream),
            )

    def _give_back(self, returned: ReturnTicket) -> None:
        waiting = self._waiting.pop(returned.ticket_id, None)
        if waiting is not None:
            self._peers.send(
                waiting.vm,
                TicketDone(
                    returned.ticket_id,
                    waiting.upstream,
                    returned.succeeded,
                    returned.service_ms,
                ),
            )
