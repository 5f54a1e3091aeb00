"""One connection to an upstream, owned by one task.

The task keeps its stream open between exchanges. An exchange that does not end
with a whole answer closes the stream.
"""

import asyncio
import contextlib
from collections.abc import Awaitable
from typing import Final

from tornado.http1connection import (
    HTTP1Connection,
    HTTP1ConnectionParameters,
)
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from ibisjunction.clock import Clock, in_seconds
from ibisjunction.limits import CHUNK_BYTES, MAX_BODY_BYTES
from ibisjunction.mailbox import Mailbox, run_task
from ibisjunction.outcomes import Reason
from ibisjunction.settings import Address
from ibisjunction.upstreams.messages import (
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    AnswerPart,
    BodyChunk,
    BodyEnd,
    BodyPart,
    Exchange,
    ExchangeFailed,
)
from ibisjunction.verdict import Verdict

#: A connection costs about a millisecond; an upstream that takes this long
#: does not accept connections.
_CONNECT_TIMEOUT_MS: Final = 250
_PARAMETERS: Final = HTTP1ConnectionParameters(
    chunk_size=CHUNK_BYTES,
    max_body_size=MAX_BODY_BYTES,
)


class ConnectionTask:
    """Sends exchanges to one upstream, one at a time."""

    def __init__(self, address: Address, clock: Clock) -> None:
        """Prepare the task; the stream is opened by the first exchange."""
        self._address = address
        self._clock = clock
        self._stream: IOStream | None = None
        self.mailbox: Mailbox[Exchange] = Mailbox()

    @property
    def is_open(self) -> bool:
        """Whether the stream can take another exchange."""
        return self._stream is not None and not self._stream.closed()

    async def run(self) -> None:
        """Perform exchanges until cancelled."""
        try:
            while True:
                await self._perform(await self.mailbox.get())
        finally:
            self._close()

    async def _perform(self, exchange: Exchange) -> None:
        is_complete = False
        try:
            is_complete = await self._connect_and_send(exchange)
        finally:
            if not is_complete:
                self._close()

    async def _connect_and_send(self, exchange: Exchange) -> bool:
        try:
            stream = await self._open_stream()
        except (OSError, StreamClosedError, TimeoutError) as error:
            await exchange.answers.put(
                ExchangeFailed(
                    Reason.CONNECT_FAILED,
                    Verdict.NOT_RUN,
                    f'{self._address}: {error}',
                ),
            )
            return False
        if self._clock.now() >= exchange.start_before_ms:
            await exchange.answers.put(
                ExchangeFailed(Reason.NOT_LEASED, Verdict.NOT_RUN),
            )
            return False
        return await self._exchange(exchange, stream)

    async def _exchange(self, exchange: Exchange, stream: IOStream) -> bool:
        connection = HTTP1Connection(
            stream,
            is_client=True,
            params=_PARAMETERS,
        )
        receiver = _AnswerReceiver(exchange.answers)
        async with run_task(_send(connection, exchange), 'send request'):
            # Raised if the upstream closes without a byte of an answer.
            with contextlib.suppress(StreamClosedError):
                await connection.read_response(receiver)
        if receiver.is_complete:
            await exchange.answers.put(AnswerEnd())
            return not stream.closed()
        await exchange.answers.put(
            ExchangeFailed(
                Reason.CONNECTION_LOST,
                Verdict.MAY_HAVE_RUN,
                str(self._address),
            ),
        )
        return False

    async def _open_stream(self) -> IOStream:
        if self._stream is not None and not self._stream.closed():
            return self._stream
        self._stream = await TCPClient().connect(
            self._address.host,
            self._address.port,
            timeout=in_seconds(_CONNECT_TIMEOUT_MS),
        )
        self._stream.set_nodelay(True)
        return self._stream

    def _close(self) -> None:
        if self._stream is not None:
            self._stream.close()
            self._stream = None


class _AnswerReceiver(HTTPMessageDelegate):
    """Puts the parts of an answer into the exchange's mailbox."""

    def __init__(self, answers: Mailbox[AnswerPart]) -> None:
        self._answers = answers
        self.is_complete = False

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Pass on status and headers of a final answer."""
        if isinstance(start_line, RequestStartLine):
            return None
        fields = tuple(headers.get_all())
        return self._answers.put(AnswerHead(start_line.code, fields))

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Pass on a part of the body; reading waits until it is taken."""
        return self._answers.put(AnswerChunk(chunk))

    def finish(self) -> None:
        """Note that the whole answer arrived."""
        self.is_complete = True


async def _send(connection: HTTP1Connection, exchange: Exchange) -> None:
    headers = HTTPHeaders()
    for name, text in exchange.headers:
        headers.add(name, text)
    start_line = RequestStartLine(exchange.method, exchange.target, 'HTTP/1.1')
    try:
        await connection.write_headers(start_line, headers)
        await _send_body(connection, exchange.body)
    except (StreamClosedError, asyncio.CancelledError):
        return


async def _send_body(
    connection: HTTP1Connection,
    body: Mailbox[BodyPart],
) -> None:
    while True:
        part = await body.get()
        match part:
            case BodyChunk(chunk=chunk):
                await connection.write(chunk)
            case BodyEnd():
                connection.finish()
                return
            case _:
                return
