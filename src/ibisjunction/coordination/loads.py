"""Estimates load of keys and speed of upstreams from entry VMs' reports."""

import enum
import itertools
from collections import defaultdict, deque
from dataclasses import dataclass
from typing import Final

from ibisjunction.clock import MS_PER_S
from ibisjunction.coordination.decay import DecayedCounts
from ibisjunction.fleet.model import BUCKET_KEYS, ProcessKey, Shard, Upstream

#: Rate that is added for each key, in requests per second, so that idle keys
#: are distributed over the upstreams too.
_IDLE_RATE: Final = 0.00002
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
#: Requests a second of an upstream that names a lower limit.
_MIN_CAPACITY: Final = 0.1
#: Service time of an upstream that has not answered yet, in milliseconds.
_DEFAULT_SERVICE_MS: Final = 200


class Horizon(enum.Enum):
    """The time over which load is averaged; the value is its half-life in ms.

    Busy keys change within seconds; with a longer time than ``SHORT``, changes
    would be noticed late. A lasting difference of a small load shows only over
    ``LONG``; over a shorter time it is within what chance explains.
    """

    SHORT = 800
    LONG = 6400


@dataclass(frozen=True, slots=True)
class KeyLoad:
    """Requests of a service since the previous report, by bucket of keys."""

    service: str
    requests: dict[int, int]


@dataclass(frozen=True, slots=True)
class UpstreamSpeed:
    """Latencies in ms of a process's answers since the previous report.

    ``limit_per_s`` is the limit on requests that its latest answer named.
    """

    upstream: str
    born: int
    latencies: tuple[int, ...]
    limit_per_s: float | None = None


def bucket_of(key: int) -> int:
    """Return the bucket in which requests for a key are counted."""
    return key // BUCKET_KEYS


class LoadTracker:
    """Tracks decayed requests by bucket, and latencies of upstreams."""

    def __init__(self) -> None:
        """Start without reports."""
        self._loads: defaultdict[tuple[str, Horizon], DecayedCounts] = (
            _LoadsByHorizon()
        )
        self._latencies: defaultdict[tuple[str, int], deque[int]] = defaultdict(
            _make_samples,
        )
        self._limits: dict[ProcessKey, float] = {}

    def record_load(self, report: KeyLoad, now: int) -> None:
        """Add a VM's report on keys."""
        for horizon in Horizon:
            self._loads[(report.service, horizon)].add(report.requests, now)

    def record_speed(self, report: UpstreamSpeed) -> None:
        """Add a VM's report on an upstream."""
        process_key = (report.upstream, report.born)
        self._latencies[process_key].extend(report.latencies)
        if report.limit_per_s is None:
            self._limits.pop(process_key, None)
        else:
            self._limits[process_key] = report.limit_per_s

    def capacity_of(self, upstream: Upstream) -> float:
        """Return the requests per second that an upstream can process."""
        samples = self._latencies.get((upstream.upstream, upstream.born))
        service_ms = float(_DEFAULT_SERVICE_MS)
        if samples:
            ranked = sorted(samples)
            service_ms = ranked[int(len(ranked) * _SERVICE_TIME_QUANTILE)]
        capacity = upstream.slots * MS_PER_S / max(1, service_ms)
        limit = self._limits.get(upstream.process_key, capacity)
        return max(_MIN_CAPACITY, min(capacity, limit))

    def rates_of(
        self,
        service: str,
        shards: tuple[Shard, ...],
        horizon: Horizon = Horizon.SHORT,
    ) -> list[float]:
        """Return the requests per second of each shard of a service.

        :param shards: shards in the order of their keys; they cover all keys.
        """
        load = self._loads[(service, horizon)]
        window_s = load.window_s
        requests_by_shard = load.count_by_shard(shard.last for shard in shards)
        return [
            _idle_rate(shard) + requests / window_s
            for shard, requests in zip(shards, requests_by_shard, strict=True)
        ]

    def window_s(self, service: str, horizon: Horizon = Horizon.SHORT) -> float:
        """Return the seconds over which the rates of a service were counted."""
        return max(_MIN_WINDOW_S, self._loads[(service, horizon)].window_s)

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
        load = self._loads[(service, Horizon.SHORT)]
        max_requests = max(_MIN_PART_REQUESTS, limit * load.window_s)
        split_keys: set[int] = set()
        part_requests: float = 0
        for start, requests in load.list_busy(shard.first, shard.last):
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


class _LoadsByHorizon(defaultdict[tuple[str, Horizon], DecayedCounts]):
    """Counts by service and horizon, created when they are first used."""

    def __missing__(self, key: tuple[str, Horizon]) -> DecayedCounts:
        """Create the counts of a service over a horizon."""
        _, horizon = key
        counts = DecayedCounts(horizon.value)
        self[key] = counts
        return counts


def _make_samples() -> deque[int]:
    return deque(maxlen=_MAX_LATENCY_SAMPLES)


def _idle_rate(shard: Shard) -> float:
    return (shard.last - shard.first + 1) * _IDLE_RATE
