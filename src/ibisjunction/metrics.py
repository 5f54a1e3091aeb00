"""Latency percentiles and counts of requests.

The task owns the histograms. Other tasks post measurements; the administration
API posts a request for the text that monitoring systems read.
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Final

from hdrh.histogram import HdrHistogram
from prometheus_client.core import (
    CounterMetricFamily,
    Metric,
    SummaryMetricFamily,
)
from prometheus_client.exposition import generate_latest
from prometheus_client.registry import CollectorRegistry

from ibisjunction.bodies.use import CallerUse, collect_caller_use
from ibisjunction.entry.callers.connection_ends import (
    ConnectionEndCount,
    ConnectionEndMeasured,
)
from ibisjunction.entry.hedging.counts import HedgeCount, HedgeMeasured
from ibisjunction.entry.link.meter import LinkUse, collect_link_use
from ibisjunction.entry.serving.phases import (
    LateRequestCount,
    LateRequestMeasured,
)
from ibisjunction.loop_lag import LoopUse, collect_loop_use
from ibisjunction.mailbox import Mailbox
from ibisjunction.peers.traffic import PeerTraffic, collect_traffic

#: Longer durations count as this one in the histograms.
_MAX_MS: Final = 600_000
_SIGNIFICANT_DIGITS: Final = 2
_QUANTILES: Final = (0.5, 0.9, 0.99, 0.999)
_PERCENT: Final = 100


@dataclass(frozen=True, slots=True)
class RequestMeasured:
    """The duration and outcome of a request that ended.

    ``outcome`` is ``answered``, or the name of the reason. ``upstream`` is
    empty if no ticket was held.
    """

    service: str
    rank: str
    upstream: str
    outcome: str
    duration_ms: int


@dataclass(frozen=True, slots=True)
class ReadMetrics:
    """Requests the text of all metrics."""

    reply: Mailbox[bytes]


@dataclass(slots=True)
class _Series:
    histogram: HdrHistogram
    total_ms: int = 0


class MetricsTask:
    """Histograms by rank and by upstream, and counts by outcome."""

    def __init__(self) -> None:
        """Start without measurements."""
        self._by_rank: dict[tuple[str, ...], _Series] = {}
        self._by_upstream: dict[tuple[str, ...], _Series] = {}
        self._outcomes: Counter[tuple[str, ...]] = Counter()
        self._traffic = PeerTraffic()
        self._link_use: LinkUse | None = None
        self._caller_use: CallerUse | None = None
        self._connection_ends = ConnectionEndCount()
        self._late_requests = LateRequestCount()
        self._hedges = HedgeCount()
        self._loop_use: LoopUse | None = None
        self._registry = CollectorRegistry()
        self._registry.register(self)
        self.mailbox: Mailbox[Any] = Mailbox()

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            self.handle(await self.mailbox.get())

    def handle(self, message: Any) -> None:
        """Process one message."""
        match message:
            case RequestMeasured():
                self._add_measurement(message)
            case PeerTraffic():
                self._traffic = message
            case LinkUse():
                self._link_use = message
            case CallerUse():
                self._caller_use = message
            case ConnectionEndMeasured():
                self._connection_ends.add(message)
            case LateRequestMeasured():
                self._late_requests.add(message)
            case HedgeMeasured():
                self._hedges.add(message)
            case LoopUse():
                self._loop_use = message
            case ReadMetrics(reply=reply):
                reply.post(generate_latest(self._registry))

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics, for the exposition library."""
        yield _summarise(
            'ibisjunction_request_ms',
            'Duration of requests by rank.',
            ('service', 'rank'),
            self._by_rank,
        )
        yield _summarise(
            'ibisjunction_upstream_request_ms',
            'Duration of requests by upstream.',
            ('upstream',),
            self._by_upstream,
        )
        outcomes = CounterMetricFamily(
            'ibisjunction_requests',
            'Requests by rank and outcome.',
            labels=('service', 'rank', 'outcome'),
        )
        for labels, count in sorted(self._outcomes.items()):
            outcomes.add_metric(labels, count)
        yield outcomes
        yield from collect_traffic(self._traffic)
        if self._link_use is not None:
            yield from collect_link_use(self._link_use)
        if self._caller_use is not None:
            yield from collect_caller_use(self._caller_use)
        yield from self._connection_ends.collect()
        yield from self._late_requests.collect()
        yield from self._hedges.collect()
        if self._loop_use is not None:
            yield from collect_loop_use(self._loop_use)

    def _add_measurement(self, measured: RequestMeasured) -> None:
        rank_labels = (measured.service, measured.rank)
        self._outcomes[(*rank_labels, measured.outcome)] += 1
        _record(self._by_rank, rank_labels, measured.duration_ms)
        if measured.upstream:
            _record(
                self._by_upstream,
                (measured.upstream,),
                measured.duration_ms,
            )


def _record(
    series_by_labels: dict[tuple[str, ...], _Series],
    labels: tuple[str, ...],
    duration_ms: int,
) -> None:
    series = series_by_labels.get(labels)
    if series is None:
        series = _Series(HdrHistogram(1, _MAX_MS, _SIGNIFICANT_DIGITS))
        series_by_labels[labels] = series
    series.histogram.record_value(min(max(duration_ms, 1), _MAX_MS))
    series.total_ms += duration_ms


def _summarise(
    name: str,
    text: str,
    label_names: tuple[str, ...],
    series_by_labels: dict[tuple[str, ...], _Series],
) -> SummaryMetricFamily:
    family = SummaryMetricFamily(name, text, labels=label_names)
    for labels, series in sorted(series_by_labels.items()):
        count = series.histogram.get_total_count()
        family.add_metric(labels, count, series.total_ms)
        labels_by_name = dict(zip(label_names, labels, strict=True))
        for quantile in _QUANTILES:
            family.add_sample(
                name,
                {**labels_by_name, 'quantile': str(quantile)},
                series.histogram.get_value_at_percentile(_PERCENT * quantile),
            )
    return family
