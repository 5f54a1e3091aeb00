"""Serves one connection of a caller."""

import asyncio
import contextlib
import socket
from dataclasses import dataclass
from typing import Final

from tornado.iostream import StreamClosedError

from ibisjunction.clock import in_seconds
from ibisjunction.entry.callers.answer_writer import AnswerWriter
from ibisjunction.entry.callers.answers import make_answer
from ibisjunction.entry.callers.caller_stream import CallerStream
from ibisjunction.entry.callers.connection_context import ConnectionContext
from ibisjunction.entry.callers.connection_ends import (
    EndCause,
)
from ibisjunction.entry.callers.connection_tasks import ConnectionTasks
from ibisjunction.entry.callers.connection_use import ConnectionUse
from ibisjunction.entry.callers.exchanges import (
    Exchange,
    ExchangeTable,
    empty_body,
)
from ibisjunction.entry.callers.idle_connections import IdleEnded
from ibisjunction.entry.callers.incoming import IncomingRequest, RequestReader
from ibisjunction.entry.callers.pipeline import (
    AcceptEnded,
    AnswerWritten,
    CloseConnection,
    ConnectionEnded,
    Effect,
    HeadRead,
    Pipeline,
    PipelineEvent,
    ReadFailed,
    ReadRequest,
    SendContinue,
    StartRequest,
    WriteAnswer,
)
from ibisjunction.entry.model import (
    Failed,
    Outcome,
    Reason,
    Refused,
    RoutedRequest,
)
from ibisjunction.entry.serving.phases import Phase
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
        self._exchanges = ExchangeTable(context)
        self._to_read: Mailbox[int] = Mailbox()
        self._reading_number = 0
        self._use = ConnectionUse(context, number)
        self._is_open = True
        self._is_answered = False
        self._end_cause = EndCause.FAILED
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
        self.stream.set_close_callback(self._on_close)
        self._tasks.start(self._read_requests(), ReadFailed())
        self._count_idle()
        try:
            await self._handle_messages()
            await self._linger()
        except asyncio.CancelledError:
            self._end_cause = EndCause.PROCESS_ENDED
            raise
        finally:
            self._end()

    async def _handle_messages(self) -> None:
        self._execute(self._pipeline.start())
        while self._is_open:
            self._handle(await self.mailbox.get())
            if self._has_accept_ended and not self._has_request:
                self._execute(self._pipeline.handle(AcceptEnded()))

    def _on_close(self) -> None:
        is_reset = isinstance(self.stream.error, ConnectionError)
        cause = EndCause.CALLER_RESET if is_reset else EndCause.CALLER_CLOSED
        self.mailbox.post(ConnectionEnded(cause))

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
                event = ConnectionEnded(EndCause.IDLE)
            case AcceptEnded():
                self._has_accept_ended = True
                return
            case _Received(number=number, incoming=incoming):
                event = self._exchanges.add(number, incoming)
            case _Served(number=number, outcome=outcome):
                event = self._exchanges.record_outcome(number, outcome)
            case AnswerWritten(number=number) as event:
                self._exchanges.finish(number)
            case event:
                pass
        self._execute(
            self._pipeline.handle(event, has_room=self._context.has_room)
        )
        self._count_use()
        self._count_idle()

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
        self._use.update(
            pipeline.held_bytes if pipeline.request_count > 1 else 0,
            self._exchanges.answer_bytes,
            is_busy=self._exchanges.has_started,
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
                        ConnectionEnded(EndCause.FAILED),
                    )
                case CloseConnection(cause=cause):
                    # What still runs is cancelled at the end of the task.
                    self._is_open = False
                    self._end_cause = cause

    def _start_request(self, number: int, ahead: int) -> None:
        exchange = self._exchanges.get(number)
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
        self, number: int, routed: RoutedRequest, exchange: Exchange
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
        exchange = self._exchanges.get(number)
        exchange.trail.phases.enter(Phase.WRITE, self._context.clock.now())
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
        except StreamClosedError:
            self._on_close()
        except TimeoutError:
            self.mailbox.post(ConnectionEnded(EndCause.WRITE_TIMED_OUT))
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
                while not isinstance(message, ConnectionEnded):
                    message = await self.mailbox.get()

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
                empty_body(message.incoming.request)
        self._exchanges.cut_off(self._end_cause)
