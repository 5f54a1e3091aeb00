"""How many requests arrive for one queue, by rank."""

import math
from collections import defaultdict
from typing import Final

#: Half-life of the counts. At some requests a second, a shorter one would take
#: chance for a change of the load.
_HALF_LIFE_MS: Final = 1000


class Demand:
    """Decayed counts of the requests that arrived for one queue."""

    def __init__(self, started_ms: int) -> None:
        """Start without requests."""
        self._started_ms = started_ms
        self._updated_ms = started_ms
        self._counts: defaultdict[int, float] = defaultdict(float)

    def record(self, rank: int, now: int) -> None:
        """Record the arrival of a request."""
        factor = math.exp2((self._updated_ms - now) / _HALF_LIFE_MS)
        for known_rank in self._counts:
            self._counts[known_rank] *= factor
        self._counts[rank] += 1
        self._updated_ms = now

    def rate_before(self, rank: int | None, now: int) -> float:
        """Return the requests per ms of more urgent ranks.

        :param rank: ``None`` for the requests of all ranks.
        """
        count = sum(
            decayed
            for known_rank, decayed in self._counts.items()
            if rank is None or known_rank < rank
        )
        age = (now - self._updated_ms) / _HALF_LIFE_MS
        covered = (now - self._started_ms) / _HALF_LIFE_MS
        window_ms = _HALF_LIFE_MS / math.log(2) * (1 - math.exp2(-covered))
        return count * math.exp2(-age) / max(window_ms, _HALF_LIFE_MS / 2)
