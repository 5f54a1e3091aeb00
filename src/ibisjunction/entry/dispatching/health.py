"""Health of one upstream as its dispatcher measures it."""

import enum
from collections import deque
from dataclasses import dataclass, field
from typing import Final

from ibisjunction.entry.dispatching.cold import ColdPacer
from ibisjunction.entry.dispatching.limits import RequestPacer
from ibisjunction.entry.dispatching.load import LoadEstimate, ToldLoad

#: Weight of a new result in the moving average of the success rate.
_SMOOTHING_FACTOR: Final = 0.15
#: Service time that is assumed until the first answer.
_INITIAL_SERVICE_MS: Final = 200
#: Number of latest answers from which the service time is estimated.
_MAX_SAMPLES: Final = 12
#: Quantile of the latencies that counts as the usual service time.
_SERVICE_QUANTILE: Final = 0.35
#: Quantile of the latencies that counts as the conservative service time. A
#: request with less time left until its target counts as late.
_CONSERVATIVE_QUANTILE: Final = 0.85
#: Older latencies are discarded. Otherwise an upstream that was slow for a
#: while would get no more requests, and so never show that it has recovered.
_MAX_SAMPLE_AGE_MS: Final = 2000
#: First and longest pause of a failing upstream; each further failure doubles
#: the pause.
_INITIAL_PAUSE_MS: Final = 250
_MAX_PAUSE_MS: Final = 2000
#: Consecutive failures from which on an upstream is paused.
_PAUSE_THRESHOLD: Final = 2
#: Lower bound of the success rate in the cost, which limits the cost of an
#: upstream that nearly always fails.
_MIN_SUCCESS_RATE: Final = 0.05
#: Pause after an upstream reports that it is full. It then runs requests that
#: this VM did not grant; one of them ends within about this time.
_FULL_PAUSE_MS: Final = 60


class HealthResult(enum.Enum):
    """How an attempt counts for the health of its upstream."""

    #: It ran the request and answered.
    ANSWERED = 'answered'
    #: It ran the request and answered that it failed.
    ERROR = 'error'
    #: It had no free slot.
    FULL = 'full'
    #: It does not own the key, or is another process.
    WRONG = 'wrong'
    #: No byte was sent to it, or it gave no usable answer.
    BROKEN = 'broken'
    #: Nothing was sent, for a reason that does not concern the upstream.
    UNUSED = 'unused'
    #: It may have been sent: it was cancelled, or its ticket not returned.
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class HealthReport:
    """The result of one attempt and its latency in milliseconds.

    ``limit_per_s`` is the limit that the answer named, and ``load`` the load
    that it told, if any.
    """

    result: HealthResult
    latency_ms: int = 0
    limit_per_s: float | None = None
    load: ToldLoad | None = None

    @property
    def tells_limit(self) -> bool:
        """Whether an answer shows the upstream's limit, or that it has none.

        A ticket that was returned unused may carry a limit that its dispatcher
        does not know.
        """
        is_answer = self.result in {
            HealthResult.ANSWERED,
            HealthResult.ERROR,
            HealthResult.FULL,
        }
        return is_answer or self.limit_per_s is not None


@dataclass(slots=True)
class UpstreamHealth:
    """Requests in flight, service time and success rate of an upstream."""

    slots: int
    in_flight: int = 0
    success_rate: float = 1
    consecutive_failures: int = 0
    paused_until_ms: int = 0
    pacer: RequestPacer = field(default_factory=RequestPacer)
    cold: ColdPacer = field(default_factory=ColdPacer)
    told: LoadEstimate = field(default_factory=LoadEstimate)
    #: Times and latencies of the latest answers, in milliseconds.
    _samples: deque[tuple[int, int]] = field(
        default_factory=lambda: deque(maxlen=_MAX_SAMPLES),
    )
    _has_answered: bool = False
    _service_ms: float = _INITIAL_SERVICE_MS
    _conservative_service_ms: float = _INITIAL_SERVICE_MS

    @property
    def has_answered(self) -> bool:
        """Whether the upstream has ever answered with success."""
        return self._has_answered

    @property
    def service_ms(self) -> float:
        """The usual service time of the upstream."""
        return self._service_ms

    @property
    def conservative_service_ms(self) -> float:
        """The service time that most requests do not exceed."""
        return self._conservative_service_ms

    def discard_old_samples(self, now: int) -> None:
        """Discard latencies that are too old to be representative."""
        oldest_ms = now - _MAX_SAMPLE_AGE_MS
        if not self._samples or self._samples[0][0] >= oldest_ms:
            return
        while self._samples and self._samples[0][0] < oldest_ms:
            self._samples.popleft()
        self._update_quantiles()

    @property
    def service_rate(self) -> float:
        """Requests that the upstream takes per millisecond."""
        completed = max(1, self.slots) / max(1, self.service_ms)
        rates = (completed, self.pacer.rate_per_ms, self.cold.rate_per_ms)
        return min(rate for rate in rates if rate is not None)

    @property
    def is_limited(self) -> bool:
        """Whether a limit spaces the requests."""
        return self.pacer.limit_per_s is not None or self.cold.is_cold

    @property
    def limit_per_s(self) -> float | None:
        """Requests a second that the upstream takes, if there is a limit."""
        limits = (self.pacer.limit_per_s, self.cold.limit_per_s)
        return min(
            (limit for limit in limits if limit is not None), default=None
        )

    def grant(self, now: int) -> None:
        """Occupy a slot by a granted request."""
        self.in_flight += 1
        self.pacer.take(now)
        self.cold.record_grant(now)

    def end_grant(self, now: int) -> None:
        """Free the slot of a granted request."""
        self.in_flight = max(0, self.in_flight - 1)
        self.cold.record_end(now)

    def has_free_capacity(self, now: int) -> bool:
        """Return whether one more request may be sent.

        After its pause, a failing upstream gets one request at a time.
        """
        if now < self.paused_until_ms or not self.pacer.may_send(now):
            return False
        if not self.cold.may_send(self.in_flight, now):
            return False
        if self.consecutive_failures >= _PAUSE_THRESHOLD:
            return self.in_flight == 0
        return self.in_flight < self.slots

    def cost(self, now: int) -> float:
        """Return the relative cost of one more request.

        It is the usual service time, raised by the load and by failures. What
        the upstream told of late adds the requests that others have sent, the
        wait for a slot behind them, and the pace of its machine.
        """
        slots = max(1, self.slots)
        occupied = self.in_flight + self.told.count_others(self.service_ms, now)
        load_factor = (
            1 + occupied / slots / 4 + max(0, occupied - slots) / slots
        )
        # An upstream that has not answered yet costs nothing, so that it gets
        # a request and its latency becomes known.
        service_ms = self.service_ms if self.has_answered else 0
        service_ms *= self.told.find_slowdown(self.service_ms, now)
        return (
            service_ms * load_factor / max(_MIN_SUCCESS_RATE, self.success_rate)
        )

    def record(
        self, report: HealthReport, now: int, granted_ms: int = 0
    ) -> None:
        """Update the health by the result of one attempt.

        :param granted_ms: when the attempt was granted.
        """
        if report.tells_limit:
            self.pacer.record(report.limit_per_s, granted_ms, now)
        if report.load is not None:
            self.told.record(report.load, self.in_flight, now)
        match report.result:
            case HealthResult.ANSWERED:
                self.consecutive_failures = 0
                self._has_answered = True
                self._samples.append((now, report.latency_ms))
                self._update_quantiles()
                self._update_success_rate(1)
            case HealthResult.ERROR:
                self._update_success_rate(0)
            case HealthResult.FULL:
                self.consecutive_failures = 0
                self.paused_until_ms = now + _FULL_PAUSE_MS
                self._update_success_rate(0)
            case HealthResult.BROKEN:
                self.consecutive_failures += 1
                self._update_success_rate(0)
                self._pause_after_failures(now)
            case HealthResult.UNUSED:
                self.pacer.give_back(granted_ms)
            case HealthResult.WRONG | HealthResult.UNKNOWN:
                return

    def _update_quantiles(self) -> None:
        latencies = sorted(latency_ms for _, latency_ms in self._samples)
        self._service_ms = _find_quantile(latencies, _SERVICE_QUANTILE)
        self._conservative_service_ms = _find_quantile(
            latencies, _CONSERVATIVE_QUANTILE
        )

    def _pause_after_failures(self, now: int) -> None:
        if self.consecutive_failures >= _PAUSE_THRESHOLD:
            backoff_ms = _INITIAL_PAUSE_MS * 2 ** (
                self.consecutive_failures - _PAUSE_THRESHOLD
            )
            self.paused_until_ms = now + min(_MAX_PAUSE_MS, backoff_ms)

    def _update_success_rate(self, success: float) -> None:
        self.success_rate += _SMOOTHING_FACTOR * (success - self.success_rate)


def _find_quantile(latencies: list[int], fraction: float) -> float:
    """Return a quantile of sorted latencies."""
    if not latencies:
        return _INITIAL_SERVICE_MS
    return latencies[int(len(latencies) * fraction)]
