"""What a dispatcher knows of its upstream: speed, limit and breaker."""

from dataclasses import dataclass

from ibisjunction.dispatch.backlog import Capacity
from ibisjunction.dispatch.breaker import (
    Breaker,
    Closed,
    HalfOpen,
    Open,
    count_result,
    look_at_clock,
    send_probe,
)
from ibisjunction.dispatch.limits import (
    LearnedLimit,
    ServiceTimes,
    learn,
    note_report,
    restart,
)
from ibisjunction.dispatch.messages import ResultKind, TicketResult
from ibisjunction.dispatch.tickets import Outstanding


@dataclass(frozen=True, slots=True)
class LimitChanged:
    """Effect: report that an upstream is given another number of requests."""

    upstream: str
    limit: int


@dataclass(frozen=True, slots=True)
class BreakerChanged:
    """Effect: report the state of an upstream's breaker."""

    upstream: str
    breaker: Breaker


Change = LimitChanged | BreakerChanged


class UpstreamHealth:
    """Learns from the results of tickets."""

    def __init__(self, upstream: str, slots: int) -> None:
        """Start with a cold upstream."""
        self._upstream = upstream
        self.times = ServiceTimes()
        self.limit = LearnedLimit(slots)
        self.breaker: Breaker = Closed()

    @property
    def capacity(self) -> Capacity:
        """What the upstream can do now, as measured."""
        return Capacity(
            max(self.limit.current, 1),
            self.times.median_ms,
            self.times.tail_ms,
        )

    def look(self, now: int) -> Breaker:
        """Return the breaker as it is now."""
        self.breaker = look_at_clock(self.breaker, now)
        return self.breaker

    def allowed(self, now: int) -> int:
        """Return how many requests may be outstanding."""
        match self.breaker:
            case Open():
                return 0
            case HalfOpen(has_probe=has_probe):
                return 0 if has_probe else self.limit.slots
            case Closed():
                return self.limit.allowed(now)

    def note_issued(self) -> None:
        """Count the probe of a breaker that is half open."""
        self.breaker = send_probe(self.breaker)

    def note_report(self, is_busy: bool, now: int) -> None:
        """Take what the upstream says about its load as a hint."""
        self.limit = note_report(self.limit, is_busy, now)

    def restart(self) -> list[Change]:
        """Ramp up again: the upstream is cold."""
        self.times = ServiceTimes()
        self.limit = restart(self.limit)
        return [LimitChanged(self._upstream, self.limit.current)]

    def learn(
        self,
        ticket: Outstanding,
        result: TicketResult,
        now: int,
    ) -> list[Change]:
        """Learn from an attempt that ended and return what changed."""
        kind = self._judge(result)
        if kind in {ResultKind.SUCCEEDED, ResultKind.TIMED_OUT}:
            self.times.add(result.service_ms)
        limit = self.limit.current
        self.limit = learn(self.limit, kind, ticket.issued_ms, now)
        changes = self._count(kind, ticket, now)
        if self.limit.current != limit:
            changes.append(LimitChanged(self._upstream, self.limit.current))
        return changes

    def _count(
        self,
        kind: ResultKind,
        ticket: Outstanding,
        now: int,
    ) -> list[Change]:
        before = self.breaker
        self.breaker = count_result(
            before,
            kind,
            ticket.origin,
            ticket.issued_ms,
            now,
        )
        match before, self.breaker:
            case ((Closed() | HalfOpen()), Open()):
                return [BreakerChanged(self._upstream, self.breaker)]
            case HalfOpen(), Closed():
                self.limit = restart(self.limit)
                return [BreakerChanged(self._upstream, self.breaker)]
            case _:
                return []

    def _judge(self, result: TicketResult) -> ResultKind:
        """Return the kind of a result as it counts for the upstream.

        A caller that allows less than the usual service time says nothing
        about the upstream.
        """
        if result.kind is not ResultKind.TIMED_OUT:
            return result.kind
        if result.service_ms < self.times.tail_ms:
            return ResultKind.CANCELLED
        return result.kind
