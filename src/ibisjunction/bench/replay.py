"""Replays seeded arrivals against a dispatch policy, on a manual clock.

This measures only the decisions: messages take no time unless the phases of
the upstream add it to ``median_ms``, and the upstream is a simple queueing
model.
"""

import heapq
import itertools
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Final, Protocol

from ibisjunction.clock import ManualClock
from ibisjunction.dispatch.dispatcher import Effect, SendToVm
from ibisjunction.dispatch.messages import (
    ResultKind,
    TicketDone,
    TicketGranted,
    TicketRefused,
    TicketRequest,
    TicketResult,
)
from ibisjunction.outcomes import Reason

UPSTREAM: Final = 'up-1'
_TICK_MS: Final = 5
#: Time until a request that the upstream sheds is back at its caller.
_SHED_MS: Final = 1


class DispatchPolicy(Protocol):
    """Decides when requests are sent; :class:`Dispatcher` is one policy."""

    def request(
        self,
        vm: str,
        request: TicketRequest,
        now: int,
    ) -> list[Effect]:
        """Queue a request and issue tickets."""

    def finish(self, done: TicketDone, now: int) -> list[Effect]:
        """Reclaim a ticket and issue others."""

    def issue(self, now: int) -> list[Effect]:
        """Issue tickets and refuse requests that expired."""


@dataclass(frozen=True, slots=True)
class ReplayedArrival:
    """A request; ``work`` is its service time relative to the median."""

    at_ms: int
    vm: str
    request: TicketRequest
    work: float


@dataclass(frozen=True, slots=True)
class UpstreamPhase:
    """Behaviour of the upstream from ``from_ms`` on.

    It accepts up to ``max_accepted`` requests at a time and sheds others. It
    runs ``slots`` of them in parallel, each for ``median_ms`` times its work.
    """

    from_ms: int
    slots: int
    max_accepted: int
    median_ms: int


@dataclass(frozen=True, slots=True)
class ArrivalOutcome:
    """How an arrival ended; ``kind`` is ``None`` if the policy refused it."""

    arrival: ReplayedArrival
    at_ms: int
    service_ms: int
    kind: ResultKind | None


#: Time in ms, number that orders events of the same time, callback.
_Event = tuple[int, int, Callable[[], None]]


@dataclass(frozen=True, slots=True)
class _SentRequest:
    arrival: ReplayedArrival
    at_ms: int


class Replay:
    """A discrete-event loop of one upstream and its callers."""

    def __init__(
        self, policy: DispatchPolicy, phases: Sequence[UpstreamPhase]
    ) -> None:
        """Start at time 0 with an idle upstream."""
        self._policy = policy
        self._phases = phases
        self._clock = ManualClock()
        self._events: list[_Event] = []
        self._sequence = itertools.count()
        self._waiting: dict[str, ReplayedArrival] = {}
        self._queue: deque[_SentRequest] = deque()
        self._running = 0
        self.peak_in_flight = 0
        self.outcomes: list[ArrivalOutcome] = []

    def run(
        self, arrivals: Sequence[ReplayedArrival], until_ms: int
    ) -> list[ArrivalOutcome]:
        """Replay the arrivals and return their outcomes."""
        for arrival in arrivals:
            self.schedule(arrival.at_ms, partial(self._arrive, arrival))
        for tick_ms in range(0, until_ms, _TICK_MS):
            self.schedule(tick_ms, self._handle_tick)
        while self._events:
            at_ms, _, callback = heapq.heappop(self._events)
            self._clock.advance(at_ms - self._clock.now())
            callback()
        return self.outcomes

    def schedule(self, at_ms: int, callback: Callable[[], None]) -> None:
        """Call ``callback`` at the given time."""
        heapq.heappush(self._events, (at_ms, next(self._sequence), callback))

    def _arrive(self, arrival: ReplayedArrival) -> None:
        self._waiting[arrival.request.ticket_id] = arrival
        now = self._clock.now()
        self._execute_effects(
            self._policy.request(arrival.vm, arrival.request, now),
        )

    def _handle_tick(self) -> None:
        self._execute_effects(self._policy.issue(self._clock.now()))

    def _execute_effects(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case SendToVm(message=TicketGranted(ticket_id=ticket_id)):
                    self._send(self._waiting.pop(ticket_id))
                case SendToVm(message=TicketRefused(ticket_id=ticket_id)):
                    arrival = self._waiting.pop(ticket_id)
                    now = self._clock.now()
                    self.outcomes.append(ArrivalOutcome(arrival, now, 0, None))

    def _current_phase(self) -> UpstreamPhase:
        now = self._clock.now()
        return [phase for phase in self._phases if phase.from_ms <= now][-1]

    def _send(self, arrival: ReplayedArrival) -> None:
        now = self._clock.now()
        sent = _SentRequest(arrival, now)
        in_flight = self._running + len(self._queue)
        self.peak_in_flight = max(self.peak_in_flight, in_flight + 1)
        if in_flight >= self._current_phase().max_accepted:
            self.schedule(
                now + _SHED_MS,
                partial(self._finish_request, sent, ResultKind.SHED),
            )
            return
        self._queue.append(sent)
        self._start_runs()

    def _start_runs(self) -> None:
        phase = self._current_phase()
        while self._queue and self._running < phase.slots:
            sent = self._queue.popleft()
            self._running += 1
            run_ms = max(1, round(sent.arrival.work * phase.median_ms))
            self.schedule(
                self._clock.now() + run_ms,
                partial(self._finish_run, sent),
            )

    def _finish_run(self, sent: _SentRequest) -> None:
        self._running -= 1
        self._start_runs()
        self._finish_request(sent, ResultKind.SUCCEEDED)

    def _finish_request(self, sent: _SentRequest, kind: ResultKind) -> None:
        now = self._clock.now()
        service_ms = now - sent.at_ms
        self.outcomes.append(
            ArrivalOutcome(sent.arrival, now, service_ms, kind)
        )
        done = TicketDone(
            sent.arrival.request.ticket_id,
            UPSTREAM,
            TicketResult(kind, service_ms),
        )
        self._execute_effects(self._policy.finish(done, now))


class FirstComeFirstServed:
    """Serves requests in order of arrival, up to a limit of tickets."""

    def __init__(self, limit: int) -> None:
        """Allow ``limit`` outstanding tickets."""
        self._limit = limit
        self._outstanding = 0
        self._queue: deque[tuple[str, str, int]] = deque()

    def request(
        self,
        vm: str,
        request: TicketRequest,
        now: int,
    ) -> list[Effect]:
        """Queue the request."""
        deadline_ms = now + request.remaining_ms
        self._queue.append((vm, request.ticket_id, deadline_ms))
        return self.issue(now)

    def finish(self, done: TicketDone, now: int) -> list[Effect]:
        """Reclaim the ticket and issue others."""
        self._outstanding -= 1
        return self.issue(now)

    def issue(self, now: int) -> list[Effect]:
        """Issue tickets in order of arrival and refuse expired requests."""
        effects: list[Effect] = []
        while self._queue and self._outstanding < self._limit:
            vm, ticket_id, deadline_ms = self._queue.popleft()
            if now >= deadline_ms:
                refused = TicketRefused(ticket_id, Reason.DEADLINE_PASSED)
                effects.append(SendToVm(vm, refused))
                continue
            self._outstanding += 1
            granted = TicketGranted(ticket_id, UPSTREAM, 1, 1)
            effects.append(SendToVm(vm, granted))
        return effects
