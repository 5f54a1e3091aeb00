"""Estimates what upstreams can process from entry VMs' reports."""

import math
from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Final

from ibisjunction.clock import MS_PER_S
from ibisjunction.fleet.model import ProcessKey, Upstream

#: Latest answers of an upstream from which its service time is estimated.
_MAX_LATENCY_SAMPLES: Final = 24
#: Quantile of the latencies that estimates the service time; the latencies of
#: slower answers include time in the upstream's queue.
_SERVICE_TIME_QUANTILE: Final = 0.35
#: Service time of an upstream that has not answered yet, in milliseconds.
_DEFAULT_SERVICE_MS: Final = 200
#: Requests a second of an upstream that names a lower limit.
_MIN_CAPACITY: Final = 0.1
#: Half-life of the number of answers.
_HALF_LIFE_MS: Final = 1600
#: Shortest time over which answers are counted.
_MIN_WINDOW_S: Final = 1
#: Part of the answers a second that counts as capacity. The number of a short
#: time varies by chance, and the estimate must not follow its peaks.
_ANSWERS_FRACTION: Final = 0.9


@dataclass(frozen=True, slots=True)
class UpstreamSpeed:
    """Latencies in ms of a process's answers since the previous report.

    ``limit_per_s`` is the limit on requests that its latest answer named.
    """

    upstream: str
    born: int
    latencies: tuple[int, ...]
    limit_per_s: float | None = None


@dataclass(slots=True)
class _ProcessSpeed:
    """What was reported of one process."""

    started_ms: int
    updated_ms: int
    latencies: deque[int] = field(
        default_factory=lambda: deque(maxlen=_MAX_LATENCY_SAMPLES)
    )
    service_ms: float = _DEFAULT_SERVICE_MS
    answers: float = 0
    limit_per_s: float | None = None

    def add(self, report: UpstreamSpeed, quantile: float, now: int) -> None:
        """Add a VM's report; ``quantile`` estimates the service time."""
        self.limit_per_s = report.limit_per_s
        self.answers = self._decayed_answers(now) + len(report.latencies)
        self.updated_ms = max(now, self.updated_ms)
        if report.latencies:
            self.latencies.extend(report.latencies)
            ranked = sorted(self.latencies)
            index = int(len(ranked) * quantile)
            self.service_ms = max(1, ranked[index])

    def answers_per_s(self, now: int) -> float:
        """Return the recent answers in a second."""
        half_lives = (now - self.started_ms) / _HALF_LIFE_MS
        longest_s = _HALF_LIFE_MS / MS_PER_S / math.log(2)
        window_s = longest_s * (1 - math.exp2(-half_lives))
        return self._decayed_answers(now) / max(window_s, _MIN_WINDOW_S)

    def _decayed_answers(self, now: int) -> float:
        half_lives = max(0, now - self.updated_ms) / _HALF_LIFE_MS
        return self.answers * math.exp2(-half_lives)


class SpeedTracker:
    """What the processes of upstreams can process, as entry VMs report it."""

    def __init__(self, quantile: float = _SERVICE_TIME_QUANTILE) -> None:
        """Start without reports."""
        self._quantile = quantile
        self._speeds: dict[ProcessKey, _ProcessSpeed] = {}

    def record(self, report: UpstreamSpeed, now: int) -> None:
        """Add a VM's report on an upstream."""
        process_key = (report.upstream, report.born)
        speed = self._speeds.get(process_key)
        if speed is None:
            speed = _ProcessSpeed(now, now)
            self._speeds[process_key] = speed
        speed.add(report, self._quantile, now)

    def capacity_of(
        self, upstream: Upstream, now: int, cold_per_s: float | None = None
    ) -> float:
        """Return the requests per second that an upstream can process.

        The latencies of a busy upstream include time in its queue, so the
        answers that it gives show the lower bound of what it can process.
        Without it, an upstream would seem the slower the more requests it gets.

        :param cold_per_s: requests a second that it takes while it is cold.
        """
        capacity = self._measured_capacity(upstream, now)
        if cold_per_s is not None:
            capacity = min(capacity, cold_per_s)
        return max(_MIN_CAPACITY, capacity)

    def _measured_capacity(self, upstream: Upstream, now: int) -> float:
        speed = self._speeds.get(upstream.process_key)
        if speed is None:
            return upstream.slots * MS_PER_S / _DEFAULT_SERVICE_MS
        capacity = max(
            upstream.slots * MS_PER_S / speed.service_ms,
            speed.answers_per_s(now) * _ANSWERS_FRACTION,
        )
        if speed.limit_per_s is not None:
            return min(capacity, speed.limit_per_s)
        return capacity

    def retain(self, processes: Collection[ProcessKey]) -> None:
        """Forget all other processes."""
        self._speeds = {
            process_key: speed
            for process_key, speed in self._speeds.items()
            if process_key in processes
        }
