"""How busy keys and upstreams are, from reports of entry VMs."""

import itertools
import math
from collections import defaultdict, deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from ibisjunction.clock import MS_PER_S
from ibisjunction.fleet.model import BUCKET_KEYS, Shard, Upstream

#: Time in which the weight of an old report halves. Busy keys change within
#: seconds; a shorter time would take chance for a change.
_HALF_LIFE_MS: Final = 800
#: Sum of the weights of one request each second.
_FULL_WEIGHT_S: Final = _HALF_LIFE_MS / MS_PER_S / math.log(2)
#: Time that the first report covers.
_FIRST_REPORT_MS: Final = 200
#: Rate of keys without any request, in requests each second and key, so that
#: idle keys are spread too.
_IDLE_RATE: Final = 0.00002
#: A bucket whose decayed requests fall below this is forgotten.
_FORGOTTEN: Final = 0.01
#: Latest answers of an upstream from which its service time is estimated.
_SAMPLES: Final = 24
#: Part of the answers that are as fast as the service time; the others waited
#: in the upstream's queue.
_FAST_SHARE: Final = 0.35
#: Requests that tell nothing about where a busy range begins or ends.
_FEW: Final = 3
#: Shortest time over which rates count, in seconds; no report is younger.
_MIN_WEIGHT_S: Final = 0.1
#: Service time of an upstream that has not answered yet, in milliseconds.
_FIRST_SERVICE_MS: Final = 200


@dataclass(frozen=True, slots=True)
class KeyLoad:
    """Requests of a service since the last report, by bucket of keys."""

    service: str
    requests: dict[int, int]


@dataclass(frozen=True, slots=True)
class UpstreamSpeed:
    """Latencies in milliseconds of a process's answers since the report."""

    upstream: str
    born: int
    latencies: tuple[int, ...]


@dataclass(slots=True)
class _Load:
    """Decayed requests by bucket, as of ``at_ms``."""

    since_ms: int | None = None
    at_ms: int = 0
    buckets: dict[int, float] = field(default_factory=dict)


def bucket_of(key: int) -> int:
    """Return the bucket that a key is counted in."""
    return key // BUCKET_KEYS


class LoadBook:
    """Decayed requests by service and bucket, and speeds of upstreams."""

    def __init__(self) -> None:
        """Start without reports."""
        self._loads: defaultdict[str, _Load] = defaultdict(_Load)
        self._latencies: defaultdict[tuple[str, int], deque[int]] = defaultdict(
            _make_samples,
        )

    def record(self, report: KeyLoad, now: int) -> None:
        """Add a VM's report on keys."""
        load = self._loads[report.service]
        if load.since_ms is None:
            load.since_ms = now - _FIRST_REPORT_MS
        _decay(load, now)
        for bucket, requests in report.requests.items():
            load.buckets[bucket] = load.buckets.get(bucket, 0) + requests

    def record_speed(self, report: UpstreamSpeed) -> None:
        """Add a VM's report on an upstream."""
        samples = self._latencies[(report.upstream, report.born)]
        samples.extend(report.latencies)

    def capacity_of(self, upstream: Upstream) -> float:
        """Return the requests each second that an upstream can run."""
        samples = self._latencies.get((upstream.upstream, upstream.born))
        service_ms = float(_FIRST_SERVICE_MS)
        if samples:
            ranked = sorted(samples)
            service_ms = ranked[int(len(ranked) * _FAST_SHARE)]
        return upstream.slots * MS_PER_S / max(1, service_ms)

    def rates_of(self, service: str, shards: tuple[Shard, ...]) -> list[float]:
        """Return the requests each second of shards that cover all keys."""
        rates = [_idle_rate(shard) for shard in shards]
        position = 0
        load = self._loads[service]
        weight_s = _weight_s(load)
        for bucket, requests in sorted(load.buckets.items()):
            first = bucket * BUCKET_KEYS
            while position < len(shards) and shards[position].last < first:
                position += 1
            if position < len(shards):
                rates[position] += requests / weight_s
        return rates

    def weight_s(self, service: str) -> float:
        """Return the seconds over which the rates of a service were counted."""
        return max(_MIN_WEIGHT_S, _weight_s(self._loads[service]))

    def find_starts(
        self,
        service: str,
        shard: Shard,
        limit: float,
        most: int,
    ) -> tuple[int, ...]:
        """Return where to divide a shard into parts of limited load.

        A bucket that is busier than the limit becomes a part of its own.

        :param limit: requests each second of one part.
        :param most: parts after the first one.
        :return: first keys of the parts after the first one.
        """
        wanted = max(_FEW, limit * _weight_s(self._loads[service]))
        starts: set[int] = set()
        part: float = 0
        for start, requests in self._list_inside(service, shard):
            if part + requests > wanted:
                starts.add(start)
                part = 0
            part += requests
            if part >= wanted:
                starts.add(start + BUCKET_KEYS)
                part = 0
        fitting = (key for key in sorted(starts) if shard.first < key)
        inside = itertools.takewhile(lambda key: key <= shard.last, fitting)
        return tuple(itertools.islice(inside, max(0, most)))

    def _list_inside(
        self,
        service: str,
        shard: Shard,
    ) -> Iterator[tuple[int, float]]:
        for bucket, requests in sorted(self._loads[service].buckets.items()):
            if shard.first <= bucket * BUCKET_KEYS <= shard.last:
                yield bucket * BUCKET_KEYS, requests


def _make_samples() -> deque[int]:
    return deque(maxlen=_SAMPLES)


def _idle_rate(shard: Shard) -> float:
    return (shard.last - shard.first + 1) * _IDLE_RATE


def _weight_s(load: _Load) -> float:
    """Return the weight of one request each second since the first report."""
    if load.since_ms is None:
        return _FULL_WEIGHT_S
    lives = (load.at_ms - load.since_ms) / _HALF_LIFE_MS
    return _FULL_WEIGHT_S * (1 - math.exp2(-lives))


def _decay(load: _Load, now: int) -> None:
    factor = math.exp2((load.at_ms - now) / _HALF_LIFE_MS)
    load.at_ms = now
    load.buckets = {
        bucket: requests * factor
        for bucket, requests in load.buckets.items()
        if requests * factor > _FORGOTTEN
    }
