"""Estimates the load of keys from entry VMs' reports."""

import enum
import itertools
from collections import defaultdict
from dataclasses import dataclass
from typing import Final

from ibisjunction.coordination.decay import DecayedCounts
from ibisjunction.coordination.speeds import SpeedTracker
from ibisjunction.fleet.model import BUCKET_KEYS, Shard

#: Rate that is added for each key, in requests per second, so that idle keys
#: are distributed over the upstreams too.
_IDLE_RATE: Final = 0.00002
#: Lower bound of the decayed requests at which a part ends; fewer don't show
#: where a busy range begins or ends.
_MIN_PART_REQUESTS: Final = 3
#: Lower bound of the window of rates, in seconds; no report covers less.
_MIN_WINDOW_S: Final = 0.1


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


def bucket_of(key: int) -> int:
    """Return the bucket in which requests for a key are counted."""
    return key // BUCKET_KEYS


class LoadTracker:
    """Tracks decayed requests by bucket, and the speed of upstreams."""

    def __init__(self) -> None:
        """Start without reports."""
        self._loads: defaultdict[tuple[str, Horizon], DecayedCounts] = (
            _LoadsByHorizon()
        )
        #: What upstreams can process.
        self.speeds = SpeedTracker()

    def record_load(self, report: KeyLoad, now: int) -> None:
        """Add a VM's report on keys."""
        for horizon in Horizon:
            self._loads[(report.service, horizon)].add(report.requests, now)

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


def _idle_rate(shard: Shard) -> float:
    return (shard.last - shard.first + 1) * _IDLE_RATE
