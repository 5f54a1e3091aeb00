"""The HTTP server of an entry VM."""

import asyncio
from http import HTTPStatus
from typing import Any, Final

from tornado.http1connection import HTTP1ConnectionParameters
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets

from ibisjunction.catalogue.model import Limits
from ibisjunction.clock import Clock, in_seconds
from ibisjunction.entry.answers import make_answer
from ibisjunction.entry.model import (
    CallerRequest,
    Failed,
    HeaderNames,
    Outcome,
    Reason,
    Refused,
    RoutedRequest,
)
from ibisjunction.entry.pacing import PIECE_BYTES, AnswerPacer, split_body
from ibisjunction.entry.reporting import log_outcome, measure_outcome
from ibisjunction.entry.requests import RequestProcessor
from ibisjunction.entry.trail import Trail
from ibisjunction.heads import (
    PARSER_LIMIT_FACTOR,
    find_head_error,
    has_conflicting_values,
    parse_number,
)
from ibisjunction.mailbox import Mailbox
from ibisjunction.settings import Address

#: Limits that apply until the first view contains those of the operators.
_MAX_HEADER_BYTES: Final = 65_536
_MAX_BODY_BYTES: Final = 67_108_864
_HEADER_TIMEOUT_MS: Final = 10_000
_IDLE_TIMEOUT_MS: Final = 60_000
_BACKLOG: Final = 1024
_DRAIN_POLL_MS: Final = 20
#: Rate of the link of a VM whose settings name none.
_DEFAULT_LINK_MBPS: Final = 1000


class EntryServer(HTTPServerConnectionDelegate):
    """Accepts connections from callers and answers their requests."""

    def __init__(
        self,
        processor: RequestProcessor,
        clock: Clock,
        names: HeaderNames,
        address: Address,
        metrics: Mailbox[Any],
        link_mbps: float = _DEFAULT_LINK_MBPS,
    ) -> None:
        """Prepare the server; :meth:`start` opens its socket.

        :param link_mbps: rate of the VM's link, which large answers do not
            fill.
        """
        self._pacer = AnswerPacer(link_mbps)
        self.processor = processor
        self.clock = clock
        self.names = names
        self._address = address
        self._metrics = metrics
        self._server = HTTPServer(self)
        self._tasks: set[asyncio.Task[None]] = set()
        self._connections: set[Any] = set()
        self._busy_connections: set[Any] = set()
        self._limits: Limits | None = None
        self.apply_limits(
            Limits(
                _MAX_HEADER_BYTES,
                _MAX_BODY_BYTES,
                _HEADER_TIMEOUT_MS,
                _IDLE_TIMEOUT_MS,
            ),
        )

    def start(self) -> int:
        """Listen for connections; return the port."""
        sockets = bind_sockets(
            self._address.port,
            self._address.host,
            backlog=_BACKLOG,
        )
        self._server.add_sockets(sockets)
        port: int = sockets[0].getsockname()[1]
        return port

    @property
    def max_header_bytes(self) -> int:
        """The largest size of the target and the headers of a request."""
        return self._limits.max_header_bytes if self._limits else 0

    def apply_limits(self, limits: Limits) -> None:
        """Apply the limits of the operators to new connections."""
        if limits == self._limits:
            return
        self._limits = limits
        self._server.conn_params = HTTP1ConnectionParameters(
            max_header_size=limits.max_header_bytes * PARSER_LIMIT_FACTOR,
            header_timeout=in_seconds(limits.idle_timeout_ms),
            max_body_size=limits.max_body_bytes,
        )

    async def drain(self, accept_ms: int, finish_ms: int) -> int:
        """Accept connections for a while, then finish requests in flight.

        After ``accept_ms``, each connection is closed as soon as no request is
        read or answered on it, so that callers connect to other VMs.

        :return: the number of requests still in flight after ``finish_ms``,
            which are cut off.
        """
        await asyncio.sleep(in_seconds(accept_ms))
        self._server.stop()
        until_ms = self.clock.now() + finish_ms
        while self._close_idle() and self.clock.now() < until_ms:
            await asyncio.sleep(in_seconds(_DRAIN_POLL_MS))
        return len(self._busy_connections)

    async def close(self) -> None:
        """Close all connections."""
        self._server.stop()
        await self._server.close_all_connections()

    def _close_idle(self) -> bool:
        """Close idle connections; return whether busy ones are left."""
        for connection in self._connections - self._busy_connections:
            connection.stream.close()
        return bool(self._busy_connections)

    def start_request(
        self,
        server_conn: object,
        request_conn: HTTPConnection,
    ) -> HTTPMessageDelegate:
        """Return the receiver of one request."""
        self._connections.add(server_conn)
        return _RequestReceiver(self, server_conn, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Remove a connection; its request has a close callback of its own."""
        self._connections.discard(server_conn)
        self._busy_connections.discard(server_conn)

    def mark_busy(self, server_conn: object) -> None:
        """Record that a request is being read on a connection."""
        self._busy_connections.add(server_conn)

    def spawn(
        self,
        request: CallerRequest,
        refusal: Refused | None,
        server_conn: object,
        request_conn: Any,
    ) -> 'asyncio.Task[None]':
        """Start to serve a complete request, or to send its refusal."""
        task = asyncio.create_task(self._serve(request, refusal, request_conn))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(
            lambda _: self._busy_connections.discard(server_conn)
        )
        return task

    async def _serve(
        self,
        request: CallerRequest,
        refusal: Refused | None,
        request_conn: Any,
    ) -> None:
        routed = refusal or self.processor.route(request)
        trail = Trail(request.request_id, request.arrived_ms)
        # Logged if the caller disconnects, which cancels this task.
        outcome: Outcome = Failed(Reason.CALLER_GONE)
        try:
            if isinstance(routed, RoutedRequest):
                outcome = await self.processor.serve(routed, trail)
            else:
                outcome = routed
            await self._send(request, outcome, request_conn)
        except StreamClosedError:
            outcome = Failed(Reason.CALLER_GONE)
        finally:
            now = self.clock.now()
            log_outcome(trail, routed, outcome, now)
            duration_ms = now - trail.arrived_ms
            self._metrics.post(measure_outcome(routed, outcome, duration_ms))

    async def _send(
        self,
        request: CallerRequest,
        outcome: Outcome,
        request_conn: Any,
    ) -> None:
        """Send the answer, and wait until it is written to the socket.

        The wait is needed because the connection may be closed as soon as this
        returns.
        """
        answer = make_answer(
            request,
            outcome,
            self.names,
            is_last=self.processor.is_draining,
        )
        start_line = ResponseStartLine('HTTP/1.1', answer.status, '')
        body = answer.body
        if len(body) <= PIECE_BYTES:
            await request_conn.write_headers(
                start_line, answer.headers, body or None
            )
        else:
            await request_conn.write_headers(start_line, answer.headers)
            await self._write_in_pieces(body, request_conn)
        request_conn.finish()

    async def _write_in_pieces(self, body: bytes, request_conn: Any) -> None:
        for piece in split_body(body):
            wait_ms = self._pacer.reserve(len(piece), self.clock.now())
            if wait_ms:
                await asyncio.sleep(in_seconds(wait_ms))
            await request_conn.write(piece)


class _RequestReceiver(HTTPMessageDelegate):
    """Receives one request and starts to serve it."""

    def __init__(
        self,
        server: EntryServer,
        server_conn: object,
        request_conn: Any,
    ) -> None:
        self._server = server
        self._server_conn = server_conn
        self._request_conn = request_conn
        self._start_line: RequestStartLine | None = None
        self._headers = HTTPHeaders()
        self._chunks: list[bytes] = []
        self._task: asyncio.Task[None] | None = None
        self._arrived_ms = 0

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Store the start line and the headers of the request."""
        if isinstance(start_line, RequestStartLine):
            self._server.mark_busy(self._server_conn)
            self._start_line = start_line
            self._headers = headers
            self._arrived_ms = self._server.clock.now()

    def data_received(self, chunk: bytes) -> None:
        """Store a part of the body."""
        self._chunks.append(chunk)

    def finish(self) -> None:
        """Serve the request, which was received completely."""
        line = self._start_line
        # A request that was read just before this VM closed its connection
        # must not run: its caller retries it on another VM.
        if line is None or self._request_conn.stream.closed():
            return
        # Without this callback, a disconnect of the caller isn't detected while
        # the request is served.
        self._request_conn.set_close_callback(self.on_connection_close)
        headers = self._headers
        names = self._server.names
        has_body = 'Content-Length' in headers or 'Transfer-Encoding' in headers
        request = CallerRequest(
            request_id=headers.get(names.request_id, ''),
            method=line.method,
            target=line.path,
            host=headers.get('Host', ''),
            headers=tuple(headers.get_all()),
            body=b''.join(self._chunks),
            has_body=has_body,
            arrived_ms=self._arrived_ms,
            deadline_ms=self._parse_deadline(),
            key=parse_number(headers.get(names.shard_key)),
        )
        self._task = self._server.spawn(
            request,
            self._check_head(line),
            self._server_conn,
            self._request_conn,
        )

    def on_connection_close(self) -> None:
        """Cancel the request: the caller has disconnected."""
        if self._task is not None:
            self._task.cancel()

    def _check_head(self, line: RequestStartLine) -> Refused | None:
        """Return the refusal if the start line or the headers are not valid."""
        limit = self._server.max_header_bytes
        error = find_head_error(line, self._headers, limit)
        names = self._server.names
        if error is None and has_conflicting_values(
            self._headers,
            names.request_id,
        ):
            return Refused(Reason.BAD_HEAD)
        if error is None:
            return None
        if error.status is HTTPStatus.BAD_REQUEST:
            return Refused(Reason.BAD_HEAD)
        return Refused(Reason.HEAD_TOO_LARGE)

    def _parse_deadline(self) -> int | None:
        remaining_ms = parse_number(
            self._headers.get(self._server.names.deadline)
        )
        return None if remaining_ms is None else self._arrived_ms + remaining_ms
