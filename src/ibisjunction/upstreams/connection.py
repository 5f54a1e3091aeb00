"""One connection to an upstream, owned by one task.

The task keeps its stream open between exchanges. An exchange that does not end
with a complete answer closes the stream, so no later exchange can receive a
late answer.
"""

import asyncio
import contextlib
from collections import deque
from collections.abc import Awaitable
from dataclasses import dataclass
from http import HTTPStatus
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
from tornado.iostream import StreamClosedError

from ibisjunction.clock import Clock, in_seconds
from ibisjunction.heads import is_final_status, is_interim_status
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
    BodySource,
    Exchange,
    ExchangeFailed,
    StopConnection,
)
from ibisjunction.upstreams.protocol import REQUEST_ID_HEADER
from ibisjunction.upstreams.stream import UpstreamStream, make_stream
from ibisjunction.verdict import Verdict

#: Connecting takes about 1 ms. An upstream that exceeds this timeout counts as
#: not accepting connections.
_CONNECT_TIMEOUT_MS: Final = 250
#: Ids of requests that a connection remembers. A request is sent again within
#: seconds, so it is among the latest ones.
_MAX_SENT_IDS: Final = 64
_HTTP_PARAMETERS: Final = HTTP1ConnectionParameters(
    chunk_size=CHUNK_BYTES,
    max_body_size=MAX_BODY_BYTES,
)
_STATUSES_WITHOUT_BODY: Final = frozenset(
    (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED),
)


class ConnectionTask:
    """Performs exchanges with one upstream, one at a time."""

    def __init__(self, address: Address, clock: Clock) -> None:
        """Prepare the task; the stream is opened by the first exchange."""
        self._address = address
        self._clock = clock
        self._stream: UpstreamStream | None = None
        self._is_idle = True
        self._is_stopped = False
        self._idle_since_ms = clock.now()
        self._answer_parts: Mailbox[AnswerPart] | None = None
        self._sent_ids: deque[str] = deque(maxlen=_MAX_SENT_IDS)
        self.mailbox: Mailbox[Exchange | StopConnection] = Mailbox()

    def has_sent(self, request_id: str) -> bool:
        """Return whether this connection has carried a request before.

        A faulty upstream may write the earlier answer to it once more, which
        can't be told from the answer to a new attempt.
        """
        return request_id in self._sent_ids

    def can_reuse(self, max_idle_ms: int) -> bool:
        """Return whether the stream can carry another exchange.

        It can if its last exchange ended with a complete answer at
        most ``max_idle_ms`` ago and nothing has arrived since.
        """
        if self._stream is None or not self._is_idle:
            return False
        if not self.mailbox.is_empty:
            return False
        if self._clock.now() - self._idle_since_ms > max_idle_ms:
            return False
        return self._stream.is_clean

    def stop(self) -> None:
        """End the task and abandon an exchange in progress.

        A message ends the task, because a cancellation may not: if it arrives
        while tornado awaits its delegate, tornado handles it as an error of
        the delegate.
        """
        self._is_stopped = True
        self.mailbox.post(StopConnection())
        if self._answer_parts is not None:
            self._answer_parts.close()
        if self._stream is not None:
            self._stream.close()

    async def run(self) -> None:
        """Perform exchanges until stopped."""
        try:
            while True:
                message = await self.mailbox.get()
                if self._is_stopped or isinstance(message, StopConnection):
                    return
                await self._perform(message)
        finally:
            self._close()

    async def _perform(self, exchange: Exchange) -> None:
        self._is_idle = False
        self._answer_parts = exchange.answer_parts
        try:
            last_part = await self._connect_and_exchange(exchange)
        except (StreamClosedError, OSError) as error:
            last_part = self._describe_loss(f'{error}')
        if isinstance(last_part, ExchangeFailed):
            self._close()
        self._idle_since_ms = self._clock.now()
        self._is_idle = True
        await exchange.answer_parts.put(last_part)

    async def _connect_and_exchange(
        self,
        exchange: Exchange,
    ) -> AnswerEnd | ExchangeFailed:
        try:
            stream = await self._get_or_open_stream()
        except (OSError, StreamClosedError, TimeoutError) as error:
            return ExchangeFailed(
                Reason.CONNECT_FAILED,
                Verdict.NOT_RUN,
                f'{self._address}: {error}',
            )
        # No await separates these checks from the write of the headers, so no
        # request is started after a stop or the end of the lease.
        if self._is_stopped:
            return ExchangeFailed(Reason.CALLER_GONE, Verdict.NOT_RUN)
        if self._clock.now() >= exchange.start_before_ms:
            return ExchangeFailed(Reason.NOT_LEASED, Verdict.NOT_RUN)
        return await self._send_and_receive(exchange, stream)

    async def _send_and_receive(
        self,
        exchange: Exchange,
        stream: UpstreamStream,
    ) -> AnswerEnd | ExchangeFailed:
        connection = HTTP1Connection(
            stream,
            is_client=True,
            params=_HTTP_PARAMETERS,
        )
        receiver = _AnswerReceiver(
            exchange, connection, is_first=not self._sent_ids
        )
        if exchange.request_id is not None:
            self._sent_ids.append(exchange.request_id)
        connection.write_headers(
            RequestStartLine(exchange.method, exchange.target, 'HTTP/1.1'),
            _make_headers(exchange),
        )
        async with run_task(
            _send_body(connection, exchange.body, receiver),
            'send body',
        ):
            # In HTTP a close may mark the end of an answer without a length.
            # The receiver rejects such answers, so every early close is a
            # failure.
            with contextlib.suppress(StreamClosedError):
                await connection.read_response(receiver)
        if receiver.failure is not None:
            return receiver.failure
        if not receiver.is_complete:
            return self._describe_loss(f'{stream.error or "closed"}')
        if stream.has_unread_bytes:
            return ExchangeFailed(
                Reason.BAD_ANSWER,
                Verdict.RAN,
                'bytes follow the answer',
            )
        if receiver.last_chunk:
            await exchange.answer_parts.put(AnswerChunk(receiver.last_chunk))
        if receiver.closes_connection:
            self._close()
        return AnswerEnd()

    def _describe_loss(self, detail: str) -> ExchangeFailed:
        return ExchangeFailed(
            Reason.CONNECTION_LOST,
            Verdict.MAY_HAVE_RUN,
            f'{self._address}: {detail}',
        )

    async def _get_or_open_stream(self) -> UpstreamStream:
        if self._stream is not None and self._stream.is_clean:
            return self._stream
        self._close()
        self._stream = make_stream(self._address)
        async with asyncio.timeout(in_seconds(_CONNECT_TIMEOUT_MS)):
            await self._stream.connect(
                (self._address.host, self._address.port),
            )
        self._stream.set_nodelay(True)
        return self._stream

    def _close(self) -> None:
        if self._stream is not None:
            self._stream.close()
            self._stream = None


@dataclass(slots=True)
class _Framing:
    """Number of body bytes still to arrive.

    It is ``None`` if the answer has no declared length or no body.
    """

    remaining_bytes: int | None


class _AnswerReceiver(HTTPMessageDelegate):
    """Puts the parts of an answer into the exchange's mailbox.

    The chunk that completes a declared length is withheld in ``last_chunk``
    until it is certain that no byte follows it.
    """

    def __init__(
        self,
        exchange: Exchange,
        connection: HTTP1Connection,
        *,
        is_first: bool,
    ) -> None:
        self._exchange = exchange
        self._is_first = is_first
        self._connection = connection
        self._framing = _Framing(None)
        self.is_request_body_sent = False
        self.is_complete = False
        self.closes_connection = False
        self.last_chunk = b''
        self.failure: ExchangeFailed | None = None

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Pass on status and headers; interim answers (1xx) are skipped."""
        if isinstance(start_line, RequestStartLine):
            return None
        if is_interim_status(start_line.code):
            return None
        self.failure = self._check_head(start_line, headers)
        if self.failure is not None:
            self._connection.close()
            return None
        self.closes_connection = (
            _closes_connection(start_line, headers)
            or self._echoed_id(headers) != self._exchange.request_id
        )
        header_list = tuple(headers.get_all())
        return self._exchange.answer_parts.put(
            AnswerHead(start_line.code, header_list)
        )

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Pass on a chunk of the body; reading waits for room in the mailbox.

        After a failure chunks are dropped: tornado still delivers bytes that it
        read before the connection was closed.
        """
        if self.failure is not None:
            return None
        if self._framing.remaining_bytes is not None:
            self._framing.remaining_bytes -= len(chunk)
            if self._framing.remaining_bytes == 0:
                self.last_chunk = chunk
                return None
        return self._exchange.answer_parts.put(AnswerChunk(chunk))

    def finish(self) -> None:
        """Record that the answer arrived completely.

        An upstream may answer before it has read the whole request. The rest
        of the request is then not sent and the connection is closed, because
        the upstream may not be reading any more.
        """
        self.is_complete = True
        if not self.is_request_body_sent:
            self._connection.close()

    def _echoed_id(self, headers: HTTPHeaders) -> str | None:
        """Return the id in an answer, or ``None`` if it is not checked."""
        if self._exchange.request_id is None:
            return None
        return headers.get(REQUEST_ID_HEADER)

    def _check_head(
        self,
        start_line: ResponseStartLine,
        headers: HTTPHeaders,
    ) -> ExchangeFailed | None:
        if not is_final_status(start_line.code):
            return ExchangeFailed(
                Reason.BAD_ANSWER,
                Verdict.MAY_HAVE_RUN,
                f'the status {start_line.code} is not valid',
            )
        echoed_id = self._echoed_id(headers)
        # An answer without an id is only told from an earlier one on a new
        # connection.
        is_own = echoed_id == self._exchange.request_id or (
            echoed_id is None and self._is_first
        )
        if not is_own:
            return ExchangeFailed(
                Reason.BAD_ANSWER,
                Verdict.MAY_HAVE_RUN,
                f'the answer belongs to request {echoed_id or "without an id"}',
            )
        if (
            start_line.code in _STATUSES_WITHOUT_BODY
            or self._exchange.method == 'HEAD'
        ):
            return None
        if 'Transfer-Encoding' in headers:
            return None
        length = headers.get('Content-Length', '')
        if not length.isdecimal():
            return ExchangeFailed(
                Reason.BAD_ANSWER,
                Verdict.RAN,
                'the answer states no valid length',
            )
        self._framing.remaining_bytes = int(length)
        return None


def _closes_connection(
    start_line: ResponseStartLine,
    headers: HTTPHeaders,
) -> bool:
    option = headers.get('Connection', '').lower()
    if start_line.version == 'HTTP/1.0':
        return option != 'keep-alive'
    return option == 'close'


def _make_headers(exchange: Exchange) -> HTTPHeaders:
    headers = HTTPHeaders()
    for name, value in exchange.headers:
        headers.add(name, value)
    return headers


async def _send_body(
    connection: HTTP1Connection,
    body: BodySource,
    receiver: _AnswerReceiver,
) -> None:
    """Send the body of the request.

    If the caller is gone, close the connection, so that reading the answer
    fails.
    """
    with contextlib.suppress(StreamClosedError):
        while True:
            match await body.get():
                case BodyChunk(chunk=chunk):
                    await connection.write(chunk)
                case BodyEnd():
                    receiver.is_request_body_sent = True
                    connection.finish()
                    return
                case _:
                    connection.close()
                    return
