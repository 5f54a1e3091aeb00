"""State of a stand-in for an upstream, and the admission of requests."""

import asyncio
import contextlib
import itertools
import os
import signal
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass, field
from typing import Final

from ibisjunction.bench.faults import Report
from ibisjunction.bench.grants import GrantTable
from ibisjunction.bench.profile import UpstreamProfile
from ibisjunction.bench.run_records import RunEnded, RunStarted, RunWriter
from ibisjunction.bench.service_time import ServiceTimeSampler
from ibisjunction.bench.silent_connections import ConnectionRegistry
from ibisjunction.clock import MS_PER_S, Clock
from ibisjunction.upstreams.protocol import (
    DEADLINE_HEADER,
    FENCE_HEADER,
    REQUEST_ID_HEADER,
    SHARD_HEADER,
)

#: Remaining time of a request without a deadline header: one day.
_NO_DEADLINE_MS: Final = 86_400_000


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request that a stand-in received.

    ``deadline_ms`` is a time on the clock of the stand-in.
    """

    method: str
    target: str
    request_id: str
    idempotency_key: str
    shard: str
    fence: int
    deadline_ms: int
    body_digest: str


@dataclass(frozen=True, slots=True)
class Ran:
    """The request was run."""


@dataclass(frozen=True, slots=True)
class Fenced:
    """The fence of the request is not granted; the request was not run."""


@dataclass(frozen=True, slots=True)
class Shed:
    """The request was not run: overload, a passed deadline or a fault."""


Admission = Ran | Fenced | Shed


@dataclass(slots=True)
class ActiveFaults:
    """Faults that are switched on.

    ``thawed`` is cleared while the stand-in is frozen.
    """

    is_shedding: bool = False
    is_draining: bool = False
    crash_prefix: str = ''
    report: Report = Report.ACCURATE
    thawed: asyncio.Event = field(default_factory=asyncio.Event)


class StandIn:
    """A simulated upstream: its grants, slots, faults and records."""

    def __init__(
        self,
        profile: UpstreamProfile,
        clock: Clock,
        writer: RunWriter,
    ) -> None:
        """Start without grants, with the service times of a cold upstream."""
        self.profile = profile
        self.clock = clock
        self.writer = writer
        self.incarnation = clock.now()
        self.grants = GrantTable(self.incarnation)
        self.connections = ConnectionRegistry()
        self.faults = ActiveFaults(crash_prefix=profile.crash_on)
        self.faults.thawed.set()
        self.request_tasks: dict[str, asyncio.Task[None]] = {}
        self.running = 0
        self.queued = 0
        self._slots = asyncio.Semaphore(profile.slots)
        self._service_times = ServiceTimeSampler(
            profile.service_time, clock.now()
        )
        self._run_numbers = itertools.count(1)
        self._run_prefix = f'{profile.upstream}-{clock.now()}'

    def find_refusal(self, request: ReceivedRequest) -> Fenced | Shed | None:
        """Return why a request may not run now, or ``None`` if it may."""
        now = self.clock.now()
        if now >= request.deadline_ms:
            return Shed()
        if self.profile.checks_fence and not self._is_granted(request, now):
            return Fenced()
        max_queue = self.profile.max_queue
        is_full = bool(max_queue) and self.queued > max_queue
        return Shed() if is_full or self.faults.is_shedding else None

    @contextlib.asynccontextmanager
    async def run(self, request: ReceivedRequest) -> AsyncIterator[Admission]:
        """Run a request and occupy a slot until the end of the block.

        Yields :class:`Ran` once the service time has passed, or the refusal.
        The checks are repeated after the wait for a slot.
        """
        refusal = self.find_refusal(request)
        if refusal is not None:
            yield refusal
            return
        async with self._hold_slot():
            refusal = self.find_refusal(request)
            if refusal is not None:
                yield refusal
                return
            async with self._record_run(request):
                service_ms = self._service_times.draw(self.clock.now())
                await asyncio.sleep(service_ms / MS_PER_S)
                yield Ran()

    @contextlib.asynccontextmanager
    async def _hold_slot(self) -> AsyncIterator[None]:
        self.queued += 1
        try:
            await self._slots.acquire()
        finally:
            self.queued -= 1
        self.running += 1
        try:
            yield
        finally:
            self.running -= 1
            self._slots.release()

    @contextlib.asynccontextmanager
    async def _record_run(
        self, request: ReceivedRequest
    ) -> AsyncIterator[None]:
        """Record the start and the end of a run.

        A crash fault kills the process after the start is recorded.
        """
        run = f'{self._run_prefix}-{next(self._run_numbers)}'
        self.writer.write(self._make_start_record(run, request))
        self._crash_if_targeted(request.target)
        result = 'cancelled'
        try:
            yield
            result = 'done'
        finally:
            self.writer.write(RunEnded(run, self.clock.now(), result))

    def _make_start_record(
        self, run: str, request: ReceivedRequest
    ) -> RunStarted:
        return RunStarted(
            run=run,
            upstream=self.profile.upstream,
            request_id=request.request_id,
            idempotency_key=request.idempotency_key,
            shard=request.shard,
            fence=request.fence,
            at_ms=self.clock.now(),
            method=request.method,
            target=request.target,
            body_digest=request.body_digest,
        )

    def _crash_if_targeted(self, target: str) -> None:
        prefix = self.faults.crash_prefix
        if prefix and target.startswith(prefix):
            os.kill(os.getpid(), signal.SIGKILL)

    def _is_granted(self, request: ReceivedRequest, now: int) -> bool:
        service, _, number = request.shard.rpartition('/')
        if not number.isdecimal():
            return False
        return self.grants.allows(service, int(number), request.fence, now)


def parse_request(
    method: str,
    target: str,
    headers: Mapping[str, str],
    body_digest: bytes,
    now: int,
) -> ReceivedRequest:
    """Make a request from its HTTP parts.

    :param body_digest: SHA-256 of the body.
    """
    remaining = headers.get(DEADLINE_HEADER, '')
    remaining_ms = int(remaining) if remaining.isdecimal() else _NO_DEADLINE_MS
    return ReceivedRequest(
        method=method,
        target=target,
        request_id=headers.get(REQUEST_ID_HEADER, ''),
        idempotency_key=headers.get('Idempotency-Key', ''),
        shard=headers.get(SHARD_HEADER, ''),
        fence=int(headers.get(FENCE_HEADER, '0')),
        deadline_ms=now + remaining_ms,
        body_digest=body_digest.hex(),
    )
