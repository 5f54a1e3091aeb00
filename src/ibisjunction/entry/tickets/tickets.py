"""Requests tickets from dispatchers, and grants them as a dispatcher.

A ticket is the permission to send one request to one upstream. Tickets only
balance the load: if a dispatcher does not answer, this VM decides by itself,
and upstreams still refuse requests beyond their capacity.
"""

import asyncio
import contextlib
import logging
from collections.abc import Iterable
from typing import Any, Final

from ibisjunction.clock import Clock, in_seconds
from ibisjunction.control.effects import Tick
from ibisjunction.entry.dispatching.dispatch import Decided, Dispatcher, Wait
from ibisjunction.entry.dispatching.health import HealthReport
from ibisjunction.entry.following.view import FleetView
from ibisjunction.entry.tickets.cold_changes import find_cold_changes
from ibisjunction.entry.tickets.dispatchers import Dispatchers
from ibisjunction.entry.tickets.granted import GrantedTickets
from ibisjunction.entry.tickets.messages import (
    DispatchersChanged,
    LocalTicketDone,
    LocalTicketRequest,
    TicketAsk,
    TicketDone,
    TicketGranted,
    TicketQueued,
    TicketRefused,
)
from ibisjunction.entry.tickets.own_tickets import OwnTickets
from ibisjunction.entry.tickets.ticket_messages import (
    decode_request,
    encode_decision,
)
from ibisjunction.entry.tickets.ticket_request import TicketRequest
from ibisjunction.events import Event, log_event
from ibisjunction.mailbox import Mailbox
from ibisjunction.peers.link import PeerNetwork, Received

_logger = logging.getLogger(__name__)

_TICK_MS: Final = 10
#: Interval while no request waits. A tick then only ends tickets that were not
#: returned, and each wake-up costs a small VM processor time.
_IDLE_TICK_MS: Final = 100
#: Interval of the log lines on requests that were refused for want of room.
_ROOM_INTERVAL_MS: Final = 5000


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
        dispatcher.find_rank = self._dispatchers.find_rank
        dispatcher.is_own_queue = self._is_own_queue
        self._granted = GrantedTickets(dispatcher)
        self._own = OwnTickets(
            vm, peers, dispatcher, self._dispatchers, self._decide
        )
        self._has_waiting = asyncio.Event()
        self._next_room_ms = 0
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
        while True:
            if self._is_waiting:
                await asyncio.sleep(in_seconds(_TICK_MS))
            else:
                await self._wait_for_requests()
            self.mailbox.post(Tick())

    async def _wait_for_requests(self) -> None:
        """Return once a request waits, or after the longer interval."""
        self._has_waiting.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(in_seconds(_IDLE_TICK_MS)):
                await self._has_waiting.wait()

    @property
    def _is_waiting(self) -> bool:
        """Whether a request waits that time alone may decide."""
        return self._own.is_waiting or self._dispatcher.waiting_count > 0

    def handle(self, message: Any) -> None:
        """Process one message."""
        now = self._clock.now()
        match message:
            case LocalTicketRequest(request=request, reply=reply):
                self._own.request(request, reply, now)
            case LocalTicketDone(number=number, report=report):
                self._handle_done(number, report, now)
            case Received(sender=sender, message=received):
                self._handle_received(sender, received, now)
            case FleetView():
                self._log_cold_changes(message, now)
                self._dispatcher.update_view(message, now)
                self._own.redirect(now)
                self._deliver(self._granted.decide_waiting(now), now)
            case DispatchersChanged(vms=vms, capacities=capacities):
                self._dispatchers.replace_vms(vms, capacities)
            case Tick():
                self._handle_tick(now)
        if self._is_waiting:
            self._has_waiting.set()

    def _log_cold_changes(self, view: FleetView, now: int) -> None:
        """Log the changes at upstreams whose requests this VM decides on."""
        for change in find_cold_changes(self._dispatcher.view, view):
            if self._is_own_queue(change.queue, now):
                log_event(
                    _logger,
                    change.event,
                    upstream=change.upstream.upstream,
                    born=change.upstream.born,
                    per_s=change.per_s,
                )

    def _handle_received(self, sender: str, message: Any, now: int) -> None:
        match message:
            case TicketAsk():
                self._decide(decode_request(sender, message, now), now)
            case TicketDone(number=number, report=report):
                self._deliver(
                    self._granted.end((sender, number), report, now), now
                )
            case TicketQueued(number=number):
                self._own.record_queued(number, sender, now)
            case TicketGranted() | TicketRefused():
                self._own.handle_decision(sender, message, now)

    def _is_own_queue(self, queue: str, now: int) -> bool:
        return self._dispatchers.choose(queue, now) == self._vm

    def _decide(self, request: TicketRequest, now: int) -> None:
        """Decide on a ticket request as its dispatcher."""
        match self._granted.decide(request, now):
            case None:
                return
            case Wait():
                if request.vm != self._vm:
                    self._peers.send(request.vm, TicketQueued(request.number))
            case decision:
                self._deliver(((request, decision),), now)

    def _deliver(self, decided: Iterable[Decided], now: int) -> None:
        """Send decisions of this dispatcher to the requesters."""
        for request, decision in decided:
            if request.vm == self._vm:
                self._own.deliver(self._vm, request.number, decision, now)
            else:
                message = encode_decision(
                    request.number, decision, self._dispatcher, now
                )
                self._peers.send(request.vm, message)

    def _handle_done(self, number: int, report: HealthReport, now: int) -> None:
        """End a ticket or a pending ticket request of this VM."""
        dispatcher_vm = self._own.finish(number, report, now)
        if dispatcher_vm == self._vm:
            ticket_id = (self._vm, number)
            self._deliver(self._granted.end(ticket_id, report, now), now)
        elif dispatcher_vm:
            self._peers.send(dispatcher_vm, TicketDone(number, report))

    def _handle_tick(self, now: int) -> None:
        if self._dispatcher.waiting_count:
            self._deliver(self._granted.decide_waiting(now), now)
        self._own.check(now)
        self._deliver(self._granted.expire(now), now)
        if now >= self._next_room_ms:
            self._next_room_ms = now + _ROOM_INTERVAL_MS
            self._log_room()

    def _log_room(self) -> None:
        """Log how many requests found too little room, if any did."""
        counts = self._dispatcher.admission.take_counts()
        if counts.refused:
            log_event(
                _logger,
                Event.TOO_LITTLE_ROOM,
                refused=counts.refused,
                returned=counts.returned,
                waiting=self._dispatcher.waiting_count,
            )
