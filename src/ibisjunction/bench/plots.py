"""Plots of one experiment; imported only when a report is written."""

from collections import defaultdict
from pathlib import Path
from typing import Any, Final

import matplotlib as mpl
from matplotlib import pyplot

from ibisjunction.bench.experiment_records import ExperimentRecords
from ibisjunction.bench.request_records import RequestRecord
from ibisjunction.bench.summary import is_answered
from ibisjunction.clock import MS_PER_S

mpl.use('Agg')

_US_PER_MS: Final = 1000
_SIZE_INCHES: Final = (9, 6)
_COLOURS: Final = ('tab:red', 'tab:blue', 'tab:green')
_RANKS: Final = ('urgent', 'standard', 'deferrable')


def plot_timeline(records: ExperimentRecords, title: str, path: Path) -> None:
    """Plot latency by rank and the rate of unanswered requests over time.

    Vertical lines mark the actions of the scenario.
    """
    figure, (latency_axes, unanswered_axes) = pyplot.subplots(
        2,
        1,
        sharex=True,
        figsize=_SIZE_INCHES,
    )
    start_ms = min(request.intended_ms for request in records.requests)
    _plot_latency(latency_axes, records.requests, start_ms)
    _plot_unanswered(unanswered_axes, records.requests, start_ms)
    for action in records.actions:
        at_s = (action.started_ms - start_ms) / MS_PER_S
        for axes in (latency_axes, unanswered_axes):
            axes.axvline(at_s, color='grey', linewidth=0.5)
    latency_axes.set_title(title)
    unanswered_axes.set_xlabel('seconds since the start of the load')
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _plot_latency(
    axes: Any,
    requests: tuple[RequestRecord, ...],
    start_ms: int,
) -> None:
    for rank, colour in zip(_RANKS, _COLOURS, strict=True):
        points = [
            (
                (request.intended_ms - start_ms) / MS_PER_S,
                request.latency_us / _US_PER_MS,
            )
            for request in requests
            if request.rank == rank and is_answered(request)
        ]
        if points:
            axes.plot(
                *zip(*points, strict=True),
                '.',
                markersize=2,
                color=colour,
                label=rank,
            )
    axes.set_yscale('log')
    axes.set_ylabel('latency in ms')
    axes.legend(loc='upper right')


def _plot_unanswered(
    axes: Any,
    requests: tuple[RequestRecord, ...],
    start_ms: int,
) -> None:
    counts: dict[int, int] = defaultdict(int)
    for request in requests:
        if not is_answered(request):
            counts[(request.intended_ms - start_ms) // MS_PER_S] += 1
    axes.bar(list(counts), list(counts.values()), color='tab:red')
    axes.set_ylabel('requests/s not answered')
