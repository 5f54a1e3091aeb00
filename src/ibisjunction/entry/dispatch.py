"""Assigns requests to upstreams and queues those that have to wait.

The dispatcher does no I/O and reads no clock. Each group of upstreams has one
entry VM as its dispatcher, which therefore decides on all requests for the
group. Waiting requests are served in this order: those that can still meet
their target, by rank, then the late ones. A request that can't be served before
it times out is refused at once.
"""

import operator
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from ibisjunction.entry.health import HealthReport
from ibisjunction.entry.health_table import HealthTable
from ibisjunction.entry.model import Reason
from ibisjunction.entry.view import FleetView
from ibisjunction.fleet.model import ProcessKey, Upstream

#: An upstream in another failure domain costs more by this fraction of the time
#: that the request has left until its target. A request may lose this much of
#: that time by staying in its failure domain.
_REMOTE_PENALTY_FRACTION: Final = 0.4
#: Longest wait of a request whose key has no owner. A move takes up to two
#: check-ins of upstreams.
_OWNER_WAIT_MS: Final = 1500
#: Retry time given to callers whose request a dispatcher refused.
_RETRY_AFTER_MS: Final = 300
#: Fraction of the usual service time that must be left for a request to be
#: sent; a request that times out halfway occupies a slot for nothing.
_MIN_SERVICE_FRACTION: Final = 0.8
#: Fraction of its remaining time that a request may be expected to take, from
#: now to its answer. A request that exceeds it is refused: the estimate is
#: rough, and a refused caller can retry later.
_MAX_DURATION_FRACTION: Final = 0.9


@dataclass(frozen=True, slots=True)
class Grant:
    """The request may be sent to this upstream now."""

    upstream: Upstream


@dataclass(frozen=True, slots=True)
class Wait:
    """The request is queued until a later decision."""


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request is not sent."""

    reason: Reason
    retry_after_ms: int = _RETRY_AFTER_MS


Decision = Grant | Wait | Refuse


@dataclass(frozen=True, slots=True)
class TicketRequest:
    """A request for permission to send; times are on this VM's clock.

    ``key`` is set if only the owner of the key may serve the request.
    ``give_up_ms`` is when it times out. ``avoided`` are the processes of
    upstreams that did not accept an earlier attempt of the request, or gave no
    usable answer to it.
    """

    number: int
    vm: str
    service: str
    key: int | None
    rank: int
    failure_domain: str
    requested_ms: int
    target_ms: int
    give_up_ms: int
    avoided: frozenset[ProcessKey] = frozenset()


class Dispatcher:
    """Grants upstreams to requests, by their health and free capacity."""

    def __init__(self, rng: random.Random) -> None:
        """Start without upstreams."""
        self._rng = rng
        self.health = HealthTable()
        self._waiting: list[TicketRequest] = []
        self.view: FleetView | None = None
        #: Returns the share of an upstream's limit for a queue.
        self.find_share: Callable[[str], float] = _use_whole_limit

    @property
    def waiting_count(self) -> int:
        """The number of waiting requests."""
        return len(self._waiting)

    def update_view(self, view: FleetView) -> None:
        """Replace the view and discard the health of removed processes."""
        self.view = view
        self.health.retain(view.list_all_upstreams())

    def submit(self, request: TicketRequest, now: int) -> Decision:
        """Decide on a new request; queue it if it has to wait."""
        decision = self._decide(request, now)
        if not isinstance(decision, Wait):
            return decision
        if self._would_time_out(request, now):
            return Refuse(Reason.OVERLOADED)
        self._waiting.append(request)
        return decision

    def is_waiting(self, vm: str, number: int) -> bool:
        """Return whether a request is queued here."""
        return any(
            (request.vm, request.number) == (vm, number)
            for request in self._waiting
        )

    def cancel(self, vm: str, number: int) -> None:
        """Remove a waiting request."""
        self._waiting = [
            request
            for request in self._waiting
            if (request.vm, request.number) != (vm, number)
        ]

    def decide_waiting(
        self,
        now: int,
    ) -> list[tuple[TicketRequest, Grant | Refuse]]:
        """Return the decisions on waiting requests that have become possible.

        Requests that can still meet their target overtake late ones. A late
        request is refused once those ahead of it would make it time out.
        """
        decided: list[tuple[TicketRequest, Grant | Refuse]] = []
        still_waiting: list[TicketRequest] = []
        ahead: Counter[str] = Counter()
        ordered = [
            (self._sort_key(request, now), request) for request in self._waiting
        ]
        ordered.sort(key=operator.itemgetter(0))
        for (is_late, *_), request in ordered:
            queue = self._find_queue_name(request)
            decision = self._decide(request, now)
            is_waiting_late = is_late and isinstance(decision, Wait)
            if is_waiting_late and self._exceeds_remaining_time(
                request,
                ahead[queue],
                now,
            ):
                decision = Refuse(Reason.OVERLOADED)
            if isinstance(decision, Wait):
                ahead[queue] += 1
                still_waiting.append(request)
            else:
                decided.append((request, decision))
        self._waiting = still_waiting
        return decided

    def finish(
        self,
        upstream: Upstream,
        report: HealthReport,
        now: int,
        granted_ms: int = 0,
    ) -> None:
        """Free the slot of a granted request and record its result."""
        health = self.health.get(upstream)
        health.in_flight = max(0, health.in_flight - 1)
        health.record(report, now, granted_ms)

    def _decide(self, request: TicketRequest, now: int) -> Decision:
        """Decide on a request; a grant occupies a slot of the upstream."""
        view = self.view
        if view is None:
            return Refuse(Reason.NOT_READY)
        candidates = self._find_candidates(request, view)
        if candidates is None:
            if now >= min(
                request.requested_ms + _OWNER_WAIT_MS,
                request.give_up_ms,
            ):
                return Refuse(Reason.NO_OWNER)
            return Wait()
        if not candidates:
            return Refuse(Reason.NO_UPSTREAM)
        for candidate in candidates:
            health = self.health.get(candidate)
            health.discard_old_samples(now)
            if health.pacer.limit_per_s is not None:
                queue = self._find_queue_name(request)
                health.pacer.use_share(self.find_share(queue), now)
        fastest_ms = min(
            self.health.get(candidate).service_ms for candidate in candidates
        )
        if now + fastest_ms * _MIN_SERVICE_FRACTION >= request.give_up_ms:
            return Refuse(Reason.TIMED_OUT)
        available = [
            candidate
            for candidate in candidates
            if self.health.get(candidate).has_free_capacity(now)
        ]
        if not available:
            return Wait()
        chosen = min(
            available,
            key=lambda candidate: self._cost(request, candidate, now),
        )
        self.health.get(chosen).in_flight += 1
        self.health.get(chosen).pacer.take(now)
        return Grant(chosen)

    def _find_candidates(
        self,
        request: TicketRequest,
        view: FleetView,
    ) -> list[Upstream] | None:
        """Return the upstreams that may serve a request.

        Those to avoid are returned only if there are no others.

        :return: ``None`` if the key of the request has no owner.
        """
        if request.key is not None:
            owner = view.find_owner(request.service, request.key)
            return None if owner is None else [owner]
        upstreams = view.list_group(request.service, request.number)
        preferred = [
            upstream
            for upstream in upstreams
            if upstream.process_key not in request.avoided
        ]
        return preferred or upstreams

    def _cost(
        self,
        request: TicketRequest,
        upstream: Upstream,
        now: int,
    ) -> float:
        """Return the cost of an upstream for a request, as a latency.

        Traffic between failure domains is billed, so a remote upstream is
        chosen only if no local one is likely to meet the target. The random
        factor spreads requests over upstreams of similar cost.
        """
        health = self.health.get(upstream)
        cost = health.cost()
        if upstream.failure_domain != request.failure_domain:
            # An upstream that has not answered yet costs next to nothing, so
            # that it gets a request, but more than such a local one.
            remaining_ms = (
                max(0, request.target_ms - now) if health.has_answered else 1
            )
            cost += remaining_ms * _REMOTE_PENALTY_FRACTION
        return cost * (1 + self._rng.random() / 8)

    def _sort_key(
        self,
        request: TicketRequest,
        now: int,
    ) -> tuple[bool, int, int]:
        """Return the key by which waiting requests are ordered.

        A request counts as late if the conservative service time exceeds the
        time until its target. Under overload, requests are sent when they can
        only just meet their target, and with the usual service time as the
        limit most of them would end late.
        """
        candidates = self._list_candidates(request)
        conservative_service_ms = min(
            (
                self.health.get(candidate).conservative_service_ms
                for candidate in candidates
            ),
            default=0,
        )
        is_late = now + conservative_service_ms > request.target_ms
        return (is_late, request.rank, request.target_ms)

    def _list_candidates(self, request: TicketRequest) -> list[Upstream]:
        """Return the candidates; empty without a view or an owner."""
        view = self.view
        return (view and self._find_candidates(request, view)) or []

    def _would_time_out(self, request: TicketRequest, now: int) -> bool:
        """Return whether a new request would time out in the queue."""
        queue = self._find_queue_name(request)
        sort_key = self._sort_key(request, now)
        ahead = sum(
            1
            for other in self._waiting
            if self._find_queue_name(other) == queue
            and self._sort_key(other, now) <= sort_key
        )
        return self._exceeds_remaining_time(request, ahead, now)

    def _exceeds_remaining_time(
        self,
        request: TicketRequest,
        ahead: int,
        now: int,
    ) -> bool:
        """Return whether a request is expected to time out.

        :param ahead: the number of requests served before this one.
        """
        candidates = self._list_candidates(request)
        if not candidates:
            return False
        healths = [self.health.get(candidate) for candidate in candidates]
        service_rate = sum(health.service_rate for health in healths)
        service_ms = min(health.service_ms for health in healths)
        expected_ms = (ahead + 1) / service_rate + service_ms
        return expected_ms > (request.give_up_ms - now) * _MAX_DURATION_FRACTION

    def _find_queue_name(self, request: TicketRequest) -> str:
        """Return the name of the queue in which a request waits."""
        if self.view is None:
            return request.service
        return self.view.find_queue_name(
            request.service,
            request.number,
            request.key,
        )


def _use_whole_limit(queue: str) -> float:
    """Return the share of a dispatcher that is the only one."""
    return 1
