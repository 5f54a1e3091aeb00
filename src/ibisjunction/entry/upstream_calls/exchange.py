"""One exchange with an upstream over a persistent connection.

An answer is buffered completely before it is forwarded, so that a truncated
answer never reaches a caller.
"""

import asyncio
import contextlib
import socket
from collections import deque
from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass, field
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

from ibisjunction.byte_budget import ByteBudget
from ibisjunction.clock import MS_PER_S, in_seconds
from ibisjunction.entry.link.transfers import (
    BulkTransfer,
    make_free_transfer,
    measure_fields,
    split_body,
)
from ibisjunction.entry.model import HeaderFields
from ibisjunction.entry.upstream_calls.link_stream import (
    LinkStream,
    make_link_stream,
)
from ibisjunction.heads import is_final_status, parse_number
from ibisjunction.mailbox import run_task
from ibisjunction.settings import Address
from ibisjunction.upstreams.stream import UpstreamStream

_FREE: Final = make_free_transfer()
#: An upstream that does not accept a connection within this time counts as
#: unreachable, unless others take long as well. The time allows for the
#: retransmission of a lost packet, which takes 200 ms or more.
CONNECT_TIMEOUT_MS: Final = 600
#: Answers are buffered completely; one larger than 64 MiB is not forwarded.
_MAX_ANSWER_BYTES: Final = 67_108_864
_PARAMETERS: Final = HTTP1ConnectionParameters(
    # The reader of the answer decides on the size of pieces.
    chunk_size=_MAX_ANSWER_BYTES,
    max_body_size=_MAX_ANSWER_BYTES,
)
#: Maximum number of answers to earlier requests that are skipped on a reused
#: connection.
_MAX_STALE_ANSWERS: Final = 2
#: Ids of requests that a connection remembers. A request is sent again within
#: seconds, so it is among the latest ones.
_MAX_SENT_IDS: Final = 64
#: A connection whose peer answers no keepalive probe fails after about 3 s.
_KEEPALIVE_IDLE_S: Final = 1
_KEEPALIVE_INTERVAL_S: Final = 1
_KEEPALIVE_PROBES: Final = 2
#: A connection fails if sent data stays unacknowledged for this time.
_USER_TIMEOUT_MS: Final = 2500


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """A request as it is sent to an upstream."""

    method: str
    target: str
    headers: HeaderFields
    body: bytes | bytearray

    def is_bulky(self, piece_bytes: int) -> bool:
        """Return whether the body crosses the link in pieces."""
        return len(self.body) > piece_bytes and self.method != 'HEAD'

    def count_short(self, piece_bytes: int) -> int:
        """Return the bytes that pass the link without waiting."""
        body_bytes = 0 if self.is_bulky(piece_bytes) else len(self.body)
        return measure_fields(self.headers) + body_bytes

    def encode_head(self) -> bytes:
        """Return the start line and the headers as they are sent.

        :raises ValueError: if one of them contains a line break, with which a
            caller could smuggle a further request.
        """
        lines = [f'{self.method} {self.target} HTTP/1.1']
        lines += [f'{name}: {text}' for name, text in self.headers]
        if any('\r' in line or '\n' in line for line in lines):
            raise ValueError('the head of the request contains a line break')
        return '\r\n'.join((*lines, '', '')).encode('latin1')


@dataclass(frozen=True, slots=True)
class UpstreamAnswer:
    """A complete answer.

    ``keep_alive_ms`` is how long the connection may be idle.
    """

    status: int
    headers: HTTPHeaders
    body: bytes
    keep_alive_ms: int

    @property
    def head_size(self) -> int:
        """Bytes of the headers."""
        return measure_fields(self.headers.get_all())


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request was sent; ``detail`` is for the log.

    ``is_held_back`` is set if this VM decided so, and the upstream did nothing.
    """

    detail: str
    is_held_back: bool = False


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """The request was sent, at least in part, without a complete answer.

    ``is_closed`` is set if the upstream closed the connection.
    """

    detail: str
    is_closed: bool = False


ExchangeResult = UpstreamAnswer | NotSent | NoAnswer


class UpstreamConnection:
    """A connection to one upstream; carries one exchange at a time."""

    def __init__(
        self,
        address: Address,
        default_keep_alive_ms: int,
        budget: ByteBudget | None = None,
        unread_bytes: int | None = None,
    ) -> None:
        """Prepare a connection that :meth:`connect` opens.

        :param budget: bytes of answers that all connections may hold.
        :param unread_bytes: receive buffer of the connection.
        """
        self._address = address
        self._budget = budget
        self._unread_bytes = unread_bytes
        self._default_keep_alive_ms = default_keep_alive_ms
        self._stream: LinkStream | None = None
        self._sent_ids: deque[str] = deque(maxlen=_MAX_SENT_IDS)
        self._sent_before = 0

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent on this connection."""
        return self._stream is not None and self._stream.is_clean

    def may_repeat_answer(self, request_id: str) -> bool:
        """Return whether an earlier answer could pass for that to a request.

        A faulty upstream may write an answer once more. If the connection has
        carried the same request before, or the request has no id, it can't be
        told from the answer to the new exchange.
        """
        return bool(self._sent_ids) and (
            not request_id or request_id in self._sent_ids
        )

    @property
    def has_sent(self) -> bool:
        """Whether a byte of the latest request was passed to the kernel."""
        return (
            self._stream is not None
            and self._stream.sent_bytes > self._sent_before
        )

    def close(self) -> None:
        """Close the connection; the upstream aborts a running request."""
        if self._stream is not None:
            self._stream.close()

    async def connect(
        self, timeout_ms: int = CONNECT_TIMEOUT_MS
    ) -> NotSent | None:
        """Open the connection; return the error if that fails."""
        try:
            stream = make_link_stream(
                self._address,
                self._budget,
                _MAX_ANSWER_BYTES,
                self._unread_bytes,
            )
        except OSError as error:
            return NotSent(f'{type(error).__name__}: {error}')
        self._stream = stream
        try:
            async with asyncio.timeout(in_seconds(timeout_ms)):
                await stream.connect((self._address.host, self._address.port))
        except (OSError, StreamClosedError, TimeoutError) as error:
            stream.close()
            return NotSent(f'{type(error).__name__}: {error}')
        stream.set_nodelay(True)
        _enable_keepalive(stream.socket)
        return None

    async def perform(
        self,
        request: UpstreamRequest,
        id_header: str,
        request_id: str,
        transfer: BulkTransfer = _FREE,
    ) -> ExchangeResult:
        """Send a request and read its answer.

        :param id_header: the header in which the upstream echoes the id of the
            request; an answer with another id belongs to an earlier request.
        :param transfer: where a large body waits for its turns on the link.
        """
        stream = self._stream
        if stream is None or stream.closed():
            return NotSent('the connection is closed')
        self._sent_before = stream.sent_bytes
        try:
            with stream.hold_received(), stream.pace_answers(transfer):
                connection = _write_request(
                    stream, request, transfer.piece_bytes
                )
                async with _send_body(stream, request, transfer):
                    return await self._read_answers(
                        stream, connection, id_header, request_id
                    )
        except (OSError, StreamClosedError, RecursionError) as error:
            # Tornado calls itself for each interim answer, so that an endless
            # series of them ends in a recursion error.
            detail = f'{type(error).__name__}: {error}'
            if not self.has_sent:
                return NotSent(detail)
            return NoAnswer(
                detail, is_closed=not isinstance(error, RecursionError)
            )
        finally:
            if not stream.is_clean:
                stream.close()

    async def _read_answers(
        self,
        stream: UpstreamStream,
        connection: HTTP1Connection,
        id_header: str,
        request_id: str,
    ) -> ExchangeResult:
        # An answer without an id can only be told on a new connection.
        first_id = None if self._sent_ids else request_id
        self._sent_ids.append(request_id)
        for _ in range(_MAX_STALE_ANSWERS + 1):
            with _receive_answer() as receiver:
                await connection.read_response(receiver)
                if not receiver.is_complete(stream):
                    is_closed = stream.closed()
                    stream.close()
                    return NoAnswer(
                        f'{stream.error or "the answer is incomplete"}',
                        is_closed=is_closed,
                    )
                echoed = receiver.headers.get(id_header, first_id)
                if echoed == request_id:
                    return self._make_answer(stream, receiver, id_header)
            connection = _make_reader(stream)
        stream.close()
        return NoAnswer('the upstream answered other requests only')

    def _make_answer(
        self,
        stream: UpstreamStream,
        receiver: '_AnswerReceiver',
        id_header: str,
    ) -> UpstreamAnswer:
        """Return the answer; close the connection if its headers require it.

        After an answer without an id the connection is closed as well, because
        a later one without an id could be the same answer again.
        """
        if _closes_connection(receiver) or id_header not in receiver.headers:
            stream.close()
        return UpstreamAnswer(
            receiver.status,
            receiver.headers,
            b''.join(receiver.chunks),
            _parse_keep_alive_ms(receiver.headers, self._default_keep_alive_ms),
        )


def _write_request(
    stream: UpstreamStream, request: UpstreamRequest, piece_bytes: int
) -> HTTP1Connection:
    """Write a request without a large body; return what reads the answer."""
    if request.is_bulky(piece_bytes):
        return _make_reader(stream)
    connection = HTTP1Connection(stream, is_client=True, params=_PARAMETERS)
    headers = HTTPHeaders()
    for name, text in request.headers:
        headers.add(name, text)
    write_future = connection.write_headers(
        RequestStartLine(request.method, request.target, 'HTTP/1.1'),
        headers,
        bytes(request.body) or None,
    )
    write_future.add_done_callback(_consume_exception)
    connection.finish()
    return connection


def _make_reader(stream: UpstreamStream) -> HTTP1Connection:
    """Return a connection object that only reads an answer."""
    connection = HTTP1Connection(stream, is_client=True, params=_PARAMETERS)
    # After an answer, Tornado waits until the request of the connection object
    # is finished; this object sends none.
    connection.finish()
    return connection


@contextlib.asynccontextmanager
async def _send_body(
    stream: UpstreamStream, request: UpstreamRequest, transfer: BulkTransfer
) -> AsyncIterator[None]:
    """Send a request with a large body during the block, in pieces.

    If the block ends before, the connection is closed: the upstream has
    answered early, and would take the next request for the rest of the body.
    """
    if not request.is_bulky(transfer.piece_bytes):
        yield
        return
    pieces = _write_pieces(stream, request, transfer)
    async with run_task(pieces, 'body of a request') as sender:
        try:
            yield
        finally:
            if not sender.done():
                stream.close()


async def _write_pieces(
    stream: UpstreamStream, request: UpstreamRequest, transfer: BulkTransfer
) -> None:
    """Write head and body; nothing is sent before the first turn."""
    head = request.encode_head()
    # Tornado has switched to Nagle's algorithm, which delays the last piece.
    stream.set_nodelay(True)
    # Reading the answer reports a closed connection.
    with contextlib.suppress(OSError, StreamClosedError):
        for piece in split_body(request.body, transfer.piece_bytes):
            await transfer.pass_piece(len(piece))
            if head:
                stream.write(head).add_done_callback(_consume_exception)
                head = b''
            await stream.write(piece)


@dataclass(slots=True)
class _AnswerReceiver(HTTPMessageDelegate):
    """Buffers one answer."""

    status: int = 0
    version: str = ''
    headers: HTTPHeaders = field(default_factory=HTTPHeaders)
    chunks: list[bytes] = field(default_factory=list)
    is_finished: bool = False

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Store status and headers; a final answer replaces interim ones."""
        if isinstance(start_line, ResponseStartLine):
            self.status = start_line.code
            self.version = start_line.version
            self.headers = headers

    def data_received(self, chunk: bytes) -> None:
        """Store a part of the body."""
        self.chunks.append(chunk)

    def finish(self) -> None:
        """Record that the message ended as its headers declare."""
        self.is_finished = True

    def on_connection_close(self) -> None:
        """Do nothing: reading the answer fails when the connection closes."""

    def is_complete(self, stream: UpstreamStream) -> bool:
        """Return whether the answer was received completely.

        An answer without a length ends with its connection. If that was reset,
        the answer may be truncated.
        """
        if not self.is_finished or not is_final_status(self.status):
            return False
        is_framed = (
            'Content-Length' in self.headers
            or 'Transfer-Encoding' in self.headers
            or self.status in {HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED}
        )
        return is_framed or stream.error is None


@contextlib.contextmanager
def _receive_answer() -> Iterator[_AnswerReceiver]:
    """Provide a receiver that holds an answer for the duration of the block.

    Tornado keeps the receiver in reference cycles, so it is emptied.
    """
    receiver = _AnswerReceiver()
    try:
        yield receiver
    finally:
        receiver.chunks.clear()


def _closes_connection(receiver: _AnswerReceiver) -> bool:
    option = receiver.headers.get('Connection', '').lower()
    if receiver.version == 'HTTP/1.0':
        return option != 'keep-alive'
    return option == 'close'


def _parse_keep_alive_ms(headers: HTTPHeaders, default_ms: int) -> int:
    """Return how long the upstream allows the connection to be idle."""
    for option in headers.get('Keep-Alive', '').split(','):
        name, _, text = option.strip().partition('=')
        seconds = parse_number(text)
        if name.lower() == 'timeout' and seconds is not None:
            return seconds * MS_PER_S
    return default_ms


def _enable_keepalive(tcp_socket: socket.socket) -> None:
    """Make the kernel detect a peer that vanished without closing."""
    tcp = socket.IPPROTO_TCP
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp_socket.setsockopt(tcp, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    tcp_socket.setsockopt(tcp, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    tcp_socket.setsockopt(tcp, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    tcp_socket.setsockopt(tcp, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)


def _consume_exception(future: 'asyncio.Future[None]') -> None:
    """Retrieve the error of a failed write, or asyncio would log it.

    Reading the answer reports the same error.
    """
    if not future.cancelled():
        future.exception()
