"""The requests of one connection, from their arrival to their answers."""

import asyncio
import contextlib
from dataclasses import dataclass

from ibisjunction.bodies.gate import BodyHold
from ibisjunction.entry.callers.connection_context import ConnectionContext
from ibisjunction.entry.callers.connection_ends import (
    ConnectionEndMeasured,
    CutStage,
    EndCause,
)
from ibisjunction.entry.callers.incoming import IncomingRequest
from ibisjunction.entry.callers.pipeline import OutcomeReady, RequestRead
from ibisjunction.entry.hedging.counts import HedgeMeasured
from ibisjunction.entry.model import (
    CallerRequest,
    Failed,
    Outcome,
    Reason,
    Refused,
    RoutedRequest,
)
from ibisjunction.entry.serving.phases import Phase, find_lateness
from ibisjunction.entry.serving.reporting import log_outcome, measure_outcome
from ibisjunction.entry.serving.trail import Trail
from ibisjunction.events import Event
from ibisjunction.verdict import Verdict


@dataclass(slots=True)
class Exchange:
    """A request until its answer is written."""

    request: CallerRequest
    routed: RoutedRequest | Refused
    trail: Trail
    held: BodyHold
    outcome: Outcome | None = None
    task: 'asyncio.Task[None] | None' = None

    @property
    def is_started(self) -> bool:
        """Whether the request was or is being served."""
        return self.task is not None or self.outcome is not None

    @property
    def cut_stage(self) -> CutStage:
        """How far the request has come."""
        if self.outcome is not None:
            return CutStage.ANSWERED
        if self.trail.is_sent:
            return CutStage.SENT
        return CutStage.READ if self.task is None else CutStage.SERVED

    def release_body(self) -> None:
        """Free the memory of the body, which is not sent again.

        Objects that are part of reference cycles may still refer to it.
        """
        self.held.release()
        empty_body(self.request)


class ExchangeTable:
    """The exchanges of one connection, by the number of the request."""

    def __init__(self, context: ConnectionContext) -> None:
        """Start without requests."""
        self._context = context
        self._exchanges: dict[int, Exchange] = {}

    @property
    def answer_bytes(self) -> int:
        """Bytes of the answers that are not written yet."""
        return sum(
            len(getattr(exchange.outcome, 'body', b''))
            for exchange in self._exchanges.values()
        )

    @property
    def has_started(self) -> bool:
        """Whether a request was or is being served."""
        return any(exchange.is_started for exchange in self._exchanges.values())

    def add(self, number: int, incoming: IncomingRequest) -> RequestRead:
        """Route a request that was read, and add it."""
        request = incoming.request
        routed = incoming.refusal or self._context.processor.route(request)
        trail = Trail(request.request_id, request.arrived_ms)
        trail.phases.enter(Phase.READ, request.arrived_ms)
        trail.phases.enter(Phase.BEHIND_REQUESTS, self._context.clock.now())
        self._exchanges[number] = Exchange(
            request, routed, trail, incoming.held
        )
        return RequestRead(
            number,
            incoming.size,
            isinstance(routed, Refused) or routed.is_idempotent,
            incoming.is_last,
        )

    def record_outcome(self, number: int, outcome: Outcome) -> OutcomeReady:
        """Record the outcome of a request, and free its body."""
        exchange = self._exchanges[number]
        exchange.outcome = outcome
        exchange.trail.phases.enter(
            Phase.BEHIND_ANSWERS, self._context.clock.now()
        )
        exchange.release_body()
        return OutcomeReady(number, len(getattr(outcome, 'body', b'')))

    def get(self, number: int) -> Exchange:
        """Return a request.

        :raises KeyError: if it has ended.
        """
        return self._exchanges[number]

    def finish(self, number: int) -> None:
        """Log and measure a request whose answer was written."""
        exchange = self._exchanges.pop(number)
        outcome = exchange.outcome or Failed(Reason.BROKEN)
        self._report(exchange, outcome, self._context.clock.now())

    def cut_off(self, cause: EndCause) -> None:
        """Log and measure the requests that get no answer."""
        now = self._context.clock.now()
        cut: list[CutStage] = []
        for exchange in self._exchanges.values():
            exchange.release_body()
            if cause.is_expected and not exchange.is_started:
                outcome = Failed(Reason.BEHIND_LAST, Verdict.NOT_RUN)
            else:
                outcome = _make_cut_outcome(exchange, cause)
                cut.append(exchange.cut_stage)
                self._describe_cut(exchange, cause, now)
            self._report(exchange, outcome, now)
        self._context.metrics.post(ConnectionEndMeasured(cause, tuple(cut)))
        # The connection is part of reference cycles, which are freed later.
        self._exchanges.clear()

    def _describe_cut(
        self, exchange: Exchange, cause: EndCause, now: int
    ) -> None:
        """Add to the trail of a request why it gets no answer."""
        context = self._context
        exchange.trail.add(
            Event.REQUEST_CUT,
            now,
            cause=cause.value,
            by='caller' if cause.is_of_caller else 'vm',
            stage=exchange.cut_stage.value,
            writing=len(context.unsent),
            unsent=context.count_unsent(),
            unheard_ms=now - context.traffic.received_ms,
            untaken_ms=now - context.traffic.taken_ms,
            lag_ms=context.lag.find_recent_ms(now),
        )

    def _report(self, exchange: Exchange, outcome: Outcome, now: int) -> None:
        """Log and measure a request."""
        trail = exchange.trail
        self._report_lateness(exchange, now)
        self._report_hedge(exchange)
        log_outcome(trail, exchange.routed, outcome, now)
        self._context.metrics.post(
            measure_outcome(exchange.routed, outcome, now - trail.arrived_ms)
        )

    def _report_hedge(self, exchange: Exchange) -> None:
        """Measure what became of a slow request."""
        hedge = exchange.trail.hedge
        if hedge is not None and isinstance(exchange.routed, RoutedRequest):
            self._context.metrics.post(
                HedgeMeasured(exchange.routed.service, hedge)
            )

    def _report_lateness(self, exchange: Exchange, now: int) -> None:
        """Log and measure that a request ends after its route's timeout."""
        due_ms = self._find_due_ms(exchange)
        trail = exchange.trail
        late = due_ms and find_lateness(trail.phases, due_ms, now)
        if not late:
            return
        trail.is_late = True
        spent = trail.phases.sum_up(now)
        trail.add(
            Event.REQUEST_LATE,
            now,
            late_ms=late.late_ms,
            phase=late.phase.value,
            lag_ms=self._context.lag.find_recent_ms(now),
            **{f'{phase.value}_ms': spent[phase] for phase in Phase},
        )
        self._context.metrics.post(late)

    def _find_due_ms(self, exchange: Exchange) -> int | None:
        """Return when the timeout of the route passes, if there is one.

        A request that was refused as it was read has no route yet.
        """
        request = exchange.request
        match exchange.routed:
            case RoutedRequest(named_route=named_route):
                timeout_ms: int | None = named_route.route.timeout_ms
            case Refused():
                timeout_ms = self._context.processor.find_timeout_ms(
                    request.host, request.target
                )
        return None if timeout_ms is None else request.arrived_ms + timeout_ms


def empty_body(request: CallerRequest) -> None:
    """Free the bytes of a body."""
    if isinstance(request.body, bytearray):
        # A connection to an upstream may still refer to it until it is closed.
        with contextlib.suppress(BufferError):
            request.body.clear()


def _make_cut_outcome(exchange: Exchange, cause: EndCause) -> Failed:
    """Return the outcome of a request whose connection ended before it."""
    reason = Reason.CALLER_GONE if cause.is_of_caller else Reason.CUT_OFF
    if exchange.is_started:
        return Failed(reason)
    return Failed(reason, Verdict.NOT_RUN)
