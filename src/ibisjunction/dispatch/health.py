"""The health of one upstream: its service times, limit and breaker."""

from dataclasses import dataclass

from ibisjunction.dispatch.backlog import Capacity
from ibisjunction.dispatch.breaker import (
    Breaker,
    Closed,
    HalfOpen,
    Open,
    advance_time,
    apply_result,
    start_probe,
)
from ibisjunction.dispatch.limits import (
    AdaptiveLimit,
    ServiceTimes,
    adjust_limit,
    apply_load_report,
    reset_limit,
)
from ibisjunction.dispatch.messages import ResultKind, TicketResult
from ibisjunction.dispatch.tickets import OutstandingTicket


@dataclass(frozen=True, slots=True)
class LimitChanged:
    """Effect: report that the concurrency limit of an upstream changed."""

    upstream: str
    limit: int


@dataclass(frozen=True, slots=True)
class BreakerChanged:
    """Effect: report that an upstream's breaker opened or closed."""

    upstream: str
    breaker: Breaker


Change = LimitChanged | BreakerChanged


class UpstreamHealth:
    """Service times, limit and breaker, updated by the results of tickets."""

    def __init__(self, upstream: str, slots: int) -> None:
        """Start with the limit of a cold upstream."""
        self._upstream = upstream
        self.times = ServiceTimes()
        self.limit = AdaptiveLimit(slots)
        self.breaker: Breaker = Closed()

    @property
    def capacity(self) -> Capacity:
        """The measured capacity of the upstream."""
        return Capacity(
            max(self.limit.current, 1),
            self.times.median_ms,
            self.times.tail_ms,
        )

    def advance_breaker(self, now: int) -> Breaker:
        """Update the breaker to the current time and return it."""
        self.breaker = advance_time(self.breaker, now)
        return self.breaker

    def max_outstanding(self, now: int) -> int:
        """Return how many requests may be outstanding."""
        match self.breaker:
            case Open():
                return 0
            case HalfOpen(has_probe=has_probe):
                # Tickets from before may occupy slots beside the probe.
                return 0 if has_probe else self.limit.slots
            case Closed():
                return self.limit.max_outstanding(now)

    def record_ticket_issued(self) -> None:
        """Record an issued ticket, the probe if the breaker is half open."""
        self.breaker = start_probe(self.breaker)

    def record_load_report(self, is_busy: bool, now: int) -> None:
        """Record the upstream's report of its own load, as a hint."""
        self.limit = apply_load_report(self.limit, is_busy, now)

    def reset(self) -> list[Change]:
        """Discard service times and limit, but not the state of the breaker.

        The upstream is cold and its limit is ramped up again.
        """
        self.times = ServiceTimes()
        self.limit = reset_limit(self.limit)
        return [LimitChanged(self._upstream, self.limit.current)]

    def record_result(
        self,
        ticket: OutstandingTicket,
        result: TicketResult,
        now: int,
    ) -> list[Change]:
        """Record the result of an attempt and return the changes."""
        kind = self._classify(result)
        if kind in {ResultKind.SUCCEEDED, ResultKind.TIMED_OUT}:
            self.times.add(result.service_ms)
        previous_limit = self.limit.current
        self.limit = adjust_limit(self.limit, kind, ticket.issued_ms, now)
        changes = self._update_breaker(kind, ticket, now)
        if self.limit.current != previous_limit:
            changes.append(LimitChanged(self._upstream, self.limit.current))
        return changes

    def _update_breaker(
        self,
        kind: ResultKind,
        ticket: OutstandingTicket,
        now: int,
    ) -> list[Change]:
        previous = self.breaker
        self.breaker = apply_result(
            previous,
            kind,
            ticket.origin,
            ticket.issued_ms,
            now,
        )
        match previous, self.breaker:
            case ((Closed() | HalfOpen()), Open()):
                return [BreakerChanged(self._upstream, self.breaker)]
            case HalfOpen(), Closed():
                self.limit = reset_limit(self.limit)
                return [BreakerChanged(self._upstream, self.breaker)]
            case _:
                return []

    def _classify(self, result: TicketResult) -> ResultKind:
        """Return the kind of a result, with short timeouts as cancelled.

        A timeout shorter than the usual service time is no failure of the
        upstream.
        """
        if result.kind is not ResultKind.TIMED_OUT:
            return result.kind
        if result.service_ms < self.times.tail_ms:
            return ResultKind.CANCELLED
        return result.kind
