"""One exchange with an upstream over a kept connection.

The whole answer is read before any of it is passed on, so that an answer that
ends early never reaches a caller.
"""

import asyncio
import socket
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

from ibisjunction.entry.model import Fields
from ibisjunction.limits import CHUNK_BYTES
from ibisjunction.settings import Address
from ibisjunction.upstreams.stream import UpstreamStream, make_stream

#: An upstream that does not accept a connection within this time is taken for
#: unreachable; a lost packet is sent again after 200 ms or more.
_CONNECT_TIMEOUT_S: Final = 0.6
#: Answers are held whole; a larger one is not passed on, 64 MiB.
_MAX_ANSWER_BYTES: Final = 67_108_864
_PARAMETERS: Final = HTTP1ConnectionParameters(
    chunk_size=CHUNK_BYTES,
    max_body_size=_MAX_ANSWER_BYTES,
)
#: Answers to earlier requests that may come first on a kept connection.
_MAX_SKIPPED: Final = 2
#: A connection whose peer does not answer probes ends after about 3 s.
_KEEPALIVE_IDLE_S: Final = 1
_KEEPALIVE_INTERVAL_S: Final = 1
_KEEPALIVE_PROBES: Final = 2
#: Unacknowledged data ends a connection after this time.
_USER_TIMEOUT_MS: Final = 2500


@dataclass(frozen=True, slots=True)
class Message:
    """A request as it is sent to an upstream."""

    method: str
    target: str
    headers: Fields
    body: bytes


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer; ``keeps_ms`` is how long the connection may idle."""

    status: int
    headers: HTTPHeaders
    body: bytes
    keeps_ms: int


@dataclass(frozen=True, slots=True)
class NotConnected:
    """No byte of the request was sent."""

    detail: str


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """The request was sent, at least in part, and has no whole answer."""

    detail: str


Result = Answer | NotConnected | NoAnswer


class UpstreamConnection:
    """A connection to one upstream; carries one exchange at a time."""

    def __init__(self, address: Address, default_keep_ms: int) -> None:
        """Prepare a connection that :meth:`connect` opens."""
        self._address = address
        self._default_keep_ms = default_keep_ms
        self._stream: UpstreamStream | None = None

    @property
    def is_clean(self) -> bool:
        """Whether another request may be sent."""
        return self._stream is not None and self._stream.is_clean

    def close(self) -> None:
        """Close the connection; the upstream drops what it was running."""
        if self._stream is not None:
            self._stream.close()

    async def connect(self) -> NotConnected | None:
        """Open the connection; return why it could not be opened."""
        stream = make_stream(self._address)
        self._stream = stream
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                await stream.connect((self._address.host, self._address.port))
        except (OSError, StreamClosedError, TimeoutError) as error:
            stream.close()
            return NotConnected(f'{type(error).__name__}: {error}')
        stream.set_nodelay(True)
        _watch_peer(stream.socket)
        return None

    async def perform(
        self,
        message: Message,
        id_header: str,
        request_id: str,
    ) -> Result:
        """Send a request and read its answer.

        :param id_header: header in which the upstream repeats the request's
            id; an answer with another id belongs to an earlier request.
        """
        stream = self._stream
        if stream is None or stream.closed():
            return NotConnected('closed')
        try:
            return await self._exchange(stream, message, id_header, request_id)
        except (OSError, StreamClosedError) as error:
            return NoAnswer(f'{type(error).__name__}: {error}')
        finally:
            if not stream.is_clean:
                stream.close()

    async def _exchange(
        self,
        stream: UpstreamStream,
        message: Message,
        id_header: str,
        request_id: str,
    ) -> Result:
        connection = HTTP1Connection(
            stream,
            is_client=True,
            params=_PARAMETERS,
        )
        headers = HTTPHeaders()
        for name, text in message.headers:
            headers.add(name, text)
        written = connection.write_headers(
            RequestStartLine(message.method, message.target, 'HTTP/1.1'),
            headers,
            message.body or None,
        )
        written.add_done_callback(_retrieve)
        connection.finish()
        for _ in range(_MAX_SKIPPED + 1):
            receiver = _Receiver()
            await connection.read_response(receiver)
            if not receiver.is_whole(stream):
                stream.close()
                return NoAnswer(f'{stream.error or "the answer broke off"}')
            echoed = receiver.headers.get(id_header)
            if echoed is None or echoed == request_id:
                return self._finish(stream, receiver)
            connection = HTTP1Connection(
                stream,
                is_client=True,
                params=_PARAMETERS,
            )
            # A connection waits for the end of its own request after it has
            # read an answer; this one sends none.
            connection.finish()
        stream.close()
        return NoAnswer('only answers to other requests')

    def _finish(
        self,
        stream: UpstreamStream,
        receiver: '_Receiver',
    ) -> Answer:
        if _closes(receiver):
            stream.close()
        return Answer(
            receiver.status,
            receiver.headers,
            b''.join(receiver.chunks),
            _keep_ms(receiver.headers, self._default_keep_ms),
        )


@dataclass(slots=True)
class _Receiver(HTTPMessageDelegate):
    """Collects one answer."""

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
        """Keep status and headers; a final answer replaces interim ones."""
        if isinstance(start_line, ResponseStartLine):
            self.status = start_line.code
            self.version = start_line.version
            self.headers = headers

    def data_received(self, chunk: bytes) -> None:
        """Keep a part of the body."""
        self.chunks.append(chunk)

    def finish(self) -> None:
        """Note that the message ended as its headers say."""
        self.is_finished = True

    def on_connection_close(self) -> None:
        """Do nothing: the reader sees the close."""

    def is_whole(self, stream: UpstreamStream) -> bool:
        """Return whether the whole answer arrived.

        An answer without a length ends with its connection; if that was reset
        the answer may be cut short.
        """
        if not self.is_finished or self.status < HTTPStatus.OK:
            return False
        is_framed = (
            'Content-Length' in self.headers
            or 'Transfer-Encoding' in self.headers
            or self.status in {HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED}
        )
        return is_framed or stream.error is None


def _closes(receiver: _Receiver) -> bool:
    option = receiver.headers.get('Connection', '').lower()
    if receiver.version == 'HTTP/1.0':
        return option != 'keep-alive'
    return option == 'close'


def _keep_ms(headers: HTTPHeaders, default_ms: int) -> int:
    """Return the idle time that the upstream grants a connection."""
    for option in headers.get('Keep-Alive', '').split(','):
        name, _, text = option.strip().partition('=')
        if name.lower() == 'timeout' and text.isdecimal():
            return int(text) * 1000
    return default_ms


def _watch_peer(connected: socket.socket) -> None:
    """Let the kernel notice a peer that has gone without a reset."""
    tcp = socket.IPPROTO_TCP
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connected.setsockopt(tcp, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    connected.setsockopt(tcp, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    connected.setsockopt(tcp, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    connected.setsockopt(tcp, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)


def _retrieve(future: 'asyncio.Future[None]') -> None:
    """Mark a failed write as seen; the reader reports the same failure."""
    if not future.cancelled():
        future.exception()
