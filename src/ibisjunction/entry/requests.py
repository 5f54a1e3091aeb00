"""The life of one request on an entry VM."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from ibisjunction.catalogue.model import Limits
from ibisjunction.catalogue.routes import Splitter
from ibisjunction.clock import Clock, in_seconds
from ibisjunction.coordination.loads import (
    KeyLoad,
    UpstreamSpeed,
    bucket_of,
)
from ibisjunction.entry.attempts import (
    Declined,
    Judgement,
    Lost,
    Progress,
    Unsent,
    conclude,
    health_of,
    judge,
    may_send_again,
    verdict_of,
)
from ibisjunction.entry.budget import RetryBudget
from ibisjunction.entry.dispatch import (
    Ask,
    Grant,
    Refuse,
)
from ibisjunction.entry.exchange import (
    NoAnswer,
    NotConnected,
    Result,
    UpstreamConnection,
)
from ibisjunction.entry.health import Report
from ibisjunction.entry.health import Result as Health
from ibisjunction.entry.messages import LocalAsk, LocalDone
from ibisjunction.entry.model import (
    CallerRequest,
    Failed,
    HeaderNames,
    Outcome,
    Refused,
    RoutedRequest,
    Why,
)
from ibisjunction.entry.outgoing import make_message
from ibisjunction.entry.pool import Pool
from ibisjunction.entry.trail import Trail
from ibisjunction.entry.view import FleetView
from ibisjunction.events import Event
from ibisjunction.fleet.model import LAST_KEY, Process, Upstream
from ibisjunction.mailbox import Mailbox
from ibisjunction.membership.leases import VmLease
from ibisjunction.settings import Address
from ibisjunction.settings.loader import parse_address
from ibisjunction.verdict import Verdict

_NOT_READY_RETRY_MS: Final = 500
#: A request is not sent with less time left than this.
_MIN_LEFT_MS: Final = 20
#: Wait before a request is sent again to the only upstream that may take it.
_SAME_UPSTREAM_MS: Final = 40
#: An answer is given this long before the caller's deadline: the deadline was
#: counted from when the caller sent the request, and the answer needs as long.
_ANSWER_MARGIN_MS: Final = 40


@dataclass(slots=True)
class EntryParts:
    """What the requests of one VM share."""

    vm: str
    failure_domain: str
    clock: Clock
    names: HeaderNames
    lease: VmLease
    tickets: Mailbox[Any]
    splitter: Splitter
    budget: RetryBudget
    pool: Pool


class RequestDesk:
    """Routes requests, holds those that wait, and counts keys."""

    def __init__(self, parts: EntryParts) -> None:
        """Start without a view of the fleet."""
        self._parts = parts
        self._numbers = 0
        self._loads: dict[str, dict[int, int]] = {}
        self._latencies: dict[Process, list[int]] = {}
        self.view: FleetView | None = None
        self.is_draining = False
        #: Called with the limits on callers when they change.
        self.on_limits: Callable[[Limits], None] = _ignore_limits

    @property
    def is_ready(self) -> bool:
        """Whether this VM may take requests."""
        view = self.view
        is_known = view is not None and not view.is_empty
        is_leased = self._parts.lease.is_held(self._parts.clock.now())
        return is_known and is_leased and not self.is_draining

    def update_view(self, view: FleetView) -> None:
        """Take a new state of the fleet."""
        self.view = view
        self._parts.tickets.post(view)
        if view.limits is not None:
            self.on_limits(view.limits)

    def take_loads(self) -> tuple[KeyLoad, ...]:
        """Return the requests by key since the last call."""
        loads = tuple(
            KeyLoad(service, requests)
            for service, requests in self._loads.items()
        )
        self._loads = {}
        return loads

    def take_speeds(self) -> tuple[UpstreamSpeed, ...]:
        """Return the latencies of upstreams since the last call."""
        speeds = tuple(
            UpstreamSpeed(name, born, tuple(latencies))
            for (name, born), latencies in self._latencies.items()
        )
        self._latencies = {}
        return speeds

    def record_latency(self, upstream: Upstream, latency_ms: int) -> None:
        """Keep the latency of an answer for the next report."""
        latencies = self._latencies.setdefault(upstream.process, [])
        latencies.append(latency_ms)

    def route(self, request: CallerRequest) -> RoutedRequest | Refused:
        """Find the service that takes a request."""
        view = self.view
        now = self._parts.clock.now()
        if view is None or view.is_empty:
            return Refused(Why.NOT_READY, _NOT_READY_RETRY_MS)
        if not self._parts.lease.is_held(now):
            return Refused(Why.NOT_READY, _NOT_READY_RETRY_MS)
        found = view.routes.match(request.host, request.target)
        if found is None:
            return Refused(Why.NO_ROUTE)
        service = self._parts.splitter.choose(found)
        known = view.find_service(service)
        is_sharded = known is not None and known.is_sharded
        if is_sharded and not _is_key(request.key):
            return Refused(Why.NO_KEY)
        if is_sharded and request.key is not None:
            counts = self._loads.setdefault(service, {})
            bucket = bucket_of(request.key)
            counts[bucket] = counts.get(bucket, 0) + 1
        limit_ms = request.arrived_ms + found.route.timeout_ms
        if request.deadline_ms is not None:
            limit_ms = min(limit_ms, request.deadline_ms)
        return RoutedRequest(request, found, service, is_sharded, limit_ms)

    async def serve(self, routed: RoutedRequest, trail: Trail) -> Outcome:
        """Bring a request to its final outcome, in its time."""
        left_ms = routed.give_up_ms - self._parts.clock.now()
        life = _RequestLife(self, self._parts, routed, trail)
        try:
            async with asyncio.timeout(
                in_seconds(max(0, left_ms - _ANSWER_MARGIN_MS)),
            ):
                return await life.run()
        except TimeoutError:
            return life.give_up()

    def make_ask(
        self,
        routed: RoutedRequest,
        avoided: frozenset[Process],
    ) -> Ask:
        """Return a new ask for a request."""
        self._numbers += 1
        return Ask(
            number=self._numbers,
            vm=self._parts.vm,
            service=routed.service,
            key=routed.request.key if routed.is_sharded else None,
            rank=routed.route.route.rank,
            failure_domain=self._parts.failure_domain,
            asked_ms=self._parts.clock.now(),
            target_ms=routed.target_ms,
            give_up_ms=routed.give_up_ms,
            avoided=avoided,
        )


class _RequestLife:
    """The sends of one request."""

    def __init__(
        self,
        desk: RequestDesk,
        parts: EntryParts,
        routed: RoutedRequest,
        trail: Trail,
    ) -> None:
        self._trail = trail
        self._desk = desk
        self._parts = parts
        self._routed = routed
        self._sends = 0
        self._declines = 0
        self._verdict = Verdict.NOT_RUN
        self._avoided: frozenset[Process] = frozenset()
        self._in_flight = False
        self._report = Report(Health.UNUSED)

    async def run(self) -> Outcome:
        """Send the request until it has a final outcome."""
        while True:
            judgement = await self._try()
            if isinstance(judgement, Refuse):
                return self._refuse(judgement)
            if not self._goes_on(judgement):
                return conclude(judgement, self._verdict)
            if self._routed.is_sharded:
                await asyncio.sleep(
                    in_seconds(_SAME_UPSTREAM_MS * self._declines),
                )

    async def _try(self) -> Judgement | Refuse:
        """Get a ticket and send the request once."""
        ask = self._desk.make_ask(self._routed, self._avoided)
        reply: Mailbox[Grant | Refuse] = Mailbox()
        self._report = Report(Health.UNUSED)
        self._parts.tickets.post(LocalAsk(ask, reply))
        try:
            decision = await reply.get()
            return await self._use(decision)
        finally:
            self._parts.tickets.post(LocalDone(ask.number, self._report))

    async def _use(self, decision: Grant | Refuse) -> Judgement | Refuse:
        """Send the request as the dispatcher decided."""
        if isinstance(decision, Refuse):
            return decision
        started_ms = self._parts.clock.now()
        self._trail.add(
            Event.REQUEST_GRANTED,
            started_ms,
            upstream=decision.upstream.upstream,
            index=self._desk.view.index if self._desk.view else 0,
        )
        judgement = await self._send(decision.upstream)
        latency_ms = self._parts.clock.now() - started_ms
        self._report = Report(health_of(judgement), latency_ms)
        if self._report.result is Health.ANSWERED:
            self._desk.record_latency(decision.upstream, latency_ms)
        return judgement

    def give_up(self) -> Outcome:
        """Return the outcome when the time has run out."""
        if self._in_flight or self._verdict is not Verdict.NOT_RUN:
            return Failed(Why.TIMED_OUT, Verdict.MAY_HAVE_RUN)
        return Refused(Why.TIMED_OUT, _NOT_READY_RETRY_MS)

    def _refuse(self, decision: Refuse) -> Outcome:
        if self._verdict is Verdict.NOT_RUN:
            return Refused(decision.why, decision.retry_after_ms)
        return Failed(decision.why, self._verdict)

    def _goes_on(self, judgement: Judgement) -> bool:
        self._verdict = verdict_of(judgement).combine(self._verdict)
        now = self._parts.clock.now()
        route = self._routed.route.route
        progress = Progress(
            sends=self._sends,
            max_sends=route.max_attempts,
            is_idempotent=route.kind.is_idempotent,
            has_time=now + _MIN_LEFT_MS < self._routed.give_up_ms,
            verdict=self._verdict,
        )
        if not may_send_again(judgement, progress):
            return False
        if isinstance(judgement, Unsent):
            return self._declines < _MAX_UNSENT
        has_budget = self._parts.budget.take(self._routed.service, now)
        self._trail.add(Event.REQUEST_REPEATED, now, has_budget=has_budget)
        return has_budget

    async def _send(self, upstream: Upstream) -> Judgement:
        address = parse_address(upstream.address)
        result = await self._exchange(upstream, address)
        judgement = judge(result, self._parts.names)
        if isinstance(judgement, Declined | Unsent | Lost):
            self._declines += 1
            self._avoided |= {upstream.process}
        if isinstance(judgement, Unsent | Lost):
            self._parts.pool.close_idle(address)
        self._trail.add(
            Event.REQUEST_SENT,
            self._parts.clock.now(),
            upstream=upstream.upstream,
            result=type(judgement).__name__,
            detail=getattr(result, 'detail', ''),
        )
        return judgement

    async def _exchange(self, upstream: Upstream, address: Address) -> Result:
        pool = self._parts.pool
        connection = pool.take_idle(
            address,
            is_idempotent=self._routed.is_idempotent,
        )
        if connection is None:
            opened = await pool.open(address)
            if isinstance(opened, NotConnected):
                return opened
            connection = opened
        refusal = self._check_send(upstream)
        if refusal is not None:
            connection.close()
            return refusal
        return await self._perform(connection, upstream, address)

    def _check_send(self, upstream: Upstream) -> NotConnected | None:
        """Return why the request must not be sent any more.

        Nothing waits between this check and the write of the request.
        """
        view = self._desk.view
        now = self._parts.clock.now()
        if not self._parts.lease.is_held(now):
            return NotConnected('the lease of this VM has run out')
        if view is None or not view.is_current(upstream):
            return NotConnected('the upstream is leaving')
        if now + _MIN_LEFT_MS >= self._routed.give_up_ms:
            return NotConnected('no time is left')
        return None

    async def _perform(
        self,
        connection: UpstreamConnection,
        upstream: Upstream,
        address: Address,
    ) -> Result:
        parts = self._parts
        request = self._routed.request
        now = parts.clock.now()
        if self._sends == 0:
            parts.budget.count_request(self._routed.service, now)
        self._sends += 1
        self._in_flight = True
        result: Result = NoAnswer('cancelled')
        try:
            result = await connection.perform(
                make_message(self._routed, upstream, parts.names, now),
                parts.names.request_id,
                request.request_id,
            )
        finally:
            match result:
                case NoAnswer() | NotConnected():
                    connection.close()
                case answer:
                    parts.pool.give_back(address, connection, answer.keeps_ms)
        self._in_flight = False
        return result


#: Connections tried for one request that were not accepted.
_MAX_UNSENT: Final = 3


def _ignore_limits(limits: Limits) -> None:
    """Apply no limits: nobody serves callers."""


def _is_key(key: int | None) -> bool:
    return key is not None and 0 <= key <= LAST_KEY
