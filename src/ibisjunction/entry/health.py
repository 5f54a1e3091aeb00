"""What one entry VM has measured of one upstream."""

import math
from dataclasses import dataclass, field
from typing import Final

#: Weight of a new measurement.
_WEIGHT: Final = 0.15
_FIRST_LATENCY_MS: Final = 200
_MIN_LIMIT: Final = 1
#: In units of the upstream's slots; its own queue is not much longer.
_MAX_LIMIT_SLOTS: Final = 2.5
#: A refusal for lack of room shrinks the limit to this part.
_SHRINK: Final = 0.7
#: Shrinks take effect once per this time; the refusals of one burst are one
#: sign.
_SHRINK_EVERY_MS: Final = 200
_FIRST_PAUSE_MS: Final = 250
_MAX_PAUSE_MS: Final = 2000
#: Bounds the cost of an upstream that fails nearly always.
_MIN_SUCCESS: Final = 0.05
#: Failures in a row after which an upstream is left alone for a while.
_FAILURES: Final = 2


@dataclass(slots=True)
class UpstreamHealth:
    """Requests in flight from this VM, latency, failures and a limit."""

    slots: int
    in_flight: int = 0
    latency_ms: float = _FIRST_LATENCY_MS
    success: float = 1
    limit: float = 0
    failures: int = 0
    paused_until_ms: int = 0
    _shrunk_ms: int = field(default=-math.inf)  # type: ignore[assignment]

    def __post_init__(self) -> None:
        """Start with a limit of all slots."""
        self.limit = max(_MIN_LIMIT, self.slots)

    def has_room(self, now: int) -> bool:
        """Return whether one more request may be sent."""
        if now < self.paused_until_ms:
            return False
        if self.failures >= _FAILURES:
            return self.in_flight == 0
        return self.in_flight < self.limit

    @property
    def rate(self) -> float:
        """Requests each millisecond that this VM may expect to send."""
        return self.limit / max(1, self.latency_ms)

    def cost(self) -> float:
        """Return the expected latency of one more request, relative."""
        load = 1 + self.in_flight / max(1, self.slots)
        return self.latency_ms * load / max(_MIN_SUCCESS, self.success)

    def record_answer(self, latency_ms: int, target_ms: int) -> None:
        """Record an answer that an upstream made by running the request."""
        self._record_success(1)
        self.failures = 0
        self.latency_ms += _WEIGHT * (latency_ms - self.latency_ms)
        ceiling = self.slots * _MAX_LIMIT_SLOTS
        if latency_ms < target_ms / 2:
            self.limit = min(ceiling, self.limit + 1 / self.limit)

    def record_no_room(self, now: int) -> None:
        """Record a refusal by the upstream itself."""
        self._record_success(0)
        self.failures = 0
        if now >= self._shrunk_ms + _SHRINK_EVERY_MS:
            self._shrunk_ms = now
            self.limit = max(_MIN_LIMIT, self.limit * _SHRINK)

    def record_error(self) -> None:
        """Record an answer that says that the request failed."""
        self._record_success(0)

    def record_failure(self, now: int) -> None:
        """Record an exchange that had no answer."""
        self._record_success(0)
        self.failures += 1
        if self.failures >= _FAILURES:
            doubled = _FIRST_PAUSE_MS * 2 ** (self.failures - _FAILURES)
            self.paused_until_ms = now + min(_MAX_PAUSE_MS, doubled)

    def _record_success(self, share: float) -> None:
        self.success += _WEIGHT * (share - self.success)
