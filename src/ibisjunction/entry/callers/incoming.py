"""Reads one request of a caller from a connection."""

import asyncio
import contextlib
import re
from collections.abc import Awaitable, Iterator
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, Final, Protocol, cast

from tornado.http1connection import (
    HTTP1Connection,
    HTTP1ConnectionParameters,
)
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream

from ibisjunction.bodies.gate import BodyGate, BodyHold
from ibisjunction.catalogue.model import Limits
from ibisjunction.clock import Clock, in_seconds
from ibisjunction.entry.link.reading import ReadBytes, pace_body
from ibisjunction.entry.link.transfers import Link
from ibisjunction.entry.model import (
    CallerRequest,
    HeaderNames,
    Reason,
    Refused,
)
from ibisjunction.heads import (
    PARSER_LIMIT_FACTOR,
    find_head_error,
    has_conflicting_values,
    parse_number,
)

_CONTINUE: Final = '100-continue'
#: Bodies are read before their route is known; each is read like an urgent one.
_RANK_UNROUTED: Final = 0
#: Memory that a request takes besides its body.
_REQUEST_OVERHEAD_BYTES: Final = 1024
#: The time for a body ends this long before that of its request, as the answer
#: takes time to arrive.
_ANSWER_MARGIN_MS: Final = 40
#: Retry time given to callers whose bodies find no room or arrive too late.
_RETRY_AFTER_MS: Final = 1000


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A request that was read; ``refusal`` is set if it is not valid.

    ``is_last`` is set if no further request can be read. ``size`` is the
    memory that it takes. ``held`` is released once the body is not needed.
    """

    request: CallerRequest
    refusal: Refused | None
    is_last: bool
    held: BodyHold

    @property
    def size(self) -> int:
        """Bytes that the request takes."""
        return len(self.request.body) + _REQUEST_OVERHEAD_BYTES


class HeadObserver(Protocol):
    """Is told when the head of a request was read."""

    def on_head(
        self,
        host: str,
        target: str,
        *,
        expects_continue: bool,
        awaits_body: bool,
    ) -> int | None:
        """Process the head of a request.

        :return: milliseconds in which the request has to be answered, if it
            awaits a body and its route is known.
        """


class RequestReader:
    """Reads the requests of one connection, one after another."""

    def __init__(
        self,
        stream: IOStream,
        names: HeaderNames,
        clock: Clock,
        observer: HeadObserver,
        gate: BodyGate,
        address: str,
        link: Link,
    ) -> None:
        """Read from a stream, to which nothing is written.

        :param gate: holds back bodies for which there is no room.
        :param address: the host of the caller.
        """
        self._stream = stream
        self._names = names
        self._clock = clock
        self._observer = observer
        self._gate = gate
        self._address = address
        self._link = link
        self._first_byte = b''
        self._first_read: Awaitable[bytes] | None = None

    @property
    def has_begun(self) -> bool:
        """Whether a part of a request was read.

        The stream may have read the first byte before :meth:`wait` goes on.
        """
        first_read = self._first_read
        return bool(self._first_byte) or (
            isinstance(first_read, asyncio.Future)
            and first_read.done()
            and not first_read.cancelled()
            and first_read.exception() is None
        )

    async def wait(self) -> None:
        """Wait until the next request begins, which may be at any time.

        :raises StreamClosedError: if the caller closes the connection.
        """
        self._first_read = self._stream.read_bytes(1)
        self._first_byte = await self._first_read
        self._first_read = None

    async def read(self, limits: Limits) -> IncomingRequest:
        """Read a request that has begun.

        A request that is not valid is returned with its refusal.

        :raises StreamClosedError: if the caller closes the connection.
        """
        source = _ParserStream(
            self._stream, self._first_byte, limits.header_timeout_ms
        )
        parser = HTTP1Connection(
            cast('IOStream', source),
            is_client=False,
            params=HTTP1ConnectionParameters(
                max_header_size=limits.max_header_bytes * PARSER_LIMIT_FACTOR,
                max_body_size=limits.max_body_bytes,
                # The reader of the body decides on the size of pieces.
                chunk_size=limits.max_body_bytes,
            ),
        )
        receiver = _RequestReceiver(parser, self._clock, self._observer, limits)
        with (
            receiver.forget_on_error(),
            self._gate.hold(self._address, receiver.drop) as held,
            self._pace(receiver) as read_bytes,
        ):
            source.read_bytes = read_bytes
            receiver.held = held
            refusal = await _receive(receiver, limits)
            if source.is_head_too_large:
                refusal = Refused(Reason.HEAD_TOO_LARGE)
            held.complete()
            if not receiver.arrived_ms:
                self._observer.on_head(
                    '', '', expects_continue=False, awaits_body=False
                )
            is_last = refusal is not None or not _keeps_connection(receiver)
            self._first_byte = b''
            return self._make_incoming(
                receiver,
                refusal or self._check_head(receiver, limits),
                is_last,
                held,
            )

    def _pace(
        self, receiver: '_RequestReceiver'
    ) -> contextlib.AbstractContextManager[ReadBytes]:
        """Provide how to read a body as the link has room for it."""
        return pace_body(
            self._stream.read_bytes,
            self._stream.socket,
            self._link,
            _RANK_UNROUTED,
            lambda: self._find_target_ms(receiver),
        )

    def _find_target_ms(self, receiver: '_RequestReceiver') -> int:
        """Return until when a body has to be read to be of use.

        The second half of the caller's time is for its way to the upstream.
        """
        left_ms = parse_number(receiver.headers.get(self._names.deadline)) or 0
        return receiver.arrived_ms + left_ms // 2

    def _check_head(
        self, receiver: '_RequestReceiver', limits: Limits
    ) -> Refused | None:
        """Return the refusal if the start line or the headers are not valid."""
        is_bad = has_conflicting_values(
            receiver.headers, self._names.request_id
        )
        bad_head = Refused(Reason.BAD_HEAD) if is_bad else None
        return _find_head_refusal(receiver, limits) or bad_head

    def _make_incoming(
        self,
        receiver: '_RequestReceiver',
        refusal: Refused | None,
        is_last: bool,  # noqa: FBT001
        held: BodyHold,
    ) -> IncomingRequest:
        headers = receiver.headers
        names = self._names
        arrived_ms = receiver.arrived_ms or self._clock.now()
        remaining_ms = parse_number(headers.get(names.deadline))
        request = CallerRequest(
            request_id=headers.get(names.request_id, ''),
            method=receiver.start_line.method,
            target=receiver.start_line.path,
            host=headers.get('Host', ''),
            headers=tuple(headers.get_all()),
            body=receiver.body,
            has_body=_has_body(headers),
            arrived_ms=arrived_ms,
            deadline_ms=(
                None if remaining_ms is None else arrived_ms + remaining_ms
            ),
            key=parse_number(headers.get(names.shard_key)),
            version=receiver.start_line.version,
        )
        return IncomingRequest(request, refusal, is_last, held)


class _ParserStream:
    """What Tornado's parser reads a request from.

    Reads go to the stream of the connection. What the parser would write, it
    would write before the answers to earlier requests, so nothing is written.
    """

    def __init__(
        self,
        stream: IOStream,
        first_byte: bytes,
        header_timeout_ms: int,
    ) -> None:
        self._stream = stream
        self._first_byte = first_byte
        self._header_timeout_ms = header_timeout_ms
        self.max_buffer_size = stream.max_buffer_size
        self.read_bytes: ReadBytes = stream.read_bytes
        self.closed = stream.closed
        self.is_head_too_large = False

    async def read_until_regex(self, regex: bytes, max_bytes: int) -> bytes:
        """Read the rest of the head.

        :raises HTTPInputError: if it is too large for the parser, which then
            ends without an answer.
        """
        async with asyncio.timeout(in_seconds(self._header_timeout_ms)):
            rest = await self._stream.read_until_regex(regex, max_bytes)
        if not re.search(regex, rest):
            self.is_head_too_large = True
            raise HTTPInputError('the head is too large')
        return self._first_byte + rest

    async def read_until(self, delimiter: bytes, max_bytes: int) -> bytes:
        """Read the line before a chunk of a body.

        :raises HTTPInputError: if it is too long.
        """
        line = await self._stream.read_until(delimiter, max_bytes)
        if not line.endswith(delimiter):
            raise HTTPInputError('the size of a chunk is too long')
        return line

    def write(self, text: bytes) -> 'asyncio.Future[None]':
        """Drop an interim answer or a refusal of the parser.

        The owner of the connection sends its own when it is their turn.
        """
        written: asyncio.Future[None] = asyncio.Future()
        written.set_result(None)
        return written

    def close(self) -> None:
        """Do nothing: the connection may still have answers to write."""

    def set_close_callback(self, callback: Any) -> None:
        """Do nothing: the owner of the connection has its own callback."""

    def set_nodelay(self, value: bool) -> None:  # noqa: FBT001
        """Do nothing: the owner of the connection has set the option."""


@dataclass(slots=True)
class _RequestReceiver(HTTPMessageDelegate):
    """Collects one request from the parser."""

    parser: HTTP1Connection
    clock: Clock
    observer: HeadObserver
    limits: Limits
    start_line: RequestStartLine = field(
        default_factory=lambda: RequestStartLine('', '', 'HTTP/1.1')
    )
    headers: HTTPHeaders = field(default_factory=HTTPHeaders)
    #: It grows in place, so that a body is never held twice.
    body: bytearray = field(default_factory=bytearray)
    held: BodyHold | None = None
    scope: asyncio.Timeout | None = None
    arrived_ms: int = 0
    is_finished: bool = False
    is_dropped: bool = False
    #: Set before the body, of which the caller waits to be asked for.
    refusal: Refused | None = None
    is_cancelled: bool = False

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Store the start line and the headers."""
        if isinstance(start_line, RequestStartLine):
            self.start_line = start_line
            self.headers = headers
            self.arrived_ms = self.clock.now()
            expects_continue = headers.get('Expect', '') == _CONTINUE
            if expects_continue:
                self.refusal = _find_early_refusal(self, self.limits)
            time_ms = self.observer.on_head(
                headers.get('Host', ''),
                start_line.path,
                expects_continue=expects_continue and self.refusal is None,
                awaits_body=_awaits_body(headers),
            )
            if self.refusal is not None:
                # Nobody asks for the body, so the answer does not wait for it.
                self._expire_in(0)
            elif time_ms is not None:
                self._expire_in(max(0, time_ms - _ANSWER_MARGIN_MS))

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Store a part of the body; the parser waits until there is room."""
        self.body += chunk
        room = None if self.held is None else self.held.take(len(chunk))
        return None if room is None else self._wait_for(room)

    async def _wait_for(self, room: 'asyncio.Future[None]') -> None:
        """Wait for room, or make the parser end.

        The parser logs any other exception, and does not end if it is
        cancelled here.
        """
        try:
            await room
        except asyncio.CancelledError:
            self.is_cancelled = True
            raise HTTPInputError('the body is not read') from None

    @contextlib.contextmanager
    def forget_on_error(self) -> Iterator[None]:
        """Forget the body if the block fails.

        Tornado's parser is part of reference cycles, which are freed later.
        """
        try:
            yield
        except BaseException:
            self.body.clear()
            raise

    def drop(self) -> None:
        """Stop reading, and forget the body."""
        self.is_dropped = True
        self.body.clear()
        self._expire_in(0)

    def _expire_in(self, duration_ms: int) -> None:
        """Stop reading after a time, unless the time is already over."""
        if self.scope is not None and not self.scope.expired():
            now_s = asyncio.get_running_loop().time()
            self.scope.reschedule(now_s + in_seconds(duration_ms))

    def finish(self) -> None:
        """Let the parser return without waiting for an answer."""
        self.is_finished = True
        self.parser.finish()

    def on_connection_close(self) -> None:
        """Do nothing: reading the request fails."""


async def _receive(
    receiver: _RequestReceiver, limits: Limits
) -> Refused | None:
    """Read a request; return the refusal if it can't be read."""
    try:
        async with asyncio.timeout(None) as scope:
            receiver.scope = scope
            await receiver.parser.read_response(receiver)
    except TimeoutError:
        if not receiver.arrived_ms:
            return Refused(Reason.SLOW_HEAD)
    finally:
        receiver.scope = None
    if receiver.refusal is not None and not receiver.is_finished:
        return receiver.refusal
    if receiver.is_dropped:
        return Refused(Reason.NO_MEMORY, _RETRY_AFTER_MS)
    if scope.expired():
        return Refused(Reason.TIMED_OUT, _RETRY_AFTER_MS)
    if receiver.is_cancelled:
        raise asyncio.CancelledError
    return _find_parser_refusal(receiver, limits)


def _find_head_refusal(
    receiver: _RequestReceiver, limits: Limits
) -> Refused | None:
    error = find_head_error(
        receiver.start_line, receiver.headers, limits.max_header_bytes
    )
    if error is None:
        return None
    is_bad = error.status is HTTPStatus.BAD_REQUEST
    return Refused(Reason.BAD_HEAD if is_bad else Reason.HEAD_TOO_LARGE)


def _find_early_refusal(
    receiver: _RequestReceiver, limits: Limits
) -> Refused | None:
    """Return the refusal of a request whose body has not arrived."""
    size = parse_number(receiver.headers.get('Content-Length')) or 0
    if size > limits.max_body_bytes:
        return Refused(Reason.BODY_TOO_LARGE)
    return _find_head_refusal(receiver, limits)


def _find_parser_refusal(
    receiver: _RequestReceiver, limits: Limits
) -> Refused | None:
    """Return the refusal if the parser rejected the request."""
    if receiver.is_finished:
        return None
    size = parse_number(receiver.headers.get('Content-Length'))
    if size is not None and size > limits.max_body_bytes:
        return Refused(Reason.BODY_TOO_LARGE)
    return Refused(Reason.MALFORMED)


def _has_body(headers: HTTPHeaders) -> bool:
    return 'Content-Length' in headers or 'Transfer-Encoding' in headers


def _awaits_body(headers: HTTPHeaders) -> bool:
    """Return whether a body follows that is not empty."""
    return _has_body(headers) and headers.get('Content-Length') != '0'


def _keeps_connection(receiver: _RequestReceiver) -> bool:
    """Return whether the caller may send another request."""
    listed = receiver.headers.get('Connection', '').lower().split(',')
    options = {option.strip() for option in listed}
    if receiver.start_line.version == 'HTTP/1.1':
        return 'close' not in options
    return 'keep-alive' in options
