"""Requests the tickets of one entry VM from the dispatchers."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from ibisjunction.entry.dispatching.contention import Contention
from ibisjunction.entry.dispatching.dispatch import Dispatcher, Grant, Refuse
from ibisjunction.entry.dispatching.health import HealthReport, HealthResult
from ibisjunction.entry.tickets.dispatchers import Dispatchers
from ibisjunction.entry.tickets.messages import (
    TicketDone,
    TicketGranted,
    TicketRefused,
)
from ibisjunction.entry.tickets.ticket_messages import (
    decode_decision,
    encode_request,
    find_unkept_limit,
    is_for_service,
)
from ibisjunction.entry.tickets.ticket_request import TicketRequest
from ibisjunction.events import Event, log_event
from ibisjunction.fleet.model import Upstream
from ibisjunction.mailbox import Mailbox
from ibisjunction.peers.link import PeerNetwork

_logger = logging.getLogger(__name__)

#: A queued request is sent again at this interval, in case its dispatcher was
#: restarted and lost the queue.
_REPEAT_INTERVAL_MS: Final = 300


@dataclass(slots=True)
class _PendingRequest:
    """A ticket request that is not decided.

    ``is_queued`` is set once the dispatcher has queued it, and ``is_answered``
    once it has answered at all.
    """

    request: TicketRequest
    reply: Mailbox[Grant | Refuse]
    queue: str
    dispatcher_vm: str
    sent_ms: int
    is_queued: bool = False
    is_answered: bool = False


@dataclass(frozen=True, slots=True)
class _Decided:
    """The decision on a request, and the dispatcher that made it.

    The dispatcher is empty if the request needed no ticket.
    """

    request: TicketRequest
    dispatcher_vm: str
    decision: Grant | Refuse
    decided_ms: int


class OwnTickets:
    """The ticket requests of this VM until their tickets are returned."""

    def __init__(
        self,
        vm: str,
        peers: PeerNetwork,
        dispatcher: Dispatcher,
        dispatchers: Dispatchers,
        decide_here: Callable[[TicketRequest, int], None],
    ) -> None:
        """Start without requests.

        :param decide_here: decides on a request as its dispatcher, and calls
            :meth:`deliver` once there is a decision.
        """
        self._vm = vm
        self._peers = peers
        self._dispatcher = dispatcher
        self._dispatchers = dispatchers
        self._decide_here = decide_here
        self._contention = Contention()
        self._pending: dict[int, _PendingRequest] = {}
        # Decisions on requests that still use or used their ticket.
        self._decided: dict[int, _Decided] = {}

    @property
    def is_waiting(self) -> bool:
        """Whether a request is not decided."""
        return bool(self._pending)

    def request(
        self,
        request: TicketRequest,
        reply: Mailbox[Grant | Refuse],
        now: int,
    ) -> None:
        """Grant a request, or ask its dispatcher for a ticket."""
        owner = self._find_owner(request)
        if owner is not None and self._may_send(owner, now):
            grant = Grant(owner)
            self._decided[request.number] = _Decided(request, '', grant, now)
            reply.post(grant)
            return
        queue = self._find_queue_name(request)
        pending = _PendingRequest(
            request, reply, queue, self._dispatchers.choose(queue, now), now
        )
        self._pending[request.number] = pending
        self._ask(pending, now)

    def redirect(self, now: int) -> None:
        """Ask the new dispatchers of requests whose keys have moved.

        The earlier dispatcher does not count what others grant for the new
        owner.
        """
        if self._dispatcher.view is not None:
            self._contention.retain(self._dispatcher.view.process_keys)
        for pending in list(self._pending.values()):
            queue = self._find_queue_name(pending.request)
            if queue == pending.queue:
                continue
            pending.queue = queue
            dispatcher_vm = self._dispatchers.choose(queue, now)
            if dispatcher_vm != pending.dispatcher_vm:
                self._cancel(pending)
                pending.dispatcher_vm = dispatcher_vm
                pending.is_answered = False
                self._ask(pending, now)

    def record_queued(self, number: int, sender: str, now: int) -> None:
        """Record that a dispatcher has queued a request."""
        pending = self._pending.get(number)
        if pending is not None and pending.dispatcher_vm == sender:
            self._record_answer(pending, now)
            pending.is_queued = True
            owner = self._find_owner(pending.request)
            if owner is not None:
                self._contention.record_contention(owner, now)

    def handle_decision(
        self, sender: str, message: TicketGranted | TicketRefused, now: int
    ) -> None:
        """Deliver the decision of another VM to its request.

        A grant that is not needed any more is returned unused, and so is one
        for an upstream of another service, to which the request must not go.
        """
        pending = self._pending.get(message.number)
        if pending is None or pending.dispatcher_vm != sender:
            if isinstance(message, TicketGranted):
                self._return_unused(sender, message.number)
            return
        self._record_answer(pending, now)
        decision = decode_decision(message, self._dispatcher.view)
        limit = find_unkept_limit(message, decision, self._dispatcher)
        if limit is None and is_for_service(decision, pending.request.service):
            self.deliver(sender, message.number, decision, now)
        else:
            self._return_unused(sender, message.number, limit)
            self._ask(pending, now)

    def deliver(
        self,
        dispatcher_vm: str,
        number: int,
        decision: Grant | Refuse,
        now: int,
    ) -> None:
        """Deliver a decision to its request."""
        pending = self._pending.pop(number, None)
        if pending is not None:
            self._decided[number] = _Decided(
                pending.request, dispatcher_vm, decision, now
            )
            pending.reply.post(decision)

    def finish(self, number: int, report: HealthReport, now: int) -> str:
        """End a request, and record what its answer says about limits.

        :return: the dispatcher to tell, or an empty text.
        """
        pending = self._pending.pop(number, None)
        decided = self._decided.pop(number, None)
        if decided is None:
            return '' if pending is None else pending.dispatcher_vm
        self._record_result(decided, report, now)
        return decided.dispatcher_vm

    def check(self, now: int) -> None:
        """Repeat requests, or decide on them here after a timeout."""
        for pending in list(self._pending.values()):
            if pending.dispatcher_vm != self._vm:
                self._check_pending(pending, now)

    def _ask(self, pending: _PendingRequest, now: int) -> None:
        """Ask the dispatcher of a request for a ticket."""
        pending.sent_ms = now
        pending.is_queued = False
        if pending.dispatcher_vm == self._vm:
            self._decide_here(pending.request, now)
        else:
            message = encode_request(pending.request, now)
            self._peers.send(pending.dispatcher_vm, message)

    def _cancel(self, pending: _PendingRequest) -> None:
        """Tell a dispatcher that a request needs none of its tickets."""
        number = pending.request.number
        if pending.dispatcher_vm == self._vm:
            self._dispatcher.cancel(self._vm, number)
        else:
            self._return_unused(pending.dispatcher_vm, number)

    def _return_unused(
        self, dispatcher_vm: str, number: int, limit_per_s: float | None = None
    ) -> None:
        """Return a ticket, with a limit that its dispatcher does not know."""
        report = HealthReport(HealthResult.UNUSED, limit_per_s=limit_per_s)
        self._peers.send(dispatcher_vm, TicketDone(number, report))

    def _find_queue_name(self, request: TicketRequest) -> str:
        """Return the queue of the upstreams that a request needs."""
        view = self._dispatcher.view
        if view is None:
            return request.service
        return view.find_queue_name(
            request.service, request.number, request.key
        )

    def _record_answer(self, pending: _PendingRequest, now: int) -> None:
        """Record the round trip of the first answer to a ticket request."""
        if not pending.is_answered:
            pending.is_answered = True
            self._dispatchers.record_answer(
                pending.dispatcher_vm, now - pending.sent_ms
            )

    def _record_result(
        self, decided: _Decided, report: HealthReport, now: int
    ) -> None:
        """Record what the result of a request says about its upstream."""
        if not isinstance(decided.decision, Grant):
            return
        upstream = decided.decision.upstream
        if decided.dispatcher_vm != self._vm:
            self._dispatcher.health.record_limit(
                upstream, report, decided.decided_ms, now
            )
        if not decided.dispatcher_vm:
            self._contention.record_result(
                decided.request, upstream, report, now
            )

    def _find_owner(self, request: TicketRequest) -> Upstream | None:
        view = self._dispatcher.view
        if view is None or request.key is None:
            return None
        return view.find_owner(request.service, request.key)

    def _may_send(self, owner: Upstream, now: int) -> bool:
        """Return whether a request may be sent to its owner without a ticket.

        The dispatcher keeps the limit that an upstream names.
        """
        is_limited = self._dispatcher.health.find_limit(owner) is not None
        return not is_limited and self._contention.try_send(owner, now)

    def _check_pending(self, pending: _PendingRequest, now: int) -> None:
        waited_ms = now - pending.sent_ms
        dispatcher_vm = pending.dispatcher_vm
        if pending.is_queued:
            if waited_ms >= _REPEAT_INTERVAL_MS:
                self._ask(pending, now)
        elif waited_ms >= self._dispatchers.wait_ms(dispatcher_vm):
            log_event(
                _logger,
                Event.DISPATCHER_SILENT,
                dispatcher=dispatcher_vm,
                waited_ms=waited_ms,
            )
            self._dispatchers.record_silence(dispatcher_vm, now)
            self._cancel(pending)
            pending.dispatcher_vm = self._vm
            self._ask(pending, now)
