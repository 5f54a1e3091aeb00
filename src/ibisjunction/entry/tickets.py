"""Requests tickets from dispatchers, and grants them as a dispatcher.

A ticket is the permission to send one request to one upstream. Tickets only
balance the load: if a dispatcher does not answer, this VM decides by itself,
and upstreams still refuse requests beyond their capacity.
"""

import asyncio
import itertools
import logging
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, Final

from ibisjunction.clock import Clock, in_seconds
from ibisjunction.control.effects import Tick
from ibisjunction.entry.dispatch import (
    Dispatcher,
    Grant,
    Refuse,
    TicketRequest,
    Wait,
)
from ibisjunction.entry.dispatchers import Dispatchers
from ibisjunction.entry.granted import Decided, GrantedTickets
from ibisjunction.entry.health import HealthReport, HealthResult
from ibisjunction.entry.messages import (
    DispatchersChanged,
    LocalTicketDone,
    LocalTicketRequest,
    TicketAsk,
    TicketDone,
    TicketGranted,
    TicketQueued,
    TicketRefused,
)
from ibisjunction.entry.model import Reason
from ibisjunction.entry.view import FleetView
from ibisjunction.events import Event, log_event
from ibisjunction.mailbox import Mailbox
from ibisjunction.peers.link import PeerNetwork, Received

_logger = logging.getLogger(__name__)

_TICK_MS: Final = 10
#: Ticks of which one is posted while no request waits; it only ends tickets
#: that were not returned.
_IDLE_TICKS: Final = 10
#: A queued request is sent again at this interval, in case its dispatcher was
#: restarted and lost the queue.
_REPEAT_INTERVAL_MS: Final = 300


@dataclass(slots=True)
class _PendingRequest:
    """A ticket request of this VM that is not decided.

    ``is_queued`` is set once the dispatcher has queued it, and ``is_answered``
    once it has answered at all.
    """

    request: TicketRequest
    reply: Mailbox[Grant | Refuse]
    dispatcher_vm: str
    sent_ms: int
    is_queued: bool = False
    is_answered: bool = False


@dataclass(frozen=True, slots=True)
class _Decided:
    """The decision on a request of this VM, and the dispatcher that made it."""

    dispatcher_vm: str
    decision: Grant | Refuse
    decided_ms: int


@dataclass(slots=True)
class _OwnRequests:
    """The ticket requests of this VM, by number."""

    pending: dict[int, _PendingRequest] = field(default_factory=dict)
    #: Decisions on requests that still use or used their ticket.
    decided: dict[int, _Decided] = field(default_factory=dict)


class TicketTask:
    """Grants tickets as a dispatcher, and requests tickets from others."""

    def __init__(
        self,
        vm: str,
        clock: Clock,
        peers: PeerNetwork,
        dispatcher: Dispatcher,
    ) -> None:
        """Subscribe to the messages of other entry VMs."""
        self._vm = vm
        self._clock = clock
        self._peers = peers
        self._dispatcher = dispatcher
        self._dispatchers = Dispatchers(vm)
        dispatcher.find_share = self._dispatchers.find_share
        self._granted = GrantedTickets(dispatcher)
        self._state = _OwnRequests()
        self.mailbox: Mailbox[Any] = Mailbox()
        peers.subscribe(
            self.mailbox,
            TicketAsk,
            TicketGranted,
            TicketQueued,
            TicketRefused,
            TicketDone,
        )

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            self.handle(await self.mailbox.get())

    async def run_timer(self) -> None:
        """Post ticks until cancelled; fewer while no request waits."""
        for number in itertools.count():
            await asyncio.sleep(in_seconds(_TICK_MS))
            is_waiting = self._state.pending or self._dispatcher.waiting_count
            if is_waiting or not number % _IDLE_TICKS:
                self.mailbox.post(Tick())

    def handle(self, message: Any) -> None:
        """Process one message."""
        now = self._clock.now()
        match message:
            case LocalTicketRequest(request=request, reply=reply):
                self._request_ticket(request, reply, now)
            case LocalTicketDone(number=number, report=report):
                self._handle_done(number, report, now)
            case Received(sender=sender, message=received):
                self._handle_received(sender, received, now)
            case FleetView():
                self._dispatcher.update_view(message)
                self._deliver(self._granted.decide_waiting(now), now)
            case DispatchersChanged(vms=vms, capacities=capacities):
                self._dispatchers.replace_vms(vms, capacities)
            case Tick():
                self._handle_tick(now)

    def _handle_received(self, sender: str, message: Any, now: int) -> None:
        match message:
            case TicketAsk():
                self._dispatch(_decode_request(sender, message, now), now)
            case TicketDone(number=number, report=report):
                self._deliver(
                    self._granted.end((sender, number), report, now), now
                )
            case TicketQueued(number=number):
                pending = self._state.pending.get(number)
                if pending is not None and pending.dispatcher_vm == sender:
                    self._record_answer(pending, now)
                    pending.is_queued = True
            case TicketGranted() | TicketRefused():
                self._handle_decision(sender, message, now)

    def _request_ticket(
        self,
        request: TicketRequest,
        reply: Mailbox[Grant | Refuse],
        now: int,
    ) -> None:
        dispatcher_vm = self._find_dispatcher(request, now)
        self._state.pending[request.number] = _PendingRequest(
            request,
            reply,
            dispatcher_vm,
            now,
        )
        if dispatcher_vm == self._vm:
            self._dispatch(request, now)
        else:
            self._peers.send(dispatcher_vm, _encode_request(request, now))

    def _find_dispatcher(self, request: TicketRequest, now: int) -> str:
        """Return the dispatcher of the upstreams that a request needs."""
        view = self._dispatcher.view
        queue = request.service
        if view is not None:
            queue = view.find_queue_name(
                request.service,
                request.number,
                request.key,
            )
        return self._dispatchers.choose(queue, now)

    def _dispatch(self, request: TicketRequest, now: int) -> None:
        """Decide on a ticket request as its dispatcher."""
        match self._granted.decide(request, now):
            case None:
                return
            case Wait():
                if request.vm != self._vm:
                    self._peers.send(request.vm, TicketQueued(request.number))
            case decision:
                self._deliver_decision(request, decision, now)

    def _deliver_decision(
        self,
        request: TicketRequest,
        decision: Grant | Refuse,
        now: int,
    ) -> None:
        """Send a decision of this dispatcher to the requester."""
        if request.vm != self._vm:
            self._peers.send(
                request.vm,
                _encode_decision(request.number, decision, self._dispatcher),
            )
            return
        pending = self._state.pending.pop(request.number, None)
        if pending is not None:
            self._state.decided[request.number] = _Decided(
                self._vm, decision, now
            )
            pending.reply.post(decision)

    def _handle_decision(
        self,
        sender: str,
        message: TicketGranted | TicketRefused,
        now: int,
    ) -> None:
        """Deliver the decision of another VM to its request.

        A grant that is not needed any more is returned unused.
        """
        pending = self._state.pending.get(message.number)
        if pending is None or pending.dispatcher_vm != sender:
            if isinstance(message, TicketGranted):
                unused = TicketDone(
                    message.number,
                    HealthReport(HealthResult.UNUSED),
                )
                self._peers.send(sender, unused)
            return
        self._record_answer(pending, now)
        decision = _decode_decision(message, self._dispatcher.view)
        limit = _find_unkept_limit(message, decision, self._dispatcher)
        if limit is not None:
            self._ask_again(pending, limit, now)
            return
        self._state.pending.pop(message.number)
        self._state.decided[message.number] = _Decided(sender, decision, now)
        pending.reply.post(decision)

    def _ask_again(
        self, pending: _PendingRequest, limit_per_s: float, now: int
    ) -> None:
        """Tell the dispatcher a limit that it does not know, and ask again."""
        number = pending.request.number
        report = HealthReport(HealthResult.UNUSED, limit_per_s=limit_per_s)
        self._peers.send(pending.dispatcher_vm, TicketDone(number, report))
        pending.sent_ms = now
        pending.is_queued = False
        self._peers.send(
            pending.dispatcher_vm, _encode_request(pending.request, now)
        )

    def _record_answer(self, pending: _PendingRequest, now: int) -> None:
        """Record the round trip of the first answer to a ticket request."""
        if not pending.is_answered:
            pending.is_answered = True
            self._dispatchers.record_answer(
                pending.dispatcher_vm, now - pending.sent_ms
            )

    def _handle_done(self, number: int, report: HealthReport, now: int) -> None:
        """End a ticket or a pending ticket request of this VM."""
        pending = self._state.pending.pop(number, None)
        dispatcher_vm = '' if pending is None else pending.dispatcher_vm
        decided = self._state.decided.pop(number, None)
        if decided is not None:
            dispatcher_vm = decided.dispatcher_vm
            self._record_limit(decided, report, now)
        if dispatcher_vm == self._vm:
            ticket_id = (dispatcher_vm, number)
            self._deliver(self._granted.end(ticket_id, report, now), now)
        elif dispatcher_vm:
            self._peers.send(dispatcher_vm, TicketDone(number, report))

    def _record_limit(
        self, decided: _Decided, report: HealthReport, now: int
    ) -> None:
        """Record a limit that an answer to another dispatcher's grant named."""
        if decided.dispatcher_vm != self._vm and isinstance(
            decided.decision, Grant
        ):
            self._dispatcher.health.record_limit(
                decided.decision.upstream, report, decided.decided_ms, now
            )

    def _deliver(self, decided: Iterable[Decided], now: int) -> None:
        for request, decision in decided:
            self._deliver_decision(request, decision, now)

    def _handle_tick(self, now: int) -> None:
        if self._dispatcher.waiting_count:
            self._deliver(self._granted.decide_waiting(now), now)
        for pending in list(self._state.pending.values()):
            self._check_pending(pending, now)
        self._deliver(self._granted.expire(now), now)

    def _check_pending(self, pending: _PendingRequest, now: int) -> None:
        """Repeat a ticket request, or decide on it here after a timeout."""
        request = pending.request
        if pending.dispatcher_vm == self._vm:
            return
        waited_ms = now - pending.sent_ms
        if pending.is_queued and waited_ms >= _REPEAT_INTERVAL_MS:
            pending.is_queued = False
            pending.sent_ms = now
            self._peers.send(
                pending.dispatcher_vm,
                _encode_request(request, now),
            )
        elif not pending.is_queued:
            self._check_dispatcher(pending, waited_ms, now)

    def _check_dispatcher(
        self, pending: _PendingRequest, waited_ms: int, now: int
    ) -> None:
        """Decide on a ticket request here if its dispatcher does not answer."""
        if waited_ms < self._dispatchers.wait_ms(pending.dispatcher_vm):
            return
        log_event(
            _logger,
            Event.DISPATCHER_SILENT,
            dispatcher=pending.dispatcher_vm,
            waited_ms=waited_ms,
        )
        self._dispatchers.record_silence(pending.dispatcher_vm, now)
        unused = TicketDone(
            pending.request.number,
            HealthReport(HealthResult.UNUSED),
        )
        self._peers.send(pending.dispatcher_vm, unused)
        pending.dispatcher_vm = self._vm
        self._dispatch(pending.request, now)


def _encode_request(request: TicketRequest, now: int) -> TicketAsk:
    return TicketAsk(
        request.number,
        request.service,
        request.key,
        request.rank,
        request.failure_domain,
        request.target_ms - now,
        request.give_up_ms - now,
        tuple(request.avoided),
    )


def _decode_request(vm: str, message: TicketAsk, now: int) -> TicketRequest:
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
    )


def _encode_decision(
    number: int, decision: Grant | Refuse, dispatcher: Dispatcher
) -> TicketGranted | TicketRefused:
    match decision:
        case Grant(upstream=upstream):
            return TicketGranted(
                number,
                upstream.upstream,
                upstream.born,
                is_paced=dispatcher.health.find_limit(upstream) is not None,
            )
        case Refuse(reason=reason, retry_after_ms=retry_ms):
            return TicketRefused(number, reason.name, retry_ms)


def _decode_decision(
    message: TicketGranted | TicketRefused, view: FleetView | None
) -> Grant | Refuse:
    match message:
        case TicketRefused(why=why, retry_after_ms=retry_ms):
            return Refuse(Reason[why], retry_ms)
        case TicketGranted(upstream=name, born=born):
            upstream = view and view.find_process(name, born)
            return Grant(upstream) if upstream else Refuse(Reason.NO_UPSTREAM)


def _find_unkept_limit(
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
