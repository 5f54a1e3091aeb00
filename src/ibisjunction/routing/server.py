"""The HTTP front end for callers."""

import asyncio
import contextlib
import logging
import math
import uuid
from collections.abc import Awaitable
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, Final

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

from ibisjunction.clock import MS_PER_S, in_seconds
from ibisjunction.heads import (
    PARSER_LIMIT_FACTOR,
    find_head_error,
    has_conflicting_values,
)
from ibisjunction.limits import CHUNK_BYTES, MAX_BODY_BYTES, MAX_HEADER_BYTES
from ibisjunction.mailbox import Mailbox
from ibisjunction.outcomes import (
    Answered,
    Failed,
    Outcome,
    Reason,
    Refused,
)
from ibisjunction.routing.body import CopiedBody
from ibisjunction.routing.identity import KEY_HEADER
from ibisjunction.routing.model import CallerRequest, RequestContext
from ibisjunction.routing.reporting import log_outcome, measure_outcome
from ibisjunction.routing.request import serve_request
from ibisjunction.services.catalogue import RequestHead
from ibisjunction.settings import Address
from ibisjunction.upstreams.messages import (
    AnswerHead,
    BodyChunk,
    BodyEnd,
    BodyPart,
    CallerGone,
)
from ibisjunction.upstreams.protocol import REQUEST_ID_HEADER
from ibisjunction.verdict import VERDICT_HEADER, Verdict

_logger = logging.getLogger(__name__)

#: Parts of a body buffered until the task of the request reads them; with
#: chunks of 64 KiB this bounds the buffer of one request to 256 KiB.
_MAX_BUFFERED_BODY_PARTS: Final = 4
_DEFAULT_RETRY_AFTER_MS: Final = 1000
#: Time for which new connections are accepted after the VM stops being ready,
#: until the load balancer has noticed.
_DRAIN_ACCEPT_MS: Final = 1000
#: Bytes of an unread body that are read before a refusal is sent. Closing a
#: connection with unread bytes resets it, and the caller would lose the
#: refusal. Reading a longer body would cost too much traffic.
_MAX_DISCARD_BYTES: Final = 1_048_576
_DISCARD_TIMEOUT_MS: Final = 1000
#: Headers of an answer that apply only to the connection to the upstream.
_CONNECTION_HEADERS: Final = frozenset(('connection', 'transfer-encoding'))
#: HTTP statuses by reason, for the reasons that a retry cannot avoid.
_STATUS_OF_FINAL_REASON: Final = MappingProxyType(
    {
        Reason.UNKNOWN_SERVICE: HTTPStatus.NOT_FOUND,
        Reason.UNKNOWN_OPERATION: HTTPStatus.METHOD_NOT_ALLOWED,
        Reason.MISSING_KEY: HTTPStatus.BAD_REQUEST,
        Reason.BAD_HEADER: HTTPStatus.BAD_REQUEST,
        Reason.HEAD_TOO_LARGE: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
        Reason.IDEMPOTENCY_KEY_REQUIRED: HTTPStatus.BAD_REQUEST,
        Reason.ALREADY_RECORDED: HTTPStatus.CONFLICT,
        Reason.KEY_REUSED: HTTPStatus.UNPROCESSABLE_ENTITY,
        Reason.CRASH_LIMIT: HTTPStatus.UNPROCESSABLE_ENTITY,
    }
)


class CallerServer(HTTPServerConnectionDelegate):
    """Accepts callers' connections and starts a task for each request."""

    def __init__(self, context: RequestContext, address: Address) -> None:
        """Prepare the server; :meth:`start` opens its socket."""
        self._context = context
        self._address = address
        self._server = HTTPServer(
            self,
            max_body_size=MAX_BODY_BYTES,
            max_header_size=MAX_HEADER_BYTES * PARSER_LIMIT_FACTOR,
            chunk_size=CHUNK_BYTES,
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self.is_draining = False

    def start(self) -> int:
        """Listen for callers; return the port, for an address with port 0."""
        sockets = bind_sockets(self._address.port, self._address.host)
        self._server.add_sockets(sockets)
        return int(sockets[0].getsockname()[1])

    async def drain(self, timeout_ms: int) -> int:
        """Wait for requests in flight, then close the connections.

        Answers carry ``Connection: close`` from now on. New connections are
        accepted for a short time, until the load balancer has noticed.

        :return: the number of requests cut off at the timeout.
        """
        self.is_draining = True
        await asyncio.sleep(in_seconds(_DRAIN_ACCEPT_MS))
        self._server.stop()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=in_seconds(timeout_ms))
        unfinished = len(self._tasks)
        await self._server.close_all_connections()
        return unfinished

    def start_request(
        self,
        server_conn: object,
        request_conn: HTTPConnection,
    ) -> HTTPMessageDelegate:
        """Return the receiver of one request."""
        return _RequestReceiver(self, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Do nothing; each request has a close callback of its own."""

    def spawn(
        self,
        request: CallerRequest,
        body: Mailbox[BodyPart],
    ) -> 'asyncio.Task[None]':
        """Start a request's task; ``body`` is closed when the task ends."""
        task = asyncio.create_task(
            _serve(self._context, request, body),
            name=f'request {request.request_id}',
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


class _RequestReceiver(HTTPMessageDelegate):
    """Turns the parts of a request into messages to its task."""

    def __init__(self, server: CallerServer, connection: Any) -> None:
        self._server = server
        self._connection = connection
        self._body: Mailbox[BodyPart] = Mailbox(_MAX_BUFFERED_BODY_PARTS)
        self._task: asyncio.Task[None] | None = None

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Start the request's task, before the body of the request is read."""
        if isinstance(start_line, ResponseStartLine):
            return
        has_body = (
            headers.get('Content-Length', '0') != '0'
            or 'Transfer-Encoding' in headers
        )
        # Without this, a close after the end of the body is not reported.
        self._connection.set_close_callback(self.on_connection_close)
        request = CallerRequest(
            request_id=uuid.uuid4().hex,
            head=RequestHead(start_line.method, start_line.path, headers),
            headers=tuple(headers.get_all()),
            has_body=has_body,
            body=CopiedBody(self._body),
            caller=_HttpCaller(self._connection, self._server),
            head_refusal=_check_head(start_line, headers),
        )
        self._task = self._server.spawn(request, self._body)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Forward a part of the body; reading pauses until there is room."""
        return self._body.put(BodyChunk(chunk))

    def finish(self) -> None:
        """Forward the end of the body."""
        self._body.post(BodyEnd())

    def on_connection_close(self) -> None:
        """Cancel the task of the request, because its caller disconnected."""
        if self._task is not None:
            self._task.cancel()
        self._body.post(CallerGone())


class _HttpCaller:
    """Writes an answer to the caller's connection."""

    def __init__(self, connection: Any, server: CallerServer) -> None:
        self._connection = connection
        self._server = server
        self.has_started = False

    async def send_head(
        self,
        head: AnswerHead,
        request_id: str,
        verdict: Verdict = Verdict.RAN,
    ) -> None:
        headers = HTTPHeaders()
        for name, text in head.headers:
            if name.lower() not in _CONNECTION_HEADERS:
                headers.add(name, text)
        headers[VERDICT_HEADER] = verdict.value
        headers[REQUEST_ID_HEADER] = request_id
        if self._server.is_draining:
            headers['Connection'] = 'close'
        self.has_started = True
        await self._connection.write_headers(
            ResponseStartLine('HTTP/1.1', head.status, ''),
            headers,
        )

    async def send_chunk(self, chunk: bytes) -> None:
        await self._connection.write(chunk)

    def finish(self) -> None:
        self._connection.finish()

    def abort(self) -> None:
        # The task still has to report its outcome, so the close must not cancel
        # it as a disconnect of the caller would.
        self._connection.set_close_callback(None)
        self._connection.stream.close()


async def _serve(
    context: RequestContext,
    request: CallerRequest,
    body: Mailbox[BodyPart],
) -> None:
    caller: Any = request.caller
    outcome: Outcome = Failed(Reason.CALLER_GONE)
    started_ms = context.clock.now()
    try:
        outcome = request.head_refusal or await serve_request(context, request)
        if not isinstance(outcome, Answered) and not caller.has_started:
            await _discard_body(request)
            await _send_error(caller, request.request_id, outcome)
    except StreamClosedError:
        outcome = Failed(Reason.CALLER_GONE)
    except Exception:
        _logger.exception('request %s failed', request.request_id)
        outcome = Failed(Reason.INTERNAL_ERROR)
        await _send_failure(request, outcome)
    finally:
        body.close()
        log_outcome(request, outcome)
        duration_ms = context.clock.now() - started_ms
        context.metrics.post(measure_outcome(request, outcome, duration_ms))


def _check_head(
    start_line: RequestStartLine,
    headers: HTTPHeaders,
) -> Refused | None:
    """Return a refusal if the head of a request is not valid, or ``None``."""
    error = find_head_error(start_line, headers, MAX_HEADER_BYTES)
    if error is None and has_conflicting_values(headers, KEY_HEADER):
        detail = f'{KEY_HEADER}: given with different values'
        return Refused(Reason.BAD_HEADER, detail)
    if error is None:
        return None
    if error.status is HTTPStatus.BAD_REQUEST:
        return Refused(Reason.BAD_HEADER, error.detail)
    return Refused(Reason.HEAD_TOO_LARGE, error.detail)


async def _discard_body(request: CallerRequest) -> None:
    """Read and discard the rest of a small body."""
    remaining_bytes = _MAX_DISCARD_BYTES if request.has_body else 0
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(in_seconds(_DISCARD_TIMEOUT_MS)):
            while remaining_bytes > 0:
                part = await request.body.get()
                if not isinstance(part, BodyChunk):
                    return
                remaining_bytes -= len(part.chunk)


async def _send_failure(request: CallerRequest, outcome: Failed) -> None:
    """Send an error, or close the connection if an answer has begun."""
    caller: Any = request.caller
    if caller.has_started:
        caller.abort()
        return
    with contextlib.suppress(StreamClosedError):
        await _discard_body(request)
        await _send_error(caller, request.request_id, outcome)


async def _send_error(
    caller: _HttpCaller,
    request_id: str,
    outcome: Refused | Failed,
) -> None:
    text = outcome.reason.value
    if outcome.detail:
        text = f'{text}: {outcome.detail}'
    body = f'{text}\n'.encode()
    headers = [
        ('Content-Type', 'text/plain; charset=utf-8'),
        ('Content-Length', str(len(body))),
    ]
    retry_after = _compute_retry_after(outcome)
    if retry_after is not None:
        headers.append(('Retry-After', str(retry_after)))
    await caller.send_head(
        AnswerHead(_status_of(outcome), tuple(headers)),
        request_id,
        outcome.verdict,
    )
    await caller.send_chunk(body)
    caller.finish()


def _status_of(outcome: Refused | Failed) -> int:
    if outcome.reason is Reason.DEADLINE_PASSED:
        return HTTPStatus.GATEWAY_TIMEOUT
    match outcome:
        case Refused(reason=reason):
            return _STATUS_OF_FINAL_REASON.get(
                reason, HTTPStatus.SERVICE_UNAVAILABLE
            )
        case Failed(reason=reason):
            return _STATUS_OF_FINAL_REASON.get(reason, HTTPStatus.BAD_GATEWAY)


def _compute_retry_after(outcome: Refused | Failed) -> int | None:
    """Return the whole seconds after which a retry may succeed.

    The result is ``None`` if a retry is not safe or cannot succeed.
    """
    match outcome:
        case Refused(reason=reason, retry_after_ms=delay_ms):
            if reason in _STATUS_OF_FINAL_REASON:
                return None
            delay_ms = delay_ms or _DEFAULT_RETRY_AFTER_MS
            return math.ceil(delay_ms / MS_PER_S)
        case Failed():
            return None
