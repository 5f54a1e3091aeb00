"""Random service times of a stand-in, determined by a seed."""

import math
import random

from ibisjunction.bench.profile import ServiceTime


class ServiceTimeSampler:
    """Draws log-normal service times in milliseconds.

    From the start they fall linearly from ``cold_factor`` times their length
    to their usual length within ``cold_ms``.
    """

    def __init__(self, distribution: ServiceTime, started_ms: int) -> None:
        """Begin the cold period at ``started_ms``."""
        self._distribution = distribution
        self._started_ms = started_ms
        self._rng = random.Random(distribution.seed)

    def draw(self, now: int) -> float:
        """Return the next service time."""
        distribution = self._distribution
        log_median_ms = math.log(distribution.median_ms)
        warm_ms = self._rng.lognormvariate(log_median_ms, distribution.spread)
        return warm_ms * self._cold_factor(now - self._started_ms)

    def _cold_factor(self, age_ms: int) -> float:
        distribution = self._distribution
        if age_ms >= distribution.cold_ms:
            return 1
        cold_fraction = 1 - age_ms / distribution.cold_ms
        return 1 + (distribution.cold_factor - 1) * cold_fraction
