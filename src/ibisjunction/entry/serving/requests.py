"""Routes requests on an entry VM, and measures loads and latencies."""

import asyncio
import functools
import logging
import random
from collections.abc import Callable
from typing import Final

from ibisjunction.catalogue.model import Limits
from ibisjunction.clock import in_seconds
from ibisjunction.coordination.loads import KeyLoad, bucket_of
from ibisjunction.coordination.speeds import UpstreamSpeed
from ibisjunction.entry.components import EntryComponents
from ibisjunction.entry.dispatching.dispatch import Grant, Refuse
from ibisjunction.entry.dispatching.health import HealthReport, HealthResult
from ibisjunction.entry.following.view import FleetView
from ibisjunction.entry.hedging.race import Hedge
from ibisjunction.entry.model import (
    CallerRequest,
    Outcome,
    Reason,
    Refused,
    RoutedRequest,
)
from ibisjunction.entry.serving.attempt_loop import AttemptLoop
from ibisjunction.entry.serving.send_gate import SendGate, has_large_answer
from ibisjunction.entry.serving.shutdown import REFUSED_BY_SHUTDOWN
from ibisjunction.entry.serving.trail import Trail
from ibisjunction.entry.tickets.ticket_request import TicketRequest
from ibisjunction.events import Event, log_event
from ibisjunction.fleet.model import LAST_KEY, ProcessKey, Upstream
from ibisjunction.mailbox import Mailbox

_logger = logging.getLogger(__name__)

#: Retry time given to callers while this VM is not ready.
_RETRY_AFTER_MS: Final = 500
#: A request times out this long before its deadline: the caller counts the
#: deadline from when it sent the request, and the answer takes time to arrive.
_ANSWER_MARGIN_MS: Final = 40
#: Random bits in the number of the first ticket request. Numbers must fit into
#: 64 bits on the wire.
_NUMBER_BITS: Final = 62


class RequestProcessor:
    """Routes and serves requests, and measures loads and latencies."""

    def __init__(self, components: EntryComponents, rng: random.Random) -> None:
        """Start without a view of the fleet; no request is accepted yet.

        Other VMs may still know ticket requests of an earlier process of this
        VM, so each process numbers its own from a random start.
        """
        self._components = components
        self._last_number = rng.getrandbits(_NUMBER_BITS)
        self._loads: dict[str, dict[int, int]] = {}
        self._latencies: dict[ProcessKey, list[int]] = {}
        self._limits: dict[ProcessKey, float | None] = {}
        self.view: FleetView | None = None
        self.send_gate = SendGate()
        #: Requests that wait for a ticket, by where they get the decision.
        self.waiting: dict[Mailbox[Grant | Refuse], RoutedRequest] = {}
        self._time_limits: set[asyncio.Timeout] = set()
        #: Called with the limits on requests at each update to a view that has
        #: limits.
        self.on_limits_changed: Callable[[Limits], None] = _ignore_limits

    @property
    def is_ready(self) -> bool:
        """Whether this VM accepts requests."""
        view = self.view
        is_configured = view is not None and not view.is_empty
        is_leased = self._components.lease.is_held(self._components.clock.now())
        return (
            is_configured and is_leased and not self.send_gate.is_shutting_down
        )

    @property
    def waiting_count(self) -> int:
        """The number of requests that wait for a ticket."""
        return len(self.waiting)

    def begin_shutdown(self, end_ms: int) -> None:
        """Stop being ready; what is still sent has to be answered in time.

        :param end_ms: when requests in flight are cut off.
        """
        self.send_gate.begin(end_ms)
        self.refuse_late()

    def refuse_late(self) -> None:
        """Refuse the waiting requests that can't be answered in time."""
        now = self._components.clock.now()
        refusals = self.send_gate.list_refusals(
            self.waiting.values(), self._components.link, now
        )
        for reply, refusal in zip(self.waiting, refusals, strict=True):
            if refusal is not None:
                reply.post(refusal)

    def refuse_unsent(self) -> None:
        """Refuse the requests that wait for a ticket.

        It is called once nothing more is sent, so that callers go to other VMs
        instead of waiting until they are cut off.
        """
        for reply in self.waiting:
            reply.post(REFUSED_BY_SHUTDOWN)

    def end_requests(self) -> None:
        """Let the requests in flight time out now.

        It is called shortly before their connections are closed. What was not
        sent is refused, and its caller goes to another VM at once.
        """
        for time_limit in self._time_limits:
            if not time_limit.expired():
                time_limit.reschedule(0)

    def may_send(self, now: int) -> bool:
        """Return whether a request with time left may still be sent."""
        return self.send_gate.is_open(now)

    def update_view(self, view: FleetView) -> None:
        """Replace the view of the fleet, here and in the ticket task."""
        self.view = view
        self._update_evacuations(view)
        self._components.notices.retain(view.process_keys)
        self._components.suspects.retain(view.process_keys)
        self._components.tickets.post(view)
        if view.limits is not None:
            self.on_limits_changed(view.limits)

    def _update_evacuations(self, view: FleetView) -> None:
        now = self._components.clock.now()
        added, removed = self._components.evacuations.update(
            view.state.evacuated, now
        )
        for event, domains in (
            (Event.DOMAIN_EVACUATED, added),
            (Event.DOMAIN_RESTORED, removed),
        ):
            for domain in domains:
                log_event(
                    _logger,
                    event,
                    vm=self._components.vm,
                    failure_domain=domain,
                    index=view.index,
                )

    def take_loads(self) -> tuple[KeyLoad, ...]:
        """Return the number of requests per key bucket since the last call."""
        loads = tuple(
            KeyLoad(service, requests)
            for service, requests in self._loads.items()
        )
        self._loads = {}
        return loads

    def take_speeds(self) -> tuple[UpstreamSpeed, ...]:
        """Return latencies and limits of upstreams since the last call."""
        speeds = tuple(
            UpstreamSpeed(
                name,
                born,
                tuple(self._latencies.get((name, born), ())),
                self._limits.get((name, born)),
            )
            for name, born in self._latencies.keys() | self._limits.keys()
        )
        self._latencies = {}
        self._limits = {}
        return speeds

    def record_report(self, upstream: Upstream, report: HealthReport) -> None:
        """Record the latency and the limit in an answer for the next report."""
        if report.tells_limit:
            self._limits[upstream.process_key] = report.limit_per_s
        if report.result is HealthResult.ANSWERED:
            latencies = self._latencies.setdefault(upstream.process_key, [])
            latencies.append(report.latency_ms)

    def find_timeout_ms(self, host: str, target: str) -> int | None:
        """Return the timeout of the route of a request, if there is one."""
        view = self.view
        named_route = None if view is None else view.routes.match(host, target)
        return None if named_route is None else named_route.route.timeout_ms

    def route(self, request: CallerRequest) -> RoutedRequest | Refused:
        """Choose the service for a request and count its key, or refuse it."""
        view = self.view
        now = self._components.clock.now()
        if view is None or view.is_empty:
            return Refused(Reason.NOT_READY, _RETRY_AFTER_MS)
        if not self._components.lease.is_held(now):
            return Refused(Reason.NOT_READY, _RETRY_AFTER_MS)
        named_route = view.routes.match(request.host, request.target)
        if named_route is None:
            return Refused(Reason.NO_ROUTE)
        service = self._components.splitter.choose(named_route)
        service_item = view.find_service(service)
        is_sharded = service_item is not None and service_item.is_sharded
        if is_sharded and not _is_valid_key(request.key):
            return Refused(Reason.NO_KEY)
        if is_sharded and request.key is not None:
            counts = self._loads.setdefault(service, {})
            bucket = bucket_of(request.key)
            counts[bucket] = counts.get(bucket, 0) + 1
        give_up_ms = request.arrived_ms + named_route.route.timeout_ms
        if request.deadline_ms is not None:
            give_up_ms = min(give_up_ms, request.deadline_ms)
        return RoutedRequest(
            request, named_route, service, is_sharded, give_up_ms
        )

    async def serve(self, routed: RoutedRequest, trail: Trail) -> Outcome:
        """Serve a request; return its final outcome before it times out."""
        remaining_ms = routed.give_up_ms - self._components.clock.now()
        attempt_loop = AttemptLoop(self, self._components, routed, trail)
        runner = self._hedge(attempt_loop, routed, trail) or attempt_loop
        time_limit = asyncio.timeout(
            in_seconds(max(0, remaining_ms - _ANSWER_MARGIN_MS))
        )
        try:
            async with time_limit:
                self._time_limits.add(time_limit)
                return await runner.run()
        except TimeoutError:
            return runner.make_timeout_outcome()
        finally:
            self._time_limits.discard(time_limit)

    def _hedge(
        self, attempt_loop: AttemptLoop, routed: RoutedRequest, trail: Trail
    ) -> Hedge | None:
        """Return the race of a request that may get a second attempt."""
        components = self._components
        is_eligible = routed.is_idempotent and not routed.is_sharded
        if not is_eligible or not components.hedging.terms.ratio:
            return None
        return Hedge(
            components.hedging,
            components.clock,
            routed,
            trail,
            attempt_loop,
            lambda avoided: AttemptLoop(
                self,
                components,
                routed,
                trail,
                frozenset((avoided,)),
                is_hedge=True,
            ),
            functools.partial(components.budget.try_acquire, routed.service),
        )

    def make_ticket_request(
        self,
        routed: RoutedRequest,
        avoided: frozenset[ProcessKey],
        fingerprint: int,
    ) -> TicketRequest:
        """Return a new ticket request for a request."""
        self._last_number += 1
        return TicketRequest(
            number=self._last_number,
            vm=self._components.vm,
            service=routed.service,
            key=routed.request.key if routed.is_sharded else None,
            rank=routed.named_route.route.rank,
            failure_domain=self._components.failure_domain,
            requested_ms=self._components.clock.now(),
            target_ms=routed.target_ms,
            give_up_ms=self.send_gate.find_give_up_ms(routed),
            avoided=avoided,
            is_bulky=has_large_answer(routed),
            fingerprint=fingerprint,
        )


def _ignore_limits(limits: Limits) -> None:
    """Ignore the limits: no server is attached."""


def _is_valid_key(key: int | None) -> bool:
    return key is not None and 0 <= key <= LAST_KEY
