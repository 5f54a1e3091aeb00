"""Counts requests by bucket of keys, weighing recent ones more."""

import itertools
import math
from collections.abc import Iterable, Iterator, Mapping
from typing import Final

from ibisjunction.clock import MS_PER_S
from ibisjunction.fleet.model import BUCKET_KEYS, LAST_KEY

BUCKETS: Final = (LAST_KEY + 1) // BUCKET_KEYS
#: Time that the first report is assumed to cover.
_FIRST_REPORT_MS: Final = 200
#: A bucket with fewer decayed requests counts as idle.
_MIN_BUCKET_REQUESTS: Final = 0.01
#: Half-lives after which the counts are scaled down, long before a float could
#: overflow.
_MAX_HALF_LIVES: Final = 64


class DecayedCounts:
    """Requests of one service by bucket, of which half count after a while.

    The weight of new requests grows instead of that of all earlier ones falling
    with each report, so that a report costs as much as the buckets it names.
    """

    def __init__(self, half_life_ms: int) -> None:
        """Start without requests."""
        self._half_life_ms = half_life_ms
        self._counts: list[float] = list(itertools.repeat(0, BUCKETS))
        self._reference_ms = 0
        self._since_ms: int | None = None
        self._updated_ms = 0
        self._sums: list[float] | None = None

    @property
    def window_s(self) -> float:
        """Seconds by which a decayed count is divided to get its rate.

        They grow with the time that the reports cover.
        """
        longest_s = self._half_life_ms / MS_PER_S / math.log(2)
        if self._since_ms is None:
            return longest_s
        half_lives = (self._updated_ms - self._since_ms) / self._half_life_ms
        return longest_s * (1 - math.exp2(-half_lives))

    def add(self, requests: Mapping[int, int], now: int) -> None:
        """Add requests by bucket."""
        if self._since_ms is None:
            self._since_ms = now - _FIRST_REPORT_MS
            self._reference_ms = now
        self._updated_ms = max(self._updated_ms, now)
        if self._half_lives() > _MAX_HALF_LIVES:
            self._rescale()
        weight = math.exp2(self._half_lives())
        for bucket, count in requests.items():
            if 0 <= bucket < BUCKETS:
                self._counts[bucket] += count * weight
        self._sums = None

    def count_by_shard(self, last_keys: Iterable[int]) -> Iterator[float]:
        """Yield the decayed requests for each shard.

        A bucket counts for the shard that contains its first key.

        :param last_keys: last keys of the shards, which cover all keys.
        """
        if self._sums is None:
            self._sums = list(itertools.accumulate(self._counts, initial=0))
        sums = self._sums
        scale = self._scale()
        before: float = 0
        for last in last_keys:
            through = sums[last // BUCKET_KEYS + 1]
            yield (through - before) * scale
            before = through

    def list_busy(self, first: int, last: int) -> Iterator[tuple[int, float]]:
        """Yield the first key and the requests of each busy bucket of a shard.

        :param first: first key of the shard.
        :param last: last key of the shard.
        """
        scale = self._scale()
        for bucket in range(-(-first // BUCKET_KEYS), last // BUCKET_KEYS + 1):
            requests = self._counts[bucket] * scale
            if requests > _MIN_BUCKET_REQUESTS:
                yield bucket * BUCKET_KEYS, requests

    def _half_lives(self) -> float:
        return (self._updated_ms - self._reference_ms) / self._half_life_ms

    def _scale(self) -> float:
        """Return the factor from stored counts to decayed requests."""
        return math.exp2(-self._half_lives())

    def _rescale(self) -> None:
        scale = self._scale()
        self._counts = [count * scale for count in self._counts]
        self._reference_ms = self._updated_ms
