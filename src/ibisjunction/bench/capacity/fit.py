"""Measured points and the line through them."""

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

_NS_PER_US: Final = 1000
_KIB: Final = 1024
_BATCHES: Final = 5


@dataclass(frozen=True, slots=True)
class Fit:
    """A cost as a linear function of a count.

    ``slope`` is the cost per unit of ``per``, in ``unit``; ``base`` is the
    cost at 0. ``points`` are the measured pairs of count and cost.
    """

    name: str
    unit: str
    per: str
    slope: float
    base: float
    points: tuple[tuple[float, float], ...]

    def estimate(self, count: float) -> float:
        """Return the cost that the line predicts for a count."""
        return self.base + self.slope * count


def fit_line(
    name: str,
    unit: str,
    per: str,
    points: dict[int, float],
) -> Fit:
    """Return the least-squares line through two or more points."""
    line = statistics.linear_regression(list(points), list(points.values()))
    return Fit(
        name,
        unit,
        per,
        line.slope,
        line.intercept,
        tuple(points.items()),
    )


def measure_cpu_us(work: Callable[[], object], repeats: int) -> float:
    """Return the processor time of one call in microseconds.

    Takes the minimum of several batches, which other processes on the machine
    affect least.
    """
    batches = []
    for _ in range(_BATCHES):
        started = time.process_time_ns()
        for _ in range(repeats):
            work()
        batches.append(time.process_time_ns() - started)
    return min(batches) / repeats / _NS_PER_US


def measure_kib(build: Callable[[], Any]) -> float:
    """Return the memory of the object that a call builds, in KiB."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size / _KIB if built else 0
