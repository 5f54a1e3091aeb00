"""Accepts connections of callers on an entry VM."""

import asyncio
import functools
import logging
import socket
from dataclasses import dataclass, field
from typing import Any, Final

from tornado.iostream import IOStream
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from ibisjunction.bodies.account import BodyAccount
from ibisjunction.bodies.answers import (
    AnswerCount,
    HeldAnswer,
    find_untaken,
)
from ibisjunction.bodies.connections import (
    Admitted,
    ConnectionTable,
    Rejected,
)
from ibisjunction.bodies.gate import BodyGate
from ibisjunction.bodies.sockets import (
    accept_waiting,
    limit_receive_buffer,
    read_address,
)
from ibisjunction.bodies.use import read_use
from ibisjunction.byte_budget import ByteBudget
from ibisjunction.catalogue.model import Limits
from ibisjunction.clock import Clock, in_seconds
from ibisjunction.entry.callers.caller_connection import (
    LINGER_MS,
    CallerConnection,
)
from ibisjunction.entry.callers.caller_stream import CallerStream
from ibisjunction.entry.callers.connection_context import (
    ConnectionContext,
    RequestServer,
)
from ibisjunction.entry.callers.connection_ends import EndCause
from ibisjunction.entry.callers.idle_connections import IdleEnded
from ibisjunction.entry.callers.pipeline import (
    AcceptEnded,
    ConnectionEnded,
    DrainStarted,
)
from ibisjunction.entry.link.reading import limit_unread
from ibisjunction.entry.link.transfers import FreeLink, Link
from ibisjunction.entry.model import HeaderNames
from ibisjunction.events import Event, log_event
from ibisjunction.loop_lag import LagMeter
from ibisjunction.mailbox import Mailbox
from ibisjunction.settings import Address

#: Limits that apply until the first view contains those of the operators.
_MAX_HEADER_BYTES: Final = 65_536
_MAX_BODY_BYTES: Final = 67_108_864
_HEADER_TIMEOUT_MS: Final = 10_000
_IDLE_TIMEOUT_MS: Final = 60_000
_BACKLOG: Final = 1024
_DRAIN_POLL_MS: Final = 20
#: Least interval of checks for idle connections.
_IDLE_POLL_MS: Final = 20
#: Time after accepting ends in which a caller whose connection was accepted
#: last may send its first request.
_FIRST_REQUEST_MS: Final = 100
#: Bytes of requests and answers behind others on all connections.
_MAX_READ_AHEAD_BYTES: Final = 16_777_216
#: Limits of a VM whose settings name neither memory nor descriptors.
_DEFAULT_ROOM_BYTES: Final = 536_870_912
_DEFAULT_CONNECTIONS: Final = 2048
_CHECK_ANSWERS_MS: Final = 500
#: Interval at which the metrics get what callers hold.
_REPORT_MS: Final = 5000

_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class CallerRoom:
    """What callers may take of the VM.

    ``body_bytes`` bounds bodies and answers together, and ``connections`` the
    open connections. ``answers`` counts the answers that arrive for callers.
    """

    body_bytes: int = _DEFAULT_ROOM_BYTES
    connections: int = _DEFAULT_CONNECTIONS
    answers: ByteBudget = field(
        default_factory=lambda: ByteBudget(_DEFAULT_ROOM_BYTES)
    )


class EntryServer(TCPServer):
    """Accepts connections from callers and answers their requests."""

    def __init__(
        self,
        processor: RequestServer,
        clock: Clock,
        names: HeaderNames,
        address: Address,
        metrics: Mailbox[Any],
        link: Link | None = None,
        unread_bytes: int | None = None,
        room: CallerRoom | None = None,
    ) -> None:
        """Prepare the server; :meth:`listen_to_callers` opens its socket.

        :param link: the VM's link, which large answers share; by default one
            without a bound.
        :param unread_bytes: receive buffer of each connection.
        :param room: what callers may take of the VM.
        """
        super().__init__()
        room = room or CallerRoom()
        self._address = address
        self._unread_bytes = unread_bytes
        self._listeners: list[socket.socket] = []
        self._idle_check: asyncio.TimerHandle | None = None
        self._last_number = 0
        self._answer_check: asyncio.TimerHandle | None = None
        self._report: asyncio.TimerHandle | None = None
        gate = BodyGate(BodyAccount(room.body_bytes), clock)
        room.answers.admits = gate.admit_answer
        room.answers.on_change = self._change_answer_bytes
        self._clock = clock
        #: How late the event loop runs; its task has to be run.
        self.lag = LagMeter(clock, metrics)
        self._connections: dict[CallerConnection, asyncio.Task[None]] = {}
        self._by_number: dict[int, CallerConnection] = {}
        self._context = ConnectionContext(
            processor,
            clock,
            names,
            Limits(
                _MAX_HEADER_BYTES,
                _MAX_BODY_BYTES,
                _HEADER_TIMEOUT_MS,
                _IDLE_TIMEOUT_MS,
            ),
            link or FreeLink(),
            metrics,
            _MAX_READ_AHEAD_BYTES,
            gate,
            AnswerCount(room.answers),
            ConnectionTable(room.connections),
            self.lag,
        )

    @property
    def room_account(self) -> BodyAccount:
        """What the bodies of callers hold."""
        return self._context.gate.account

    def count_unsent(self) -> int:
        """Return the bytes of large answers that are being written."""
        return self._context.count_unsent()

    def listen_to_callers(self) -> int:
        """Listen for connections; return the port."""
        sockets = bind_sockets(
            self._address.port,
            self._address.host,
            backlog=_BACKLOG,
        )
        for listener in sockets:
            # Accepted sockets inherit the size.
            limit_receive_buffer(listener)
            limit_unread(listener, self._unread_bytes)
        self._listeners = sockets
        self.add_sockets(sockets)
        self._report_use()
        self._check_idle()
        port: int = sockets[0].getsockname()[1]
        return port

    def apply_limits(self, limits: Limits) -> None:
        """Apply the limits of the operators to requests that arrive now."""
        self._context.limits = limits
        if self._idle_check is not None:
            self._idle_check.cancel()
            self._check_idle()

    def handle_stream(self, stream: IOStream, address: object) -> None:
        """Serve a new connection."""
        number = self._admit(read_address(address))
        if not number or not isinstance(stream, CallerStream):
            stream.close()
            return
        stream.set_nodelay(True)
        # What is read ahead of a body has crossed the link out of turn.
        stream.read_chunk_size = min(
            stream.read_chunk_size, self._context.link.piece_bytes
        )
        connection = CallerConnection(
            stream, self._context, number, read_address(address)
        )
        task = asyncio.create_task(connection.run())
        self._connections[connection] = task
        self._by_number[number] = connection
        task.add_done_callback(functools.partial(self._forget, connection))

    def _handle_connection(
        self, connection: socket.socket, address: Any
    ) -> None:
        stream = CallerStream(connection, self._clock, self._context.traffic)
        self.handle_stream(stream, address)

    def _admit(self, address: str) -> int:
        """Return the number of a new connection, 0 if there is no place."""
        self._last_number += 1
        match self._context.table.admit(
            self._last_number,
            address,
            may_displace_busy=not self._context.is_draining,
        ):
            case Rejected():
                _log_dropped_connection(self._context.table, address)
                return 0
            case Admitted(displaced=displaced):
                if displaced is not None:
                    _log_dropped_connection(self._context.table, address)
                    self._by_number[displaced].mailbox.post(
                        ConnectionEnded(EndCause.DISPLACED)
                    )
        return self._last_number

    def _forget(
        self, connection: CallerConnection, task: 'asyncio.Task[None]'
    ) -> None:
        self._connections.pop(connection)
        self._by_number.pop(connection.number)
        self._context.table.remove(connection.number)

    def _change_answer_bytes(self, change: int) -> None:
        """Count bytes of answers, and drop those that nobody takes."""
        self._context.gate.change_other_bytes(change)
        if self._answer_check is None:
            self._answer_check = asyncio.get_running_loop().call_later(
                in_seconds(_CHECK_ANSWERS_MS), self._check_answers
            )

    def _check_idle(self) -> None:
        """End connections that are idle for too long, now and later."""
        idle = self._context.idle
        timeout_ms = self._context.limits.idle_timeout_ms
        now = self._clock.now()
        for number in idle.take_expired(timeout_ms, now):
            self._by_number[number].mailbox.post(IdleEnded())
        left_ms = idle.find_next_ms(timeout_ms, now) - now
        self._idle_check = asyncio.get_running_loop().call_later(
            in_seconds(max(left_ms, _IDLE_POLL_MS)), self._check_idle
        )

    def _report_use(self) -> None:
        """Tell the metrics what callers hold, now and later."""
        context = self._context
        context.metrics.post(
            read_use(context.gate.account, context.answers, context.table)
        )
        self._report = asyncio.get_running_loop().call_later(
            in_seconds(_REPORT_MS), self._report_use
        )

    def _check_answers(self) -> None:
        self._answer_check = None
        answers = self._context.answers
        held = [
            HeldAnswer(
                number,
                answers.size_of(number),
                self._by_number[number].stream.blocked_ms,
            )
            for number in answers.list_numbers()
        ]
        for number in find_untaken(answers.budget, held):
            answers.drops += 1
            log_event(
                _logger,
                Event.ANSWER_DROPPED,
                size=answers.size_of(number),
                used=answers.budget.used,
                limit=answers.budget.limit,
            )
            self._by_number[number].mailbox.post(
                ConnectionEnded(EndCause.UNTAKEN)
            )
        if held:
            self._change_answer_bytes(0)

    async def drain(self, accept_ms: int, finish_ms: int) -> int:
        """Accept connections for a while, then finish requests in flight.

        Each connection is closed by its next answer. After ``accept_ms``, idle
        ones are closed too, so that callers connect to other VMs.

        :return: the number of requests still in flight after ``finish_ms``,
            which are cut off.
        """
        self._context.is_draining = True
        self._context.cut_off_ms = self._clock.now() + accept_ms + finish_ms
        self._post_to_all(DrainStarted())
        await asyncio.sleep(in_seconds(accept_ms))
        until_ms = self._clock.now() + finish_ms
        for listener in self._listeners:
            # A close would reset the connections that wait.
            for accepted in accept_waiting(listener, _BACKLOG):
                self._handle_connection(*accepted)
        self.stop()
        await asyncio.sleep(in_seconds(min(_FIRST_REQUEST_MS, finish_ms)))
        self._post_to_all(AcceptEnded())
        await self._wait_for_idle(until_ms)
        await self._wait_for_end(min(until_ms, self._clock.now() + LINGER_MS))
        return sum(connection.is_busy for connection in self._connections)

    async def close(self) -> None:
        """Close all connections."""
        self.stop()
        for timer in (self._answer_check, self._report, self._idle_check):
            if timer is not None:
                timer.cancel()
        tasks = list(self._connections.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _post_to_all(self, event: DrainStarted | AcceptEnded) -> None:
        for connection in self._connections:
            connection.mailbox.post(event)

    async def _wait_for_idle(self, until_ms: int) -> None:
        """Wait until no request is in flight."""
        while self._clock.now() < until_ms:
            await asyncio.sleep(in_seconds(_DRAIN_POLL_MS))
            if not any(connection.is_busy for connection in self._connections):
                return

    async def _wait_for_end(self, until_ms: int) -> None:
        """Wait until all connections are closed."""
        while self._connections and self._clock.now() < until_ms:
            await asyncio.sleep(in_seconds(_DRAIN_POLL_MS))


def _log_dropped_connection(table: ConnectionTable, address: str) -> None:
    log_event(
        _logger,
        Event.CONNECTION_DROPPED,
        newcomer=address,
        open=table.count,
        limit=table.limit,
    )
