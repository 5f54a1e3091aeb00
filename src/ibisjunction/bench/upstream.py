"""HTTP server of a stand-in, which simulates an upstream.

It implements the upstream protocol, runs requests on a fixed number of slots,
injects faults on demand and records each run in a file for the checks.
"""

import asyncio
import contextlib
import hashlib
from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import Any, Final

import msgspec
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler, stream_request_body

from ibisjunction.bench.announcing import announce
from ibisjunction.bench.answers import make_answer
from ibisjunction.bench.load_report import LoadReporter
from ibisjunction.bench.profile import ServiceTime, UpstreamProfile
from ibisjunction.bench.run_records import RunWriter
from ibisjunction.bench.stand_in import (
    Fenced,
    Ran,
    ReceivedRequest,
    Shed,
    StandIn,
    parse_request,
)
from ibisjunction.bench.upstream_control import make_control_server
from ibisjunction.clock import SystemClock, in_seconds
from ibisjunction.limits import CHUNK_BYTES, MAX_BODY_BYTES
from ibisjunction.mailbox import run_task
from ibisjunction.settings.loader import parse_address
from ibisjunction.upstreams.protocol import REQUEST_ID_HEADER, GrantCall
from ibisjunction.verdict import VERDICT_HEADER, Verdict

__all__ = ('ServiceTime', 'UpstreamProfile', 'make_answer', 'run_upstream')

_RECORD_INTERVAL_MS: Final = 100


class _StandInHandler(RequestHandler):
    """Base of the handlers; they do not answer during a freeze."""

    def initialize(self, stand_in: StandIn, reporter: LoadReporter) -> None:
        self.stand_in = stand_in
        self.reporter = reporter
        connection: Any = self.request.connection
        self.stream = connection.stream
        stand_in.connections.add(self.stream)

    async def wait_until_thawed(self) -> None:
        await self.stand_in.faults.thawed.wait()


class _GrantsHandler(_StandInHandler):
    async def put(self) -> None:
        await self.wait_until_thawed()
        call = msgspec.json.decode(self.request.body, type=GrantCall)
        now = self.stand_in.clock.now()
        answer = self.stand_in.grants.accept(call, now)
        if answer is None:
            self.set_status(HTTPStatus.MISDIRECTED_REQUEST)
            return
        self.finish(msgspec.json.encode(answer))


class _HealthHandler(_StandInHandler):
    async def get(self) -> None:
        await self.wait_until_thawed()
        self.finish(msgspec.json.encode(self.reporter.health()))


class _LoadHandler(_StandInHandler):
    async def get(self) -> None:
        await self.wait_until_thawed()
        self.finish(msgspec.json.encode(self.reporter.load()))


class _CancelHandler(_StandInHandler):
    async def post(self, request_id: str) -> None:
        await self.wait_until_thawed()
        task = self.stand_in.request_tasks.get(request_id)
        is_cancelled = task is not None and task.cancel()
        self.set_status(
            HTTPStatus.NO_CONTENT if is_cancelled else HTTPStatus.NOT_FOUND,
        )


@stream_request_body
class _ServiceHandler(_StandInHandler):
    def initialize(self, stand_in: StandIn, reporter: LoadReporter) -> None:
        super().initialize(stand_in, reporter)
        self._digest = hashlib.sha256()
        self._task: asyncio.Task[None] | None = None

    def data_received(self, chunk: bytes) -> None:
        self._digest.update(chunk)

    async def get(self) -> None:
        await self._serve()

    async def post(self) -> None:
        await self._serve()

    async def put(self) -> None:
        await self._serve()

    def on_connection_close(self) -> None:
        """Cancel the run, because the sender closed the connection.

        A run continues if its connection is silenced: that closes the stream,
        too, but the sender has not closed the connection.
        """
        is_silenced = self.stand_in.connections.is_silenced(self.stream)
        if self._task is not None and not is_silenced:
            self._task.cancel()

    async def _serve(self) -> None:
        parsed_request = parse_request(
            str(self.request.method),
            str(self.request.uri),
            self.request.headers,
            self._digest.digest(),
            self.stand_in.clock.now(),
        )
        self.set_header(REQUEST_ID_HEADER, parsed_request.request_id)
        self._task = asyncio.create_task(self._run(parsed_request))
        self.stand_in.request_tasks[parsed_request.request_id] = self._task
        await asyncio.wait({self._task})
        self.stand_in.request_tasks.pop(parsed_request.request_id, None)
        if self._task.cancelled():
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
            return
        error = self._task.exception()
        if error is not None and not isinstance(error, StreamClosedError):
            raise error

    async def _run(self, parsed_request: ReceivedRequest) -> None:
        await self.wait_until_thawed()
        async with self.stand_in.run(parsed_request) as admission:
            await self.wait_until_thawed()
            match admission:
                case Ran():
                    await self._send_answer(parsed_request.target)
                case Fenced():
                    self._refuse(HTTPStatus.CONFLICT)
                case Shed():
                    self._refuse(HTTPStatus.SERVICE_UNAVAILABLE)

    def _refuse(self, status: HTTPStatus) -> None:
        self.set_status(status)
        self.set_header(VERDICT_HEADER, Verdict.NOT_RUN.value)

    async def _send_answer(self, target: str) -> None:
        answer = make_answer(target, self.stand_in.profile.download_bytes)
        self.set_header('Content-Length', str(len(answer)))
        self.set_header('Content-Type', 'application/octet-stream')
        for start in range(0, len(answer), CHUNK_BYTES):
            self.write(answer[start : start + CHUNK_BYTES])
            await self.flush()


@contextlib.asynccontextmanager
async def run_upstream(profile: UpstreamProfile) -> AsyncIterator[str]:
    """Run a stand-in for the duration of the block; yield ``host:port``."""
    async with contextlib.AsyncExitStack() as stack:
        records = stack.enter_context(profile.record_file.open('ab'))
        stand_in = StandIn(profile, SystemClock(), RunWriter(records))
        stack.callback(stand_in.connections.close)
        reporter = LoadReporter(stand_in)
        server = _make_server(stand_in, reporter)
        sockets = bind_sockets(0, '127.0.0.1')
        server.add_sockets(sockets)
        stack.push_async_callback(server.close_all_connections)
        stack.callback(server.stop)
        if profile.control_address:
            control_server = make_control_server(stand_in)
            control = parse_address(profile.control_address)
            control_server.listen(control.port, control.host)
            stack.callback(control_server.stop)
        address = f'127.0.0.1:{sockets[0].getsockname()[1]}'
        for coroutine in (
            announce(stand_in, address),
            _record_states(reporter),
        ):
            await stack.enter_async_context(run_task(coroutine, 'stand-in'))
        yield address


def _make_server(stand_in: StandIn, reporter: LoadReporter) -> HTTPServer:
    handler_arguments: dict[str, Any] = {
        'stand_in': stand_in,
        'reporter': reporter,
    }
    return HTTPServer(
        Application(
            [
                ('/ibis/grants', _GrantsHandler, handler_arguments),
                ('/ibis/cancel/(.+)', _CancelHandler, handler_arguments),
                ('/ibis/health', _HealthHandler, handler_arguments),
                ('/ibis/load', _LoadHandler, handler_arguments),
                ('/.*', _ServiceHandler, handler_arguments),
            ],
            log_function=lambda handler: None,
        ),
        max_body_size=MAX_BODY_BYTES,
    )


async def _record_states(reporter: LoadReporter) -> None:
    while True:
        reporter.record_state()
        await asyncio.sleep(in_seconds(_RECORD_INTERVAL_MS))
