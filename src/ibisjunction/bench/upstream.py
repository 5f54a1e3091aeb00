"""A stand-in for an upstream.

It speaks the upstream protocol over HTTP, runs requests for a set time on a
set number of slots, and records each run in a file for the checks.
"""

import asyncio
import contextlib
import hashlib
import logging
from collections.abc import AsyncIterator, Coroutine
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path
from typing import IO, Any, Final

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler, stream_request_body

from ibisjunction.bench.grants import GrantBook
from ibisjunction.clock import Clock, SystemClock, in_seconds
from ibisjunction.limits import CHUNK_BYTES
from ibisjunction.mailbox import run_task
from ibisjunction.upstreams.protocol import (
    FENCE_HEADER,
    REQUEST_ID_HEADER,
    SHARD_HEADER,
    Announcement,
    GrantCall,
)
from ibisjunction.verdict import VERDICT_HEADER, Verdict

_logger = logging.getLogger(__name__)

_ANNOUNCE_INTERVAL_MS: Final = 1000


@dataclass(frozen=True, slots=True)
class UpstreamProfile:
    """How the stand-in behaves.

    ``service_ms`` is the time a request takes on a slot. ``download_bytes`` is
    the length of each answer; its content follows from the request's target.
    ``announce_to`` are administration addresses, tried in order.
    """

    upstream: str
    service: str
    failure_domain: str
    slots: int
    service_ms: int
    download_bytes: int
    checks_fence: bool
    announce_to: tuple[str, ...]
    token: str
    record_file: Path


class RunRecord(msgspec.Struct, frozen=True):
    """One line of the record file: a request that ran."""

    upstream: str
    request_id: str
    shard: str
    fence: int
    started_ms: int
    ended_ms: int
    method: str
    target: str
    body_digest: str


def make_answer(target: str, length: int) -> bytes:
    """Return the answer to a target, so that a caller can check it whole."""
    digest = hashlib.sha256(target.encode()).digest()
    repeats = -(-length // len(digest))
    return (digest * repeats)[:length]


class _Upstream:
    """State shared by the handlers."""

    def __init__(self, profile: UpstreamProfile, records: IO[bytes]) -> None:
        self.profile = profile
        self.clock: Clock = SystemClock()
        self.grants = GrantBook()
        self.slots = asyncio.Semaphore(profile.slots)
        self._records = records
        self._runs: dict[str, asyncio.Task[None]] = {}

    async def run(
        self,
        request_id: str,
        work: Coroutine[Any, Any, None],
    ) -> bool:
        """Do the work of a request; return whether it was not cancelled."""
        task = asyncio.create_task(work)
        self._runs[request_id] = task
        await asyncio.wait({task})
        if self._runs.get(request_id) is task:
            self._runs.pop(request_id)
        return not task.cancelled()

    def cancel(self, request_id: str) -> bool:
        """Cancel a request; return whether it was waiting or running."""
        task = self._runs.get(request_id)
        return task is not None and task.cancel()

    def record(self, run: RunRecord) -> None:
        """Append one line to the record file."""
        self._records.write(msgspec.json.encode(run) + b'\n')
        self._records.flush()


class _GrantsHandler(RequestHandler):
    def initialize(self, upstream: _Upstream) -> None:
        self._upstream = upstream

    def put(self) -> None:
        call = msgspec.json.decode(self.request.body, type=GrantCall)
        now = self._upstream.clock.now()
        answer = self._upstream.grants.accept(call, now)
        self.finish(msgspec.json.encode(answer))


class _CancelHandler(RequestHandler):
    def initialize(self, upstream: _Upstream) -> None:
        self._upstream = upstream

    def post(self, request_id: str) -> None:
        is_known = self._upstream.cancel(request_id)
        self.set_status(
            HTTPStatus.NO_CONTENT if is_known else HTTPStatus.NOT_FOUND,
        )


@stream_request_body
class _WorkHandler(RequestHandler):
    def initialize(self, upstream: _Upstream) -> None:
        self._upstream = upstream
        self._digest = hashlib.sha256()

    def data_received(self, chunk: bytes) -> None:
        self._digest.update(chunk)

    async def get(self) -> None:
        await self._run()

    async def post(self) -> None:
        await self._run()

    async def put(self) -> None:
        await self._run()

    async def _run(self) -> None:
        upstream = self._upstream
        started_ms = upstream.clock.now()
        shard = self.request.headers.get(SHARD_HEADER, '')
        fence = int(self.request.headers.get(FENCE_HEADER, '0'))
        if not self._is_allowed(shard, fence, started_ms):
            self.set_status(HTTPStatus.CONFLICT)
            self.set_header(VERDICT_HEADER, Verdict.NOT_RUN.value)
            return
        request_id = self.request.headers.get(REQUEST_ID_HEADER, '')
        self.set_header(REQUEST_ID_HEADER, request_id)
        work = self._work(shard, fence, started_ms)
        if await upstream.run(request_id, work):
            await self._send_answer()
        else:
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
            self.set_header(VERDICT_HEADER, Verdict.NOT_RUN.value)

    async def _work(self, shard: str, fence: int, started_ms: int) -> None:
        upstream = self._upstream
        async with upstream.slots:
            await asyncio.sleep(in_seconds(upstream.profile.service_ms))
            upstream.record(self._describe_run(shard, fence, started_ms))

    def _is_allowed(self, shard: str, fence: int, now: int) -> bool:
        if not self._upstream.profile.checks_fence:
            return True
        service, _, number = shard.rpartition('/')
        if not number.isdecimal():
            return False
        return self._upstream.grants.allows(service, int(number), fence, now)

    def _describe_run(
        self,
        shard: str,
        fence: int,
        started_ms: int,
    ) -> RunRecord:
        return RunRecord(
            upstream=self._upstream.profile.upstream,
            request_id=self.request.headers.get(REQUEST_ID_HEADER, ''),
            shard=shard,
            fence=fence,
            started_ms=started_ms,
            ended_ms=self._upstream.clock.now(),
            method=str(self.request.method),
            target=str(self.request.uri),
            body_digest=self._digest.hexdigest(),
        )

    async def _send_answer(self) -> None:
        answer = make_answer(
            str(self.request.uri),
            self._upstream.profile.download_bytes,
        )
        self.set_header('Content-Length', str(len(answer)))
        self.set_header('Content-Type', 'application/octet-stream')
        for start in range(0, len(answer), CHUNK_BYTES):
            self.write(answer[start : start + CHUNK_BYTES])
            await self.flush()


@contextlib.asynccontextmanager
async def run_upstream(profile: UpstreamProfile) -> AsyncIterator[str]:
    """Run a stand-in for the duration of the block; yields ``host:port``."""
    with profile.record_file.open('ab') as records:
        upstream = _Upstream(profile, records)
        server = HTTPServer(_make_application(upstream))
        sockets = bind_sockets(0, '127.0.0.1')
        server.add_sockets(sockets)
        port = sockets[0].getsockname()[1]
        address = f'127.0.0.1:{port}'
        announcement = Announcement(
            upstream=profile.upstream,
            service=profile.service,
            address=address,
            failure_domain=profile.failure_domain,
            slots=profile.slots,
            connections=100,
            checks_fence=profile.checks_fence,
            incarnation=upstream.clock.now(),
        )
        async with run_task(_announce(profile, announcement), 'announce'):
            yield address
        server.stop()
        await server.close_all_connections()


def _make_application(upstream: _Upstream) -> Application:
    shared: dict[str, Any] = {'upstream': upstream}
    return Application(
        [
            ('/ibis/grants', _GrantsHandler, shared),
            ('/ibis/cancel/(.+)', _CancelHandler, shared),
            ('/.*', _WorkHandler, shared),
        ],
        log_function=lambda handler: None,
    )


async def _announce(
    profile: UpstreamProfile,
    announcement: Announcement,
) -> None:
    while True:
        for address in profile.announce_to:
            if await _announce_to(address, profile.token, announcement):
                break
        await asyncio.sleep(in_seconds(_ANNOUNCE_INTERVAL_MS))


async def _announce_to(
    address: str,
    token: str,
    announcement: Announcement,
) -> bool:
    request = HTTPRequest(
        f'http://{address}/v1/upstreams',
        method='POST',
        headers={'Authorization': f'Bearer {token}'},
        body=msgspec.json.encode(announcement),
    )
    try:
        response = await AsyncHTTPClient().fetch(request, raise_error=False)
    except OSError:
        return False
    return response.code == HTTPStatus.NO_CONTENT
