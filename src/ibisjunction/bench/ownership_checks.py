"""Checks of sole ownership (R1) and of drains (R6)."""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import replace
from typing import Final

from ibisjunction.bench.experiment_records import (
    ActionRecord,
    ExperimentRecords,
)
from ibisjunction.bench.run_records import Run
from ibisjunction.bench.violations import Violation, format_run

#: Time after which a draining upstream receives no new requests.
DRAIN_LIMIT_MS: Final = 3000
#: Actions after which an upstream is alive but unreachable, so that a hand-over
#: can't wait for its runs; matched as prefixes of recorded actions.
_ISOLATING_ACTIONS: Final = (
    'Pause',
    'SetFrozen(frozen=True)',
    'SilenceConnections',
)


def check_fence_order(records: ExperimentRecords) -> Iterator[Violation]:
    """Find fences of a shard that decrease over time, across all upstreams.

    A run that starts under an older fence than an earlier run of the same
    shard was started by a former owner. Equal fences at two upstreams mean
    that one grant was issued twice.
    """
    for shard, runs in _group_by_shard(records.runs).items():
        newest = runs[0]
        for run in runs[1:]:
            if run.started.fence < newest.started.fence:
                yield Violation(
                    'fence order',
                    shard,
                    f'{format_run(run)} started after {format_run(newest)}',
                )
            elif _shares_fence(run, newest):
                yield Violation(
                    'fence order',
                    shard,
                    f'{format_run(run)} shares the fence of'
                    f' {format_run(newest)}',
                )
            else:
                newest = run


def check_overlap(records: ExperimentRecords) -> Iterator[Violation]:
    """Find shards whose requests two upstreams ran at the same time.

    A hand-over waits for the former owner's runs. It can't wait for those of
    an upstream that is alive but unreachable, so a run that is still in
    progress there when the next owner starts is a violation only if no earlier
    action paused or froze the former owner or silenced its connections. A run
    that a crash interrupted ended with its process: its end is taken to be the
    last record of that process.
    """
    isolation_times_ms = _find_isolation_times(records.actions)
    for shard, runs in _group_by_shard(
        _end_interrupted_runs(records.runs)
    ).items():
        for earlier, later in _find_overlaps(runs):
            upstream = earlier.started.upstream
            later_ms = later.started.at_ms
            if not any(
                at_ms <= later_ms for at_ms in isolation_times_ms[upstream]
            ):
                yield Violation(
                    'overlap',
                    shard,
                    f'{format_run(later)} started while'
                    f' {format_run(earlier)} ran',
                )


def check_drains(records: ExperimentRecords) -> Iterator[Violation]:
    """Find upstreams that started runs more than 3 s after a drain started."""
    for drain in records.drains:
        limit_ms = drain.at_ms + DRAIN_LIMIT_MS
        late_runs = [
            run
            for run in records.runs
            if run.started.upstream == drain.upstream
            and run.started.at_ms > limit_ms
        ]
        if late_runs:
            yield Violation(
                'drain',
                drain.upstream,
                f'{len(late_runs)} runs started after the limit, the last one'
                f' {late_runs[-1].started.at_ms - drain.at_ms} ms after the'
                ' drain',
            )


def _group_by_shard(runs: Iterable[Run]) -> dict[str, list[Run]]:
    """Return the runs of each shard in order of their start."""
    shards: dict[str, list[Run]] = defaultdict(list)
    for run in sorted(runs, key=_start_sort_key):
        shards[run.started.shard].append(run)
    return shards


def _start_sort_key(run: Run) -> tuple[int, int]:
    """Sort by start time, and by fence within one millisecond."""
    return run.started.at_ms, run.started.fence


def _shares_fence(run: Run, other: Run) -> bool:
    is_other_upstream = run.started.upstream != other.started.upstream
    return is_other_upstream and run.started.fence == other.started.fence


def _find_overlaps(runs: list[Run]) -> Iterator[tuple[Run, Run]]:
    """Yield pairs of overlapping runs on different upstreams."""
    for index, later in enumerate(runs):
        for earlier in runs[:index]:
            is_other_upstream = (
                earlier.started.upstream != later.started.upstream
            )
            end_ms = earlier.ended_ms
            is_over = end_ms is not None and end_ms <= later.started.at_ms
            if is_other_upstream and not is_over:
                yield earlier, later


def _find_isolation_times(
    actions: Iterable[ActionRecord],
) -> dict[str, list[int]]:
    """Return when actions made each process unreachable, by process name."""
    isolation_times_ms: dict[str, list[int]] = defaultdict(list)
    for action in actions:
        if action.action.startswith(_ISOLATING_ACTIONS):
            isolation_times_ms[action.target].append(action.started_ms)
    return isolation_times_ms


def _end_interrupted_runs(runs: Iterable[Run]) -> list[Run]:
    """Set the end of interrupted runs to the last record of their process."""
    last_ms: dict[str, int] = defaultdict(int)
    runs = list(runs)
    for run in runs:
        end_ms = run.ended_ms or run.started.at_ms
        process = _process_prefix(run)
        last_ms[process] = max(last_ms[process], end_ms)
    return [
        replace(run, ended_ms=run.ended_ms or last_ms[_process_prefix(run)])
        for run in runs
    ]


def _process_prefix(run: Run) -> str:
    """Return the prefix of a run's name that its process chose at start."""
    return run.started.run.rpartition('-')[0]
