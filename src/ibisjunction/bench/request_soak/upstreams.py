"""Stand-ins for upstreams that record what they run."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, Final

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerRequest
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from ibisjunction.bench.answers import make_answer
from ibisjunction.bench.request_soak.proxy import LinkProxy
from ibisjunction.bench.request_soak.records import Run
from ibisjunction.bench.request_soak.targets import parse_target
from ibisjunction.bench.request_soak.terms import CHECK_IN_MS
from ibisjunction.clock import MS_PER_S, Clock, in_seconds
from ibisjunction.platform.stand_in import (
    HEALTH_PATH,
    NOT_RUN_HEADER,
    RECEIPT_HEADER,
    REQUEST_ID_HEADER,
    format_check_in_path,
    format_departure_path,
    make_check_in,
)
from ibisjunction.settings import Address

#: Sends a call to a control process; returns whether it was confirmed.
ControlCall = Callable[[str, dict[str, Any]], Awaitable[bool]]

_SLOTS: Final = 8
_LINK_MBPS: Final = 8
_DRAIN_S: Final = 2.5
_POLL_S: Final = 0.1
_MAX_BODY_BYTES: Final = 8_000_000


@dataclass(slots=True)
class SoakUpstream:
    """One process of an upstream; ``runs`` are shared by all of a soak."""

    name: str
    clock: Clock
    runs: list[Run]
    is_leaving: bool = False
    running: int = 0
    slots: asyncio.Semaphore = field(
        default_factory=lambda: asyncio.Semaphore(_SLOTS)
    )

    @contextlib.asynccontextmanager
    async def run(
        self, request: HTTPServerRequest, attempt: str
    ) -> AsyncIterator[None]:
        """Occupy a slot, and record a run that ends with the block."""
        async with self.slots:
            run = Run(attempt, self.name, len(request.body), self.clock.now())
            self.runs.append(run)
            self.running += 1
            try:
                yield
            finally:
                run.ended_ms = self.clock.now()
                self.running -= 1


class _Handler(RequestHandler):
    def initialize(self, upstream: SoakUpstream) -> None:
        self._upstream = upstream

    async def get(self) -> None:
        await self._serve()

    async def post(self) -> None:
        await self._serve()

    async def _serve(self) -> None:
        attempt = self.request.headers.get(REQUEST_ID_HEADER, '')
        if not attempt:
            self.set_status(HTTPStatus.BAD_REQUEST)
            self.set_header(NOT_RUN_HEADER, '1')
            return
        target = parse_target(str(self.request.uri))
        self.set_header(REQUEST_ID_HEADER, attempt)
        self.set_header(RECEIPT_HEADER, f'{attempt}.{self._upstream.name}')
        async with self._upstream.run(self.request, attempt):
            await asyncio.sleep(in_seconds(target.service_ms))
        answer = make_answer(str(self.request.uri), target.answer_bytes)
        with contextlib.suppress(StreamClosedError):
            await self.finish(answer)


class _HealthHandler(RequestHandler):
    def initialize(self, upstream: SoakUpstream) -> None:
        self._upstream = upstream

    def get(self) -> None:
        if self._upstream.is_leaving:
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
        self.set_header('Instance-Id', self._upstream.name)


async def serve_upstream(
    upstream: SoakUpstream,
    host: str,
    call_control: ControlCall,
    leave: asyncio.Event,
) -> None:
    """Serve requests until the upstream is to leave, and leave as planned."""
    options = {'upstream': upstream}
    server = HTTPServer(
        Application(
            [
                (HEALTH_PATH, _HealthHandler, options),
                ('/.*', _Handler, options),
            ],
            log_function=lambda handler: None,
        ),
        max_body_size=_MAX_BODY_BYTES,
    )
    sockets = bind_sockets(0, host)
    server.add_sockets(sockets)
    port = sockets[0].getsockname()[1]
    proxy = LinkProxy(Address(host, port), upstream.clock, _LINK_MBPS)
    try:
        async with proxy.run(host):
            await _check_in(upstream, str(proxy.address), call_control, leave)
    finally:
        server.stop()
        await server.close_all_connections()


async def _check_in(
    upstream: SoakUpstream,
    address: str,
    call_control: ControlCall,
    leave: asyncio.Event,
) -> None:
    """Check in, and after the departure is confirmed end what runs."""
    path = format_check_in_path(upstream.name)
    born = int(time.time() * MS_PER_S)
    is_confirmed = False
    number = 0
    while not (upstream.is_leaving and is_confirmed):
        number += 1
        upstream.is_leaving = leave.is_set()
        body = make_check_in(
            address, born, number, _SLOTS, is_leaving=upstream.is_leaving
        )
        is_confirmed = await call_control(path, body)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(in_seconds(CHECK_IN_MS)):
                await leave.wait()
        await asyncio.sleep(_POLL_S)
    await asyncio.sleep(_DRAIN_S)
    while upstream.running:
        await asyncio.sleep(_POLL_S)
    # Answers that are being written pass before connections are closed.
    await asyncio.sleep(_DRAIN_S)
    await call_control(format_departure_path(upstream.name), {'born': born})
