"""Finds the dispatcher of each request and asks it for a ticket.

A ticket is the permission to send one request to one upstream. It only serves
an even load: if a dispatcher does not answer, this VM decides by itself, and
upstreams still refuse what they can't take.
"""

import asyncio
from dataclasses import dataclass, field
from typing import Any, Final

import xxhash

from ibisjunction.clock import Clock, in_seconds
from ibisjunction.control.effects import Tick
from ibisjunction.entry.dispatch import (
    Ask,
    Dispatcher,
    Grant,
    Refuse,
    Wait,
)
from ibisjunction.entry.health import Report, Result
from ibisjunction.entry.messages import (
    DispatchersKnown,
    LocalAsk,
    LocalDone,
    TicketAsk,
    TicketDone,
    TicketGranted,
    TicketQueued,
    TicketRefused,
)
from ibisjunction.entry.model import Why
from ibisjunction.entry.view import FleetView
from ibisjunction.fleet.model import Upstream
from ibisjunction.mailbox import Mailbox
from ibisjunction.peers.link import PeerNetwork, Received

_TICK_MS: Final = 10
#: A dispatcher answers within a few milliseconds; one that takes longer is
#: taken for lost, and this VM decides by itself for a while.
_ANSWER_MS: Final = 100
_DISTRUST_MS: Final = 1500
#: A request that waits at a dispatcher asks again, in case that was restarted.
_ASK_AGAIN_MS: Final = 300
#: A ticket that was not returned is dropped this long after its request's end.
_OVERDUE_MS: Final = 500
_Key = tuple[str, int]


@dataclass(slots=True)
class _Pending:
    """An ask of this VM; ``vm`` dispatches it, and has not answered if due."""

    ask: Ask
    reply: Mailbox[Grant | Refuse]
    vm: str
    sent_ms: int
    is_queued: bool = False


@dataclass(frozen=True, slots=True)
class _Ticket:
    """A grant of this dispatcher that is in use."""

    upstream: Upstream
    expires_ms: int


@dataclass(slots=True)
class _Books:
    """Asks and tickets by VM and number."""

    pending: dict[int, _Pending] = field(default_factory=dict)
    tickets: dict[_Key, _Ticket] = field(default_factory=dict)
    #: Which VM dispatched the tickets that this VM's requests use.
    granted_by: dict[int, str] = field(default_factory=dict)


class TicketTask:
    """Dispatches for some upstreams and asks other VMs about the rest."""

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
        self._vms: tuple[str, ...] = ()
        self._distrusted: dict[str, int] = {}
        self._books = _Books()
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
        """Post ticks until cancelled."""
        while True:
            await asyncio.sleep(in_seconds(_TICK_MS))
            self.mailbox.post(Tick())

    def handle(self, message: Any) -> None:
        """Process one message."""
        now = self._clock.now()
        match message:
            case LocalAsk(ask=ask, reply=reply):
                self._ask(ask, reply, now)
            case LocalDone(number=number, report=report):
                self._finish(number, report, now)
            case Received(sender=sender, message=received):
                self._receive(sender, received, now)
            case FleetView():
                self._dispatcher.update_view(message)
                self._decide_waiting(now)
            case DispatchersKnown(vms=vms):
                self._vms = vms
            case Tick():
                self._look_at_clock(now)

    def _receive(self, sender: str, message: Any, now: int) -> None:
        match message:
            case TicketAsk():
                self._dispatch(_make_ask(sender, message, now), now)
            case TicketDone(number=number, report=report):
                self._end_ticket((sender, number), report, now)
            case TicketQueued(number=number):
                pending = self._books.pending.get(number)
                if pending is not None and pending.vm == sender:
                    pending.is_queued = True
            case TicketGranted() | TicketRefused():
                self._take_decision(sender, message)

    def _ask(
        self,
        ask: Ask,
        reply: Mailbox[Grant | Refuse],
        now: int,
    ) -> None:
        vm = self._find_dispatcher(ask, now)
        self._books.pending[ask.number] = _Pending(ask, reply, vm, now)
        if vm == self._vm:
            self._dispatch(ask, now)
        else:
            self._peers.send(vm, _make_message(ask, now))

    def _find_dispatcher(self, ask: Ask, now: int) -> str:
        """Return the VM that looks after the upstreams of a request.

        Each VM finds the same one, by the highest hash of VM and group.
        """
        view = self._dispatcher.view
        group = ask.service
        if view is not None:
            group = view.name_queue(ask.service, ask.number, ask.key)
        vms = [vm for vm in self._vms if now >= self._distrusted.get(vm, 0)]
        return max(
            vms,
            key=lambda vm: xxhash.xxh3_64_intdigest(f'{vm} {group}'.encode()),
            default=self._vm,
        )

    def _dispatch(self, ask: Ask, now: int) -> None:
        """Decide on an ask as its dispatcher."""
        key = (ask.vm, ask.number)
        if key in self._books.tickets:
            return
        # A request that asks again keeps its place.
        is_waiting = self._dispatcher.is_waiting(*key)
        decision = Wait() if is_waiting else self._dispatcher.ask(ask, now)
        if isinstance(decision, Wait):
            if ask.vm != self._vm:
                self._peers.send(ask.vm, TicketQueued(ask.number))
        else:
            self._tell(ask, decision)

    def _tell(self, ask: Ask, decision: Grant | Refuse) -> None:
        """Tell a request the decision on its ask."""
        if isinstance(decision, Grant):
            self._books.tickets[(ask.vm, ask.number)] = _Ticket(
                decision.upstream,
                ask.give_up_ms + _OVERDUE_MS,
            )
        if ask.vm != self._vm:
            self._peers.send(ask.vm, _describe(ask.number, decision))
            return
        pending = self._books.pending.pop(ask.number, None)
        if pending is not None:
            self._books.granted_by[ask.number] = self._vm
            pending.reply.post(decision)

    def _take_decision(
        self,
        sender: str,
        message: TicketGranted | TicketRefused,
    ) -> None:
        """Pass on the decision of another VM."""
        pending = self._books.pending.get(message.number)
        if pending is None or pending.vm != sender:
            if isinstance(message, TicketGranted):
                unused = TicketDone(message.number, Report(Result.UNUSED))
                self._peers.send(sender, unused)
            return
        decision = self._understand(message)
        self._books.pending.pop(message.number)
        self._books.granted_by[message.number] = sender
        pending.reply.post(decision)

    def _understand(
        self,
        message: TicketGranted | TicketRefused,
    ) -> Grant | Refuse:
        match message:
            case TicketRefused(why=why, retry_after_ms=retry_ms):
                return Refuse(Why[why], retry_ms)
            case TicketGranted(upstream=name, born=born):
                view = self._dispatcher.view
                found = view and view.find_process(name, born)
                return Grant(found) if found else Refuse(Why.NO_UPSTREAM)

    def _finish(self, number: int, report: Report, now: int) -> None:
        """End an ask or a ticket of this VM."""
        pending = self._books.pending.pop(number, None)
        asked_vm = '' if pending is None else pending.vm
        vm = self._books.granted_by.pop(number, asked_vm)
        if vm == self._vm:
            self._end_ticket((vm, number), report, now)
        elif vm:
            self._peers.send(vm, TicketDone(number, report))

    def _end_ticket(self, key: _Key, report: Report, now: int) -> None:
        ticket = self._books.tickets.pop(key, None)
        if ticket is None:
            self._dispatcher.withdraw(*key)
        else:
            self._dispatcher.finish(ticket.upstream, report, now)
            self._decide_waiting(now)

    def _decide_waiting(self, now: int) -> None:
        for ask, decision in self._dispatcher.decide_waiting(now):
            self._tell(ask, decision)

    def _look_at_clock(self, now: int) -> None:
        if self._dispatcher.waiting:
            self._decide_waiting(now)
        for pending in list(self._books.pending.values()):
            self._check_pending(pending, now)
        for key, ticket in list(self._books.tickets.items()):
            if now >= ticket.expires_ms:
                self._end_ticket(key, Report(Result.UNUSED), now)

    def _check_pending(self, pending: _Pending, now: int) -> None:
        """Ask again, or decide here if the dispatcher does not answer."""
        ask = pending.ask
        if pending.vm == self._vm:
            return
        waited_ms = now - pending.sent_ms
        if pending.is_queued and waited_ms >= _ASK_AGAIN_MS:
            pending.is_queued = False
            pending.sent_ms = now
            self._peers.send(pending.vm, _make_message(ask, now))
        elif not pending.is_queued and waited_ms >= _ANSWER_MS:
            self._distrusted[pending.vm] = now + _DISTRUST_MS
            unused = TicketDone(ask.number, Report(Result.UNUSED))
            self._peers.send(pending.vm, unused)
            pending.vm = self._vm
            self._dispatch(ask, now)


def _make_message(ask: Ask, now: int) -> TicketAsk:
    return TicketAsk(
        ask.number,
        ask.service,
        ask.key,
        ask.rank,
        ask.failure_domain,
        ask.target_ms - now,
        ask.give_up_ms - now,
        tuple(ask.avoided),
    )


def _make_ask(vm: str, message: TicketAsk, now: int) -> Ask:
    return Ask(
        number=message.number,
        vm=vm,
        service=message.service,
        key=message.key,
        rank=message.rank,
        failure_domain=message.failure_domain,
        asked_ms=now,
        target_ms=now + message.target_in_ms,
        give_up_ms=now + message.give_up_in_ms,
        avoided=frozenset(message.avoided),
    )


def _describe(
    number: int,
    decision: Grant | Refuse,
) -> TicketGranted | TicketRefused:
    match decision:
        case Grant(upstream=upstream):
            return TicketGranted(number, upstream.upstream, upstream.born)
        case Refuse(why=why, retry_after_ms=retry_ms):
            return TicketRefused(number, why.name, retry_ms)
