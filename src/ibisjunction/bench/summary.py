"""Statistics of one experiment, computed from its records."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from http import HTTPStatus
from typing import Final

from hdrh.histogram import HdrHistogram

from ibisjunction.bench.experiment_records import ExperimentRecords
from ibisjunction.bench.request_records import RequestRecord
from ibisjunction.clock import MS_PER_S

_US_PER_MS: Final = 1000
_MAX_LATENCY_US: Final = 120_000_000
PERCENTILES: Final = (50.0, 90.0, 99.0, 99.9)


@dataclass(frozen=True, slots=True)
class GroupSummary:
    """Requests of one rank in one phase.

    ``good`` requests were answered within the rank's target and ``late`` ones
    after it; ``refused`` ended with a refusal and ``failed`` without a complete
    answer. ``percentiles_ms`` are latencies of answered requests, counted from
    the intended time of sending.
    """

    phase: str
    rank: str
    sent: int
    good: int
    late: int
    refused: int
    failed: int
    goodput_per_s: float
    percentiles_ms: tuple[float, ...]


def is_answered(request: RequestRecord) -> bool:
    """Return whether the last attempt got a complete answer with status 200."""
    return request.attempts[-1].status == HTTPStatus.OK


def summarise(requests: Iterable[RequestRecord]) -> list[GroupSummary]:
    """Return one summary for each phase and rank, in order of phases."""
    groups: dict[tuple[str, str], list[RequestRecord]] = defaultdict(list)
    for request in requests:
        groups[request.phase, request.rank].append(request)
    spans = _find_spans(groups)
    return [
        _summarise_group(phase, rank, members, spans[phase])
        for (phase, rank), members in groups.items()
    ]


def count_reasons(requests: Iterable[RequestRecord]) -> Counter[str]:
    """Count unanswered requests by the reason of their last attempt."""
    return Counter(
        request.attempts[-1].reason or f'status {request.attempts[-1].status}'
        for request in requests
        if not is_answered(request)
    )


def measure_outages(records: ExperimentRecords) -> dict[str, list[int]]:
    """Return the outages of each service in milliseconds.

    An outage of a shard begins with the first request that is not answered
    and ends with the end of the next answer for the same shard. It is
    observed only through requests, so the result can exceed the real outage.
    """
    shards: dict[str, list[RequestRecord]] = defaultdict(list)
    for request in records.requests:
        shards[request.shard].append(request)
    outages: dict[str, list[int]] = defaultdict(list)
    for shard, requests in shards.items():
        service = shard.rpartition('/')[0]
        outages[service] += _find_outages(requests)
    return outages


def _find_outages(requests: list[RequestRecord]) -> Iterator[int]:
    began_ms = None
    for request in sorted(requests, key=lambda record: record.intended_ms):
        if not is_answered(request):
            began_ms = began_ms or request.intended_ms
        elif began_ms is not None:
            yield request.attempts[-1].ended_ms - began_ms
            began_ms = None
    if began_ms is not None:
        last_ms = max(request.attempts[-1].ended_ms for request in requests)
        yield last_ms - began_ms


def _find_spans(
    groups: dict[tuple[str, str], list[RequestRecord]],
) -> dict[str, float]:
    """Return the time between first and last request of each phase in s."""
    times: dict[str, list[int]] = defaultdict(list)
    for (phase, _), members in groups.items():
        times[phase] += [request.intended_ms for request in members]
    return {
        phase: _span_ms(phase_times) / MS_PER_S
        for phase, phase_times in times.items()
    }


def _span_ms(times: list[int]) -> int:
    return max(1, max(times) - min(times))


def _summarise_group(
    phase: str,
    rank: str,
    members: list[RequestRecord],
    span_s: float,
) -> GroupSummary:
    answered = [request for request in members if is_answered(request)]
    good = sum(map(_is_in_time, answered))
    failed = sum(map(_is_failed, members))
    return GroupSummary(
        phase=phase,
        rank=rank,
        sent=len(members),
        good=good,
        late=len(answered) - good,
        refused=len(members) - len(answered) - failed,
        failed=failed,
        goodput_per_s=good / span_s,
        percentiles_ms=_compute_percentiles_ms(answered),
    )


def _compute_percentiles_ms(answered: list[RequestRecord]) -> tuple[float, ...]:
    histogram = HdrHistogram(1, _MAX_LATENCY_US, 3)
    for request in answered:
        histogram.record_value(request.latency_us)
    return tuple(
        histogram.get_value_at_percentile(percentile) / _US_PER_MS
        for percentile in PERCENTILES
    )


def _is_failed(request: RequestRecord) -> bool:
    return request.attempts[-1].status == 0


def _is_in_time(request: RequestRecord) -> bool:
    return request.latency_us <= request.target_ms * _US_PER_MS
