"""Serves one connection of a caller."""

import asyncio
import contextlib
import functools
import socket
from dataclasses import dataclass
from typing import Final

from tornado.iostream import StreamClosedError

from ibisjunction.bodies.gate import BodyHold
from ibisjunction.clock import in_seconds
from ibisjunction.entry.callers.answer_writer import AnswerWriter
from ibisjunction.entry.callers.answers import make_answer
from ibisjunction.entry.callers.caller_stream import CallerStream
from ibisjunction.entry.callers.connection_context import ConnectionContext
from ibisjunction.entry.callers.connection_tasks import ConnectionTasks
from ibisjunction.entry.callers.connection_use import ConnectionUse
from ibisjunction.entry.callers.idle_connections import IdleEnded
from ibisjunction.entry.callers.incoming import IncomingRequest, RequestReader
from ibisjunction.entry.callers.pipeline import (
    AcceptEnded,
    AnswerWritten,
    CallerLeft,
    CloseConnection,
    Effect,
    HeadRead,
    OutcomeReady,
    Pipeline,
    PipelineEvent,
    ReadFailed,
    ReadRequest,
    RequestRead,
    SendContinue,
    StartRequest,
    WriteAnswer,
)
from ibisjunction.entry.model import (
    CallerRequest,
    Failed,
    Outcome,
    Reason,
    Refused,
    RoutedRequest,
)
from ibisjunction.entry.serving.reporting import log_outcome, measure_outcome
from ibisjunction.entry.serving.trail import Trail
from ibisjunction.events import Event
from ibisjunction.mailbox import Mailbox
from ibisjunction.verdict import Verdict

#: Time in which the caller may close the connection after the last answer. A
#: connection that is closed with unread bytes is reset, and the caller could
#: lose the answer.
LINGER_MS: Final = 1000


@dataclass(frozen=True, slots=True)
class _Received:
    """A request was read."""

    number: int
    incoming: IncomingRequest


@dataclass(frozen=True, slots=True)
class _Served:
    """The outcome of a request is known."""

    number: int
    outcome: Outcome


_Message = PipelineEvent | _Received | _Served | IdleEnded


@dataclass(slots=True)
class _Exchange:
    """A request of this connection until its answer is written."""

    request: CallerRequest
    routed: RoutedRequest | Refused
    trail: Trail
    held: BodyHold
    outcome: Outcome | None = None
    task: 'asyncio.Task[None] | None' = None

    @property
    def is_started(self) -> bool:
        """Whether the request was or is being served."""
        return self.task is not None or self.outcome is not None

    def release_body(self) -> None:
        """Free the memory of the body, which is not sent again.

        Objects that are part of reference cycles may still refer to it.
        """
        self.held.release()
        _empty_body(self.request)


class CallerConnection:
    """Reads requests, has them served, and writes the answers in order.

    The task that runs :meth:`run` owns the stream.
    """

    def __init__(
        self,
        stream: CallerStream,
        context: ConnectionContext,
        number: int,
        address: str,
    ) -> None:
        """Take over an accepted connection.

        :param number: identifies the connection in the tables of the context.
        :param address: the host of the caller.
        """
        self.number = number
        self.stream = stream
        self._context = context
        self._reader = RequestReader(
            stream,
            context.names,
            context.clock,
            self,
            context.gate,
            address,
            context.link,
        )
        self._writer = AnswerWriter(stream, context)
        self._pipeline = Pipeline(is_draining=context.is_draining)
        self._exchanges: dict[int, _Exchange] = {}
        self._to_read: Mailbox[int] = Mailbox()
        self._reading_number = 0
        self._use = ConnectionUse(context, number)
        self._is_open = True
        self._is_answered = False
        self._has_accept_ended = False
        self.mailbox: Mailbox[_Message] = Mailbox()
        self._tasks = ConnectionTasks(self.mailbox)

    @property
    def is_busy(self) -> bool:
        """Whether a request is arriving, read or served."""
        return self._is_open and self._has_request

    @property
    def _has_request(self) -> bool:
        """Whether a request is served, or a part of one has arrived.

        One that was just read may be among the queued messages.
        """
        return (
            self._pipeline.request_count > 0
            or self._reader.has_begun
            or not self.mailbox.is_empty
            or self.stream.has_unread
        )

    async def run(self) -> None:
        """Serve the connection until it is closed."""
        self.stream.set_close_callback(
            functools.partial(self.mailbox.post, CallerLeft())
        )
        self._tasks.start(self._read_requests(), ReadFailed())
        self._count_idle()
        try:
            self._execute(self._pipeline.start())
            while self._is_open:
                self._handle(await self.mailbox.get())
                if self._has_accept_ended and not self._has_request:
                    self._execute(self._pipeline.handle(AcceptEnded()))
            await self._linger()
        finally:
            self._end()

    def on_head(
        self,
        host: str,
        target: str,
        *,
        expects_continue: bool,
        awaits_body: bool,
    ) -> int | None:
        """Record that the head of a request was read.

        :return: the timeout in ms of its route for a body that follows.
        """
        self.mailbox.post(HeadRead(self._reading_number, expects_continue))
        if not awaits_body:
            return None
        return self._context.processor.find_timeout_ms(host, target)

    def _handle(self, message: '_Message') -> None:
        """Process one message."""
        event: PipelineEvent
        match message:
            case IdleEnded() if self._has_request:
                self._count_idle()
                return
            case IdleEnded():
                event = CallerLeft()
            case AcceptEnded():
                self._has_accept_ended = True
                return
            case _Received(number=number, incoming=incoming):
                event = self._add_exchange(number, incoming)
            case _Served(number=number, outcome=outcome):
                event = self._record_outcome(number, outcome)
            case AnswerWritten(number=number) as event:
                self._end_exchange(number)
            case event:
                pass
        self._execute(
            self._pipeline.handle(event, has_room=self._context.has_room)
        )
        self._count_use()
        self._count_idle()

    def _add_exchange(
        self, number: int, incoming: IncomingRequest
    ) -> RequestRead:
        request = incoming.request
        routed = incoming.refusal or self._context.processor.route(request)
        self._exchanges[number] = _Exchange(
            request,
            routed,
            Trail(request.request_id, request.arrived_ms),
            incoming.held,
        )
        return RequestRead(
            number,
            incoming.size,
            isinstance(routed, Refused) or routed.is_idempotent,
            incoming.is_last,
        )

    def _record_outcome(self, number: int, outcome: Outcome) -> OutcomeReady:
        exchange = self._exchanges[number]
        exchange.outcome = outcome
        exchange.release_body()
        return OutcomeReady(number, len(getattr(outcome, 'body', b'')))

    def _count_idle(self) -> None:
        """Record whether this connection waits for a request."""
        idle = self._context.idle
        if self._is_open and not self._pipeline.request_count:
            idle.add(self.number, self._context.clock.now())
        else:
            idle.remove(self.number)

    def _count_use(self) -> None:
        """Count what this connection holds among what all hold."""
        pipeline = self._pipeline
        exchanges = self._exchanges.values()
        self._use.update(
            pipeline.held_bytes if pipeline.request_count > 1 else 0,
            sum(
                len(getattr(exchange.outcome, 'body', b''))
                for exchange in exchanges
            ),
            is_busy=any(exchange.is_started for exchange in exchanges),
        )

    def _execute(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case ReadRequest(number=number):
                    self._to_read.post(number)
                case SendContinue():
                    self._writer.send_continue()
                case StartRequest(number=number, ahead=ahead):
                    self._start_request(number, ahead)
                case WriteAnswer(number=number, is_last=is_last):
                    self._is_answered = is_last
                    self._tasks.start(
                        self._write_answer(number, is_last=is_last),
                        CallerLeft(),
                    )
                case CloseConnection():
                    # What still runs is cancelled at the end of the task.
                    self._is_open = False

    def _start_request(self, number: int, ahead: int) -> None:
        exchange = self._exchanges[number]
        routed = exchange.routed
        if ahead:
            now = self._context.clock.now()
            exchange.trail.add(Event.REQUEST_OVERLAPS, now, ahead=ahead)
        if isinstance(routed, Refused):
            self.mailbox.post(_Served(number, routed))
        else:
            exchange.task = self._tasks.start(
                self._serve(number, routed, exchange),
                _Served(number, Failed(Reason.BROKEN)),
            )

    async def _serve(
        self, number: int, routed: RoutedRequest, exchange: _Exchange
    ) -> None:
        try:
            outcome = await self._context.processor.serve(
                routed, exchange.trail
            )
        finally:
            # The connection to the upstream is closed or done with the body.
            exchange.release_body()
        self.mailbox.post(_Served(number, outcome))

    async def _write_answer(self, number: int, *, is_last: bool) -> None:
        """Write an answer, and wait until it is written to the socket."""
        exchange = self._exchanges[number]
        outcome = exchange.outcome or Failed(Reason.BROKEN)
        if not self._writer.has_time_for(len(getattr(outcome, 'body', b''))):
            outcome = Failed(Reason.SHUTTING_DOWN, Verdict.RAN)
            exchange.outcome = outcome
        answer = make_answer(
            exchange.request,
            outcome,
            self._context.names,
            is_last=is_last,
        )
        try:
            await self._writer.write(answer, exchange.routed)
        except (StreamClosedError, TimeoutError):
            self.mailbox.post(CallerLeft())
        else:
            self.mailbox.post(AnswerWritten(number))

    async def _read_requests(self) -> None:
        """Read a request whenever the pipeline has room for one."""
        reader = self._reader
        with contextlib.suppress(StreamClosedError):
            while True:
                number = await self._to_read.get()
                self._reading_number = number
                await reader.wait()
                # The operators may have changed the limits meanwhile.
                incoming = await reader.read(self._context.limits)
                # A new connection must not displace it before it is handled.
                self._context.table.mark(self.number, is_busy=True)
                self.mailbox.post(_Received(number, incoming))

    async def _linger(self) -> None:
        """Let the caller close the connection after its last answer."""
        if not self._is_answered or self.stream.closed():
            return
        with contextlib.suppress(OSError, TimeoutError):
            self.stream.socket.shutdown(socket.SHUT_WR)
            async with asyncio.timeout(in_seconds(LINGER_MS)):
                message = await self.mailbox.get()
                while not isinstance(message, CallerLeft):
                    message = await self.mailbox.get()

    def _end_exchange(self, number: int) -> None:
        """Log and measure a request whose answer was written."""
        exchange = self._exchanges.pop(number)
        now = self._context.clock.now()
        outcome = exchange.outcome or Failed(Reason.BROKEN)
        _report(self._context, exchange, outcome, now)

    def _end(self) -> None:
        """Stop all tasks, close the stream, and log what was not answered."""
        self._is_open = False
        self._use.end()
        self._context.idle.remove(self.number)
        self._tasks.cancel()
        self.stream.close()
        self.stream.forget_received()
        for message in self.mailbox.take_queued():
            if isinstance(message, _Received):
                message.incoming.held.release()
                _empty_body(message.incoming.request)
        now = self._context.clock.now()
        for exchange in self._exchanges.values():
            exchange.release_body()
            outcome = Failed(Reason.CALLER_GONE)
            if not exchange.is_started:
                outcome = Failed(Reason.BEHIND_LAST, Verdict.NOT_RUN)
            _report(self._context, exchange, outcome, now)
        # This object is part of reference cycles, which are freed later.
        self._exchanges.clear()


def _empty_body(request: CallerRequest) -> None:
    if isinstance(request.body, bytearray):
        # A connection to an upstream may still refer to it until it is closed.
        with contextlib.suppress(BufferError):
            request.body.clear()


def _report(
    context: ConnectionContext, exchange: _Exchange, outcome: Outcome, now: int
) -> None:
    """Log and measure a request."""
    trail = exchange.trail
    log_outcome(trail, exchange.routed, outcome, now)
    context.metrics.post(
        measure_outcome(exchange.routed, outcome, now - trail.arrived_ms)
    )
