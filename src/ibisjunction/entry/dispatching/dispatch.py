"""Assigns requests to upstreams and queues those that have to wait.

The dispatcher does no I/O and reads no clock. Each group of upstreams has one
entry VM as its dispatcher, which therefore decides on all requests for the
group. Requests that wait for the same upstreams form a queue, see
:mod:`ibisjunction.entry.dispatching.waiting`. A request that can't be served
before it times out is refused at once, with the time to come back, see
:mod:`ibisjunction.entry.dispatching.admission`.
"""

import functools
import operator
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final

from ibisjunction.entry.dispatching.admission import Admission
from ibisjunction.entry.dispatching.candidates import Candidates
from ibisjunction.entry.dispatching.cold import DEFAULT_COLD_TERMS, ColdTerms
from ibisjunction.entry.dispatching.health import HealthReport, UpstreamHealth
from ibisjunction.entry.dispatching.health_table import HealthTable
from ibisjunction.entry.dispatching.terms import WaitingTerms
from ibisjunction.entry.dispatching.waiting import ParkedRequests, WaitingQueue
from ibisjunction.entry.following.view import FleetView
from ibisjunction.entry.model import Reason
from ibisjunction.entry.tickets.ticket_request import RequestId, TicketRequest
from ibisjunction.fleet.model import Upstream

#: An upstream in another failure domain costs more by a part of the time that
#: the request has left until its target: by how much time a request may lose
#: by staying in its failure domain. Traffic between failure domains is billed
#: by its bytes, which for small answers is next to nothing. The part depends on
#: whether the answer is expected to be large.
_REMOTE_PENALTY_FRACTIONS: Final = MappingProxyType({False: 0.05, True: 0.4})
#: Longest wait of a request whose key has no owner. A move takes up to two
#: check-ins of upstreams.
_OWNER_WAIT_MS: Final = 1500
#: Retry time given to callers whose request was refused for another reason than
#: too little room.
_RETRY_AFTER_MS: Final = 300
#: Fraction of the usual service time that must be left for a request to be
#: sent; a request that times out halfway occupies a slot for nothing.
_MIN_SERVICE_FRACTION: Final = 0.8
#: Interval at which late requests are compared with the time that they have
#: left, which takes as long as there are many of them.
_REVIEW_INTERVAL_MS: Final = 100
#: Time for which a request whose key has moved to another dispatcher waits for
#: its VM to ask that one.
_REDIRECT_WAIT_MS: Final = 200
#: Requests at the front of a queue that are examined for a free slot. Each
#: avoids upstreams of its own, so one of them may wait although a slot is free.
_MAX_EXAMINED: Final = 8


@dataclass(frozen=True, slots=True)
class Grant:
    """The request may be sent to this upstream now."""

    upstream: Upstream


@dataclass(frozen=True, slots=True)
class Wait:
    """The request is queued until a later decision."""


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request is not sent; ``detail`` is for the log of this VM."""

    reason: Reason
    retry_after_ms: int = _RETRY_AFTER_MS
    detail: str = ''


Decision = Grant | Wait | Refuse
Decided = tuple[TicketRequest, Grant | Refuse]


class Dispatcher:
    """Grants upstreams to requests, by their health and free capacity."""

    def __init__(
        self,
        rng: random.Random,
        terms: WaitingTerms | None = None,
        cold_terms: ColdTerms = DEFAULT_COLD_TERMS,
    ) -> None:
        """Start without upstreams.

        :param terms: rules for all queues; without any, they follow from
            whether several ranks share a service.
        :param cold_terms: bounds of the requests that cold upstreams get.
        """
        self._rng = rng
        #: Decides which requests may wait.
        self.admission = Admission(terms)
        self.health = HealthTable(cold_terms)
        self.view: FleetView | None = None
        #: Returns the share of an upstream's limit for a queue.
        self.find_share: Callable[[str], float] = _use_whole_limit
        #: Returns the position of this VM among the dispatchers of a queue.
        self.find_rank: Callable[[str], int] = _rank_first
        #: Returns whether this VM decides on the requests of a queue.
        self.is_own_queue: Callable[[str, int], bool] = _own_all_queues
        self._queues: dict[str, WaitingQueue] = {}
        self._queue_names: dict[RequestId, str] = {}
        self._candidates: dict[str, Candidates] = {}
        self._parked = ParkedRequests()

    @property
    def waiting_count(self) -> int:
        """The number of waiting requests."""
        return len(self._queue_names) + len(self._parked)

    def update_view(self, view: FleetView, now: int) -> None:
        """Replace the view; requests follow their keys to new owners."""
        self.view = view
        self.health.update_upstreams(
            view.list_all_upstreams(), view.find_service, now
        )
        self._candidates.clear()
        self.admission.update_queues(view.queue_names, view.shared_queues)
        for request_id, name in list(self._queue_names.items()):
            request = self._queues[name].find(request_id)
            if _find_queue_name(request, view) != name:
                self.cancel(*request_id)
                self._place_again(request, view, now)
        for request in self._parked.list_requests():
            if _find_queue_name(request, view) is not None:
                self._parked.remove(request.request_id)
                self._place_again(request, view, now)
        for queue in self._queues.values():
            queue.wake_ms = now

    def submit(self, request: TicketRequest, now: int) -> Decision:
        """Decide on a new request; queue it if it has to wait."""
        if self.view is None:
            return Refuse(Reason.NOT_READY)
        name = _find_queue_name(request, self.view)
        if name is None:
            return self._park(request, now)
        candidates = self._find_candidates(name, now)
        if not candidates.upstreams:
            return Refuse(Reason.NO_UPSTREAM)
        request = self.admission.record(name, request, now)
        decision = self._decide(request, candidates, now)
        if isinstance(decision, Wait):
            retry_after_ms = self.admission.find_refusal(
                name, self._queues.get(name), request, candidates, now
            )
            if retry_after_ms is not None:
                return Refuse(Reason.OVERLOADED, retry_after_ms)
            self._add(name, request, now)
        elif isinstance(decision, Grant):
            self.admission.record_grant(name, request)
        return decision

    def _park(self, request: TicketRequest, now: int) -> Wait | Refuse:
        """Let a request wait for an owner of its key."""
        until_ms = min(
            request.requested_ms + _OWNER_WAIT_MS, request.give_up_ms
        )
        if now >= until_ms:
            return Refuse(Reason.NO_OWNER)
        self._parked.add(request, until_ms)
        return Wait()

    def is_waiting(self, vm: str, number: int) -> bool:
        """Return whether a request is queued here."""
        request_id = (vm, number)
        return request_id in self._queue_names or request_id in self._parked

    def cancel(self, vm: str, number: int) -> None:
        """Remove a waiting request."""
        request_id = (vm, number)
        self._parked.remove(request_id)
        name = self._queue_names.pop(request_id, None)
        if name is not None:
            queue = self._queues[name]
            queue.remove(request_id)
            if not queue:
                self._queues.pop(name)

    def finish(
        self,
        upstream: Upstream,
        report: HealthReport,
        now: int,
        granted_ms: int = 0,
    ) -> list[Decided]:
        """Free the slot of a granted request and record its result.

        :return: the decisions on requests that waited for the upstream.
        """
        health = self.health.get(upstream)
        health.end_grant(now)
        health.record(report, now, granted_ms)
        names = () if self.view is None else self.view.list_queues(upstream)
        decided: list[Decided] = []
        for name in names:
            if name in self._queues:
                decided += self._decide_queue(name, now)
        return decided

    def decide_waiting(self, now: int) -> list[Decided]:
        """Return the decisions that have become possible with time.

        A late request is refused once those ahead of it would make it time
        out.
        """
        decided = self._decide_parked(now)
        for name, queue in list(self._queues.items()):
            if now >= queue.wake_ms:
                decided += self._decide_queue(name, now)
        return decided

    def _decide_parked(self, now: int) -> list[Decided]:
        """Return the decisions on requests that have waited for an owner."""
        decided: list[Decided] = []
        for request in self._parked.pop_due(now):
            decision = self.submit(request, now)
            if not isinstance(decision, Wait):
                decided.append((request, decision))
        return decided

    def _decide_queue(self, name: str, now: int) -> list[Decided]:
        """Return the decisions on the requests of a queue."""
        queue = self._queues[name]
        candidates = self._find_candidates(name, now)
        decided: list[Decided] = []
        if candidates.upstreams:
            decided += _refuse_timed_out(queue, candidates, now)
            queue.mark_late(now + candidates.conservative_service_ms)
            granted = list(self._grant_waiting(queue, candidates, now))
            for request, _ in granted:
                self.admission.record_grant(name, request)
            decided += granted
            decided += self._refuse_late(name, candidates, now)
        else:
            refusal = Refuse(Reason.NO_UPSTREAM)
            decided += [(request, refusal) for request in queue.iterate()]
        for request, _ in decided:
            queue.remove(request.request_id)
            self._queue_names.pop(request.request_id, None)
        if queue:
            queue.wake_ms = _find_wake_ms(queue, candidates, now)
        else:
            self._queues.pop(name)
        return decided

    def _refuse_late(
        self, name: str, candidates: Candidates, now: int
    ) -> list[Decided]:
        """Return the refusals of late requests that others delay too long."""
        queue = self._queues[name]
        if now < queue.next_review_ms:
            return []
        queue.next_review_ms = now + _REVIEW_INTERVAL_MS
        hopeless = self.admission.pop_hopeless(name, queue, candidates, now)
        return [
            (request, Refuse(Reason.OVERLOADED, retry_after_ms))
            for request, retry_after_ms in hopeless
        ]

    def _grant_waiting(
        self, queue: WaitingQueue, candidates: Candidates, now: int
    ) -> Iterator[Decided]:
        """Yield the grants of free slots, in the order of service."""
        examined = 0
        for request in queue.iterate():
            if examined == _MAX_EXAMINED or not candidates.has_room(now):
                return
            decision = self._decide(request, candidates, now)
            if isinstance(decision, Wait):
                examined += 1
            else:
                queue.take(request)
                yield request, decision

    def _decide(
        self, request: TicketRequest, candidates: Candidates, now: int
    ) -> Decision:
        """Decide on a request; a grant occupies a slot of the upstream."""
        preferred = candidates.without(request.avoided)
        fastest_ms = preferred.service_ms
        if now + fastest_ms * _MIN_SERVICE_FRACTION >= request.give_up_ms:
            return Refuse(Reason.TIMED_OUT)
        costs = [
            (self._cost(request, upstream, health, now), upstream, health)
            for upstream, health in preferred.list_free(now)
        ]
        if not costs:
            return Wait()
        _, chosen, health = min(costs, key=operator.itemgetter(0))
        health.grant(now)
        return Grant(chosen)

    def _cost(
        self,
        request: TicketRequest,
        upstream: Upstream,
        health: UpstreamHealth,
        now: int,
    ) -> float:
        """Return the cost of an upstream for a request, as a latency.

        Traffic between failure domains is billed, so a remote upstream is
        chosen only if no local one is likely to meet the target. The random
        factor spreads requests over upstreams of similar cost.
        """
        cost = health.cost(now)
        if upstream.failure_domain != request.failure_domain:
            # An upstream that has not answered yet costs next to nothing, so
            # that it gets a request, but more than such a local one.
            remaining_ms = (
                max(0, request.target_ms - now) if health.has_answered else 1
            )
            cost += remaining_ms * _REMOTE_PENALTY_FRACTIONS[request.is_bulky]
        return cost * (1 + self._rng.random() / 8)

    def _find_candidates(self, name: str, now: int) -> Candidates:
        """Return the upstreams of a queue, with their health up to date."""
        candidates = self._candidates.get(name)
        if candidates is None:
            upstreams = self.view.list_queue(name) if self.view else []
            candidates = Candidates(
                upstreams, [self.health.get(one) for one in upstreams]
            )
            self._candidates[name] = candidates
        candidates.refresh(
            functools.partial(self.find_share, name),
            functools.partial(self.find_rank, name),
            now,
        )
        return candidates

    def _place_again(
        self, request: TicketRequest, view: FleetView, now: int
    ) -> None:
        """Queue a request whose key has another owner, or none.

        If another VM decides on the new owner, the VM of the request asks that
        one as soon as it knows the owner too. Deciding here at once would
        exceed the slots of the owner.
        """
        name = _find_queue_name(request, view)
        if name is None:
            until_ms = request.requested_ms + _OWNER_WAIT_MS
            self._parked.add(request, min(until_ms, request.give_up_ms))
        elif self.is_own_queue(name, now):
            self._add(name, request, now)
        else:
            self._parked.add(request, now + _REDIRECT_WAIT_MS)

    def _add(self, name: str, request: TicketRequest, now: int) -> None:
        candidates = self._find_candidates(name, now)
        queue = self._queues.get(name)
        if queue is None:
            queue = self.admission.make_queue(name)
            self._queues[name] = queue
        queue.add(request, is_late=candidates.is_late(request, now))
        queue.wake_ms = now
        self._queue_names[request.request_id] = name


def _find_queue_name(request: TicketRequest, view: FleetView) -> str | None:
    """Return the queue of a request, or ``None`` if its key has no owner."""
    is_unowned = (
        request.key is not None
        and view.find_owner(request.service, request.key) is None
    )
    if is_unowned:
        return None
    return view.find_queue_name(request.service, request.number, request.key)


def _refuse_timed_out(
    queue: WaitingQueue, candidates: Candidates, now: int
) -> list[Decided]:
    """Return the refusals of requests that no upstream can serve in time."""
    refusal = Refuse(Reason.TIMED_OUT)
    limit_ms = now + candidates.service_ms * _MIN_SERVICE_FRACTION
    return [(request, refusal) for request in queue.pop_timed_out(limit_ms)]


def _find_wake_ms(queue: WaitingQueue, candidates: Candidates, now: int) -> int:
    """Return when time alone may decide a request of a queue."""
    if candidates.is_held_back(now):
        return now
    give_up_ms = queue.next_give_up_ms or now
    reserve_ms = candidates.service_ms * _MIN_SERVICE_FRACTION
    return min(queue.next_review_ms, int(give_up_ms - reserve_ms))


def _use_whole_limit(queue: str) -> float:
    """Return the share of a dispatcher that is the only one."""
    return 1


def _rank_first(queue: str) -> int:
    """Return the position of a dispatcher that is the only one."""
    return 0


def _own_all_queues(queue: str, now: int) -> bool:
    """Return that the only dispatcher decides on all queues."""
    return True
