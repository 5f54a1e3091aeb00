"""Runs the dispatchers of one VM."""

import asyncio
import logging
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Final

from ibisjunction.clock import Clock, in_seconds
from ibisjunction.control.messages import ControlView
from ibisjunction.dispatch.breaker import Closed
from ibisjunction.dispatch.dispatcher import (
    BreakerChanged,
    Dispatcher,
    Effect,
    LimitChanged,
    SendToVm,
)
from ibisjunction.dispatch.messages import (
    GrantsInForce,
    LoadReported,
    TicketCancel,
    TicketDone,
    TicketGranted,
    TicketRefused,
    TicketRequest,
)
from ibisjunction.events import Event, log_event
from ibisjunction.mailbox import Mailbox
from ibisjunction.membership.messages import LeaseExtended
from ibisjunction.outcomes import Reason
from ibisjunction.peers.link import PeerNetwork, Received
from ibisjunction.services.catalog import ServiceCatalog
from ibisjunction.services.collection import parse_collection
from ibisjunction.services.spec import ServiceSpec

_logger = logging.getLogger(__name__)

_TICK_MS: Final = 20


@dataclass(frozen=True, slots=True)
class Tick:
    """Tells the task to look at the clock."""


class DispatchTask:
    """Owns the dispatchers and answers ticket requests."""

    def __init__(self, vm: str, clock: Clock, peers: PeerNetwork) -> None:
        """Subscribe to the messages of accepting VMs."""
        self._vm = vm
        self._clock = clock
        self._peers = peers
        self._dispatchers: dict[str, Dispatcher] = {}
        self._lease_until_ms = 0
        self._revision = -1
        self._incarnations: dict[str, int] = {}
        self._specs: dict[str, ServiceSpec] = {}
        self.mailbox: Mailbox[Any] = Mailbox()
        peers.subscribe(
            self.mailbox,
            TicketRequest,
            TicketDone,
            TicketCancel,
        )

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            self.handle(await self.mailbox.get())

    async def run_timer(self) -> None:
        """Post ticks until cancelled."""
        while True:
            await asyncio.sleep(in_seconds(_TICK_MS))
            self.mailbox.post(Tick())

    def handle(self, message: Any) -> None:
        """Process one message."""
        now = self._clock.now()
        match message:
            case LeaseExtended(until_ms=until_ms):
                self._lease_until_ms = until_ms
            case ControlView():
                self._follow(message)
            case GrantsInForce(upstream=upstream):
                dispatcher = self._dispatchers.get(upstream)
                if dispatcher is not None:
                    self._carry_out(dispatcher.confirm_grants(message, now))
            case LoadReported(upstream=upstream):
                dispatcher = self._dispatchers.get(upstream)
                if dispatcher is not None:
                    dispatcher.health.note_report(message.is_busy, now)
            case Received():
                self._handle_peer(message, now)
            case Tick():
                for dispatcher in self._dispatchers.values():
                    self._carry_out(dispatcher.issue(now))

    def _follow(self, view: ControlView) -> None:
        state = view.state
        if state.revision != self._revision:
            self._revision = state.revision
            self._specs = ServiceCatalog(parse_collection(state.files)).specs
        current = {}
        for upstream, record in state.dispatchers.items():
            if record.vm != self._vm:
                continue
            known = self._dispatchers.get(upstream)
            if known is None or known.epoch != record.epoch:
                slots = state.upstreams[upstream].slots
                known = Dispatcher(upstream, record.epoch, slots)
            spec = self._specs.get(state.upstreams[upstream].service)
            if spec is not None:
                known.set_ranks(spec.ranks)
            self._note_incarnation(known, state.upstreams[upstream].incarnation)
            current[upstream] = known
        self._dispatchers = current

    def _note_incarnation(self, known: Dispatcher, incarnation: int) -> None:
        earlier = self._incarnations.get(known.upstream, incarnation)
        self._incarnations[known.upstream] = incarnation
        if incarnation != earlier:
            self._carry_out(known.restart_cold(self._clock.now()))

    def _handle_peer(self, received: Received, now: int) -> None:
        message = received.message
        dispatcher = self._dispatchers.get(message.upstream)
        if dispatcher is None or now >= self._lease_until_ms:
            self._refuse(received)
            return
        match message:
            case TicketRequest():
                effects = dispatcher.request(received.sender, message, now)
            case TicketDone():
                effects = dispatcher.finish(message, now)
            case TicketCancel():
                effects = dispatcher.cancel(message, now)
        self._carry_out(effects)

    def _refuse(self, received: Received) -> None:
        if isinstance(received.message, TicketRequest):
            refusal = TicketRefused(
                received.message.ticket_id,
                Reason.NOT_DISPATCHER,
            )
            self._carry_out([SendToVm(received.sender, refusal)])

    def _carry_out(self, effects: Iterable[Effect]) -> None:
        for effect in effects:
            match effect:
                case SendToVm():
                    _log_message(effect)
                    self._peers.send(effect.vm, effect.message)
                case _:
                    _log_change(effect)


def _log_change(change: LimitChanged | BreakerChanged) -> None:
    match change:
        case LimitChanged(upstream=upstream, limit=limit):
            log_event(
                _logger,
                Event.LIMIT_CHANGED,
                upstream=upstream,
                limit=limit,
            )
        case BreakerChanged(upstream=upstream, breaker=Closed()):
            log_event(_logger, Event.BREAKER_CLOSED, upstream=upstream)
        case BreakerChanged(upstream=upstream, breaker=breaker):
            log_event(
                _logger,
                Event.BREAKER_OPENED,
                upstream=upstream,
                breaker=breaker,
            )


def _log_message(effect: SendToVm) -> None:
    match effect.message:
        case TicketGranted() as granted:
            log_event(
                _logger,
                Event.TICKET_GRANTED,
                ticket=granted.ticket_id,
                vm=effect.vm,
                upstream=granted.upstream,
                epoch=granted.epoch,
                fence=granted.fence,
            )
        case TicketRefused() as refused:
            log_event(
                _logger,
                Event.TICKET_REFUSED,
                ticket=refused.ticket_id,
                vm=effect.vm,
                reason=refused.reason.name,
                retry_after_ms=refused.retry_after_ms,
            )
