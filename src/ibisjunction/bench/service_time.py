"""Draws service times of a stand-in from a seeded distribution."""

import math
import random

from ibisjunction.bench.profile import ServiceTime


class ServiceTimes:
    """Service times in milliseconds."""

    def __init__(self, distribution: ServiceTime, started_ms: int) -> None:
        """Start cold at ``started_ms``."""
        self._distribution = distribution
        self._started_ms = started_ms
        self._random = random.Random(distribution.seed)

    def draw(self, now: int) -> float:
        """Return the next service time."""
        distribution = self._distribution
        location = math.log(distribution.median_ms)
        drawn = self._random.lognormvariate(location, distribution.spread)
        return drawn * self._cold_factor(now - self._started_ms)

    def _cold_factor(self, age_ms: int) -> float:
        distribution = self._distribution
        if age_ms >= distribution.cold_ms:
            return 1
        remaining = 1 - age_ms / distribution.cold_ms
        return 1 + (distribution.cold_factor - 1) * remaining
