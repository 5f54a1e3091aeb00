"""Estimates load of keys and speed of upstreams from entry VMs' reports."""

import itertools
import math
from collections import defaultdict, deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from ibisjunction.clock import MS_PER_S
from ibisjunction.fleet.model import BUCKET_KEYS, Shard, Upstream

#: Time in which the weight of an old report halves. Busy keys change within
#: seconds; with a shorter time, random variation would count as a change.
_HALF_LIFE_MS: Final = 800
#: Seconds by which a decayed count of requests is divided to get their rate
#: per second, once reports have arrived for many half-lives.
_MAX_EFFECTIVE_WINDOW_S: Final = _HALF_LIFE_MS / MS_PER_S / math.log(2)
#: Time that the first report is assumed to cover.
_FIRST_REPORT_MS: Final = 200
#: Rate that is added for each key, in requests per second, so that idle keys
#: are distributed over the upstreams too.
_IDLE_RATE: Final = 0.00002
#: A bucket whose decayed requests fall below this is removed.
_MIN_BUCKET_REQUESTS: Final = 0.01
#: Latest answers of an upstream from which its service time is estimated.
_MAX_LATENCY_SAMPLES: Final = 24
#: Quantile of the latencies that estimates the service time; the latencies of
#: slower answers include time in the upstream's queue.
_SERVICE_TIME_QUANTILE: Final = 0.35
#: Lower bound of the decayed requests at which a part ends; fewer don't show
#: where a busy range begins or ends.
_MIN_PART_REQUESTS: Final = 3
#: Lower bound of the window of rates, in seconds; no report covers less.
_MIN_WINDOW_S: Final = 0.1
#: Service time of an upstream that has not answered yet, in milliseconds.
_DEFAULT_SERVICE_MS: Final = 200


@dataclass(frozen=True, slots=True)
class KeyLoad:
    """Requests of a service since the previous report, by bucket of keys."""

    service: str
    requests: dict[int, int]


@dataclass(frozen=True, slots=True)
class UpstreamSpeed:
    """Latencies in ms of a process's answers since the previous report."""

    upstream: str
    born: int
    latencies: tuple[int, ...]


@dataclass(slots=True)
class _DecayedLoad:
    """Decayed requests by bucket, as of ``updated_ms``.

    ``since_ms`` is the start of the time that the reports cover.
    """

    since_ms: int | None = None
    updated_ms: int = 0
    buckets: dict[int, float] = field(default_factory=dict)


def bucket_of(key: int) -> int:
    """Return the bucket in which requests for a key are counted."""
    return key // BUCKET_KEYS


class LoadTracker:
    """Tracks decayed requests by bucket, and latencies of upstreams."""

    def __init__(self) -> None:
        """Start without reports."""
        self._loads: defaultdict[str, _DecayedLoad] = defaultdict(_DecayedLoad)
        self._latencies: defaultdict[tuple[str, int], deque[int]] = defaultdict(
            _make_samples,
        )

    def record_load(self, report: KeyLoad, now: int) -> None:
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
        """Return the requests per second that an upstream can process."""
        samples = self._latencies.get((upstream.upstream, upstream.born))
        service_ms = float(_DEFAULT_SERVICE_MS)
        if samples:
            ranked = sorted(samples)
            service_ms = ranked[int(len(ranked) * _SERVICE_TIME_QUANTILE)]
        return upstream.slots * MS_PER_S / max(1, service_ms)

    def rates_of(self, service: str, shards: tuple[Shard, ...]) -> list[float]:
        """Return the requests per second of each shard of a service.

        :param shards: shards in the order of their keys; they cover all keys.
        """
        rates = [_idle_rate(shard) for shard in shards]
        position = 0
        load = self._loads[service]
        window_s = _effective_window_s(load)
        for bucket, requests in sorted(load.buckets.items()):
            first = bucket * BUCKET_KEYS
            while position < len(shards) and shards[position].last < first:
                position += 1
            if position < len(shards):
                rates[position] += requests / window_s
        return rates

    def window_s(self, service: str) -> float:
        """Return the seconds over which the rates of a service were counted."""
        return max(_MIN_WINDOW_S, _effective_window_s(self._loads[service]))

    def find_split_keys(
        self,
        service: str,
        shard: Shard,
        limit: float,
        max_keys: int,
    ) -> tuple[int, ...]:
        """Return the keys at which to split a shard into parts of limited load.

        A bucket that is busier than the limit becomes a part of its own.

        :param limit: requests per second of one part.
        :param max_keys: largest number of keys to return.
        :return: first keys of the parts after the first one.
        """
        max_requests = max(
            _MIN_PART_REQUESTS,
            limit * _effective_window_s(self._loads[service]),
        )
        split_keys: set[int] = set()
        part_requests: float = 0
        for start, requests in self._list_buckets(service, shard):
            if part_requests + requests > max_requests:
                split_keys.add(start)
                part_requests = 0
            part_requests += requests
            if part_requests >= max_requests:
                split_keys.add(start + BUCKET_KEYS)
                part_requests = 0
        after_first = (key for key in sorted(split_keys) if shard.first < key)
        inside = itertools.takewhile(lambda key: key <= shard.last, after_first)
        return tuple(itertools.islice(inside, max(0, max_keys)))

    def _list_buckets(
        self,
        service: str,
        shard: Shard,
    ) -> Iterator[tuple[int, float]]:
        for bucket, requests in sorted(self._loads[service].buckets.items()):
            if shard.first <= bucket * BUCKET_KEYS <= shard.last:
                yield bucket * BUCKET_KEYS, requests


def _make_samples() -> deque[int]:
    return deque(maxlen=_MAX_LATENCY_SAMPLES)


def _idle_rate(shard: Shard) -> float:
    return (shard.last - shard.first + 1) * _IDLE_RATE


def _effective_window_s(load: _DecayedLoad) -> float:
    """Return the seconds by which a decayed count is divided to get a rate.

    They grow with the time that the reports cover.
    """
    if load.since_ms is None:
        return _MAX_EFFECTIVE_WINDOW_S
    half_lives = (load.updated_ms - load.since_ms) / _HALF_LIFE_MS
    return _MAX_EFFECTIVE_WINDOW_S * (1 - math.exp2(-half_lives))


def _decay(load: _DecayedLoad, now: int) -> None:
    factor = math.exp2((load.updated_ms - now) / _HALF_LIFE_MS)
    load.updated_ms = now
    load.buckets = {
        bucket: requests * factor
        for bucket, requests in load.buckets.items()
        if requests * factor > _MIN_BUCKET_REQUESTS
    }
