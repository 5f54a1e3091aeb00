"""State of a stand-in and the rules by which it takes requests."""

import asyncio
import contextlib
import itertools
import os
import signal
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass, field
from typing import Final

from ibisjunction.bench.faults import Report
from ibisjunction.bench.grants import GrantBook
from ibisjunction.bench.profile import UpstreamProfile
from ibisjunction.bench.run_records import RunEnded, RunStarted, RunWriter
from ibisjunction.bench.service_time import ServiceTimes
from ibisjunction.bench.silence import ConnectionBook
from ibisjunction.clock import MS_PER_S, Clock
from ibisjunction.upstreams.protocol import (
    DEADLINE_HEADER,
    FENCE_HEADER,
    REQUEST_ID_HEADER,
    SHARD_HEADER,
)

_NO_DEADLINE_MS: Final = 86_400_000


@dataclass(frozen=True, slots=True)
class Work:
    """A request as the stand-in sees it."""

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
    """The request ran."""


@dataclass(frozen=True, slots=True)
class Fenced:
    """The grant in force is another one; the request was not run."""


@dataclass(frozen=True, slots=True)
class Shed:
    """The stand-in has too much to do; the request was not run."""


Admission = Ran | Fenced | Shed


@dataclass(slots=True)
class Switches:
    """Faults in force."""

    is_shedding: bool = False
    is_draining: bool = False
    crash_prefix: str = ''
    report: Report = Report.ACCURATE
    thawed: asyncio.Event = field(default_factory=asyncio.Event)


class StandIn:
    """One stand-in: its grants, slots, faults and records."""

    def __init__(
        self,
        profile: UpstreamProfile,
        clock: Clock,
        writer: RunWriter,
    ) -> None:
        """Start cold and without grants."""
        self.profile = profile
        self.clock = clock
        self.writer = writer
        self.grants = GrantBook()
        self.connections = ConnectionBook()
        self.switches = Switches(crash_prefix=profile.crash_on)
        self.switches.thawed.set()
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.running = 0
        self.queued = 0
        self._slots = asyncio.Semaphore(profile.slots)
        self._times = ServiceTimes(profile.service_time, clock.now())
        self._numbers = itertools.count(1)
        self._start = f'{profile.upstream}-{clock.now()}'

    def refuse(self, work: Work) -> Fenced | Shed | None:
        """Return why a request may not run now, if it may not."""
        now = self.clock.now()
        if now >= work.deadline_ms:
            return Shed()
        if self.profile.checks_fence and not self._holds_grant(work, now):
            return Fenced()
        bound = self.profile.max_queue
        is_full = bool(bound) and self.queued > bound
        return Shed() if is_full or self.switches.is_shedding else None

    @contextlib.asynccontextmanager
    async def run(self, work: Work) -> AsyncIterator[Admission]:
        """Run a request; its slot is held until the end of the block.

        The grant is checked again after the wait for a slot.
        """
        refusal = self.refuse(work)
        if refusal is not None:
            yield refusal
            return
        async with self._slot():
            refusal = self.refuse(work)
            if refusal is not None:
                yield refusal
                return
            async with self._recorded(work):
                delay_ms = self._times.draw(self.clock.now())
                await asyncio.sleep(delay_ms / MS_PER_S)
                yield Ran()

    @contextlib.asynccontextmanager
    async def _slot(self) -> AsyncIterator[None]:
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
    async def _recorded(self, work: Work) -> AsyncIterator[None]:
        run = f'{self._start}-{next(self._numbers)}'
        self.writer.write(self._describe(run, work))
        self._crash_on(work.target)
        result = 'cancelled'
        try:
            yield
            result = 'done'
        finally:
            self.writer.write(RunEnded(run, self.clock.now(), result))

    def _describe(self, run: str, work: Work) -> RunStarted:
        return RunStarted(
            run=run,
            upstream=self.profile.upstream,
            request_id=work.request_id,
            idempotency_key=work.idempotency_key,
            shard=work.shard,
            fence=work.fence,
            at_ms=self.clock.now(),
            method=work.method,
            target=work.target,
            body_digest=work.body_digest,
        )

    def _crash_on(self, target: str) -> None:
        prefix = self.switches.crash_prefix
        if prefix and target.startswith(prefix):
            os.kill(os.getpid(), signal.SIGKILL)

    def _holds_grant(self, work: Work, now: int) -> bool:
        service, _, number = work.shard.rpartition('/')
        if not number.isdecimal():
            return False
        return self.grants.allows(service, int(number), work.fence, now)


def read_work(
    method: str,
    target: str,
    headers: Mapping[str, str],
    body: bytes,
    now: int,
) -> Work:
    """Return a request from its HTTP parts; ``body`` is its digest."""
    remaining = headers.get(DEADLINE_HEADER, '')
    remaining_ms = int(remaining) if remaining.isdecimal() else _NO_DEADLINE_MS
    return Work(
        method=method,
        target=target,
        request_id=headers.get(REQUEST_ID_HEADER, ''),
        idempotency_key=headers.get('Idempotency-Key', ''),
        shard=headers.get(SHARD_HEADER, ''),
        fence=int(headers.get(FENCE_HEADER, '0')),
        deadline_ms=now + remaining_ms,
        body_digest=body.hex(),
    )
