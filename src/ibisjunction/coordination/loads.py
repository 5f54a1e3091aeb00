"""How busy the keys of each service are, from reports of entry VMs."""

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Final

from ibisjunction.fleet.model import LAST_KEY, Shard

#: Reports are added up per bucket of keys; the busy keys of a bucket are not
#: told apart.
BUCKET_KEYS: Final = 16
_BUCKETS: Final = (LAST_KEY + 1) // BUCKET_KEYS
#: Time in which the weight of an old report halves.
_HALF_LIFE_MS: Final = 2000
#: Load in requests of a bucket without any, so that idle keys are spread too.
_IDLE_LOAD: Final = 0.002


@dataclass(frozen=True, slots=True)
class KeyLoad:
    """Requests of a service since the last report, by bucket of keys."""

    service: str
    requests: dict[int, int]


@dataclass(slots=True)
class _Load:
    """Decayed requests by bucket, as of ``at_ms``."""

    at_ms: int
    buckets: list[float] = field(default_factory=lambda: [0] * _BUCKETS)


def bucket_of(key: int) -> int:
    """Return the bucket that a key is counted in."""
    return key // BUCKET_KEYS


class LoadBook:
    """Decayed requests by service and bucket."""

    def __init__(self) -> None:
        """Start without reports."""
        self._loads: defaultdict[str, _Load] = defaultdict(lambda: _Load(0))

    def record(self, report: KeyLoad, now: int) -> None:
        """Add a report of one VM."""
        load = self._loads[report.service]
        _decay(load, now)
        for bucket, requests in report.requests.items():
            if 0 <= bucket < _BUCKETS:
                load.buckets[bucket] += requests

    def load_of(self, service: str, shard: Shard) -> float:
        """Return the load of a shard; only ratios have a meaning."""
        first = bucket_of(shard.first)
        last = bucket_of(shard.last)
        buckets = self._loads[service].buckets[first : last + 1]
        share = (shard.last - shard.first + 1) / (len(buckets) * BUCKET_KEYS)
        return (sum(buckets) + _IDLE_LOAD * len(buckets)) * share

    def find_middle(self, service: str, shard: Shard) -> int | None:
        """Return the key that halves the load of a shard, if any does."""
        first = bucket_of(shard.first)
        buckets = self._loads[service].buckets[
            first : bucket_of(shard.last) + 1
        ]
        half = sum(buckets) / 2
        passed = 0.0
        for offset, requests in enumerate(buckets):
            passed += requests
            if passed >= half:
                for bucket in (first + offset, first + offset + 1):
                    if shard.first < bucket * BUCKET_KEYS <= shard.last:
                        return bucket * BUCKET_KEYS
                return None
        return None


def _decay(load: _Load, now: int) -> None:
    factor = 0.5 ** ((now - load.at_ms) / _HALF_LIFE_MS)
    load.at_ms = now
    load.buckets = [requests * factor for requests in load.buckets]
