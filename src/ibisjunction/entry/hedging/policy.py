"""Decides which slow requests get a second attempt, and when.

A hedged request is sent to a second upstream while its first attempt is still
in flight, and the first successful answer counts. The extra work is bounded by
a fraction of the requests of each service. The class does no I/O and reads no
clock.
"""

from collections import defaultdict, deque
from dataclasses import dataclass, field
from typing import Final

from ibisjunction.catalogue.model import RequestKind

#: A request with a larger body is not hedged: it would cross the link twice.
_MAX_BODY_BYTES: Final = 16_384
#: Latest latencies of one service and kind that are kept.
_MAX_SAMPLES: Final = 256
#: With fewer latencies, the quantile is one of the slowest two by chance.
_MIN_SAMPLES: Final = 40
#: Older latencies say little about the load of the moment.
_MAX_SAMPLE_AGE_MS: Final = 10_000
#: A request is slow once it takes longer than this part of the latest ones.
_SLOW_QUANTILE: Final = 0.95
_MEDIAN: Final = 0.5
#: Time in which hedges are compared with the requests of a service.
_WINDOW_MS: Final = 10_000

#: Requests of one service and kind, whose latencies are compared.
_Group = tuple[str, RequestKind]
#: Times and latencies in milliseconds, the oldest first.
_Samples = deque[tuple[int, int]]


@dataclass(frozen=True, slots=True)
class HedgeTerms:
    """The operator's limit; ``ratio`` 0 turns hedging off.

    In each window, all VMs together hedge at most ``ratio`` times the requests
    of a service.
    """

    ratio: float = 0


@dataclass(frozen=True, slots=True)
class HedgeCandidate:
    """A request whose first attempt was sent at ``sent_ms``."""

    service: str
    kind: RequestKind
    is_sharded: bool
    body_bytes: int
    attempts: int
    max_attempts: int
    sent_ms: int
    give_up_ms: int


@dataclass(frozen=True, slots=True)
class HedgeAt:
    """The request is slow from this time on."""

    due_ms: int


@dataclass(frozen=True, slots=True)
class NoHedge:
    """The request gets no second attempt; ``why`` is for the log."""

    why: str


HedgeDecision = HedgeAt | NoHedge


@dataclass(slots=True)
class _Usage:
    """Times of the requests and hedges of a service, oldest first."""

    requests: deque[int] = field(default_factory=deque)
    hedges: deque[int] = field(default_factory=deque)

    def discard_until(self, window_start_ms: int) -> None:
        """Discard what is older than the window."""
        for timestamps in (self.requests, self.hedges):
            while timestamps and timestamps[0] <= window_start_ms:
                timestamps.popleft()


class HedgePolicy:
    """Latencies and hedges of one VM.

    Each VM compares its hedges with its own requests, so all VMs together keep
    the limit without messages, and one that restarts begins with nothing to
    spend.
    """

    def __init__(self, terms: HedgeTerms) -> None:
        """Start without latencies."""
        #: Applies to hedges from now on; those in flight go on.
        self.terms = terms
        self._usage: defaultdict[str, _Usage] = defaultdict(_Usage)
        self._latencies: defaultdict[_Group, _Samples] = defaultdict(
            lambda: deque(maxlen=_MAX_SAMPLES)
        )

    def count_request(self, service: str, now: int) -> None:
        """Count a request at its first attempt, unless hedging is off."""
        if not self.terms.ratio:
            return
        usage = self._usage[service]
        usage.requests.append(now)
        usage.discard_until(now - _WINDOW_MS)

    def record_latency(
        self, service: str, kind: RequestKind, latency_ms: int, now: int
    ) -> None:
        """Record how long a successful attempt took, unless hedging is off."""
        if not self.terms.ratio:
            return
        self._latencies[(service, kind)].append((now, latency_ms))

    def decide(self, candidate: HedgeCandidate, now: int) -> HedgeDecision:
        """Return when a request counts as slow, if it may be hedged at all."""
        why = _find_obstacle(candidate, self.terms)
        if why:
            return NoHedge(why)
        oldest_ms = now - _MAX_SAMPLE_AGE_MS
        samples = self._latencies[(candidate.service, candidate.kind)]
        latencies = sorted(
            latency_ms for time_ms, latency_ms in samples if time_ms > oldest_ms
        )
        if len(latencies) < _MIN_SAMPLES:
            return NoHedge('too few latencies')
        slow_ms = latencies[int(len(latencies) * _SLOW_QUANTILE)]
        due_ms = candidate.sent_ms + slow_ms
        median_ms = latencies[int(len(latencies) * _MEDIAN)]
        if due_ms + median_ms >= candidate.give_up_ms:
            return NoHedge('no time for a second answer')
        return HedgeAt(due_ms)

    def try_spend(self, service: str, now: int) -> bool:
        """Count a hedge if the limit allows one; return whether it does."""
        usage = self._usage[service]
        usage.discard_until(now - _WINDOW_MS)
        if len(usage.hedges) + 1 > self.terms.ratio * len(usage.requests):
            return False
        usage.hedges.append(now)
        return True


def _find_obstacle(candidate: HedgeCandidate, terms: HedgeTerms) -> str:
    """Return why a request is never hedged, or an empty text."""
    if not terms.ratio:
        return 'hedging is off'
    if not candidate.kind.is_idempotent:
        return 'not idempotent'
    if candidate.is_sharded:
        return 'its key has one owner'
    if candidate.body_bytes > _MAX_BODY_BYTES:
        return 'its body is large'
    if candidate.attempts >= candidate.max_attempts:
        return 'no attempts are left'
    return ''
