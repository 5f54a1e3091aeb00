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
from ibisjunction.bench.violations import Violation, show_run

#: Time after which a draining upstream receives no new work.
DRAIN_LIMIT_MS: Final = 3000
#: Actions after which an upstream is alive but can't be waited for.
_LOSSES: Final = ('Pause', 'SetFrozen(frozen=True)', 'SilenceConnections')


def check_fence_order(records: ExperimentRecords) -> Iterator[Violation]:
    """Find fences of a shard that fall over time, across all upstreams.

    A run that starts under an older fence than an earlier run of the same
    shard was started by a former owner. Equal fences at two upstreams mean
    that one grant was given twice.
    """
    for shard, runs in _by_shard(records.runs).items():
        newest = runs[0]
        for run in runs[1:]:
            if run.started.fence < newest.started.fence:
                yield Violation(
                    'fence order',
                    shard,
                    f'{show_run(run)} started after {show_run(newest)}',
                )
            elif _shares_fence(run, newest):
                yield Violation(
                    'fence order',
                    shard,
                    f'{show_run(run)} shares the fence of {show_run(newest)}',
                )
            else:
                newest = run


def check_overlap(records: ExperimentRecords) -> Iterator[Violation]:
    """Find shards whose requests two upstreams ran at the same time.

    A hand-over waits for the former owner's runs. It can't wait for those of
    an upstream that is alive but unreachable, so a run that is still in
    progress there when the next owner starts counts only if no action had
    frozen the former owner or silenced its connections before. A run that a
    crash cut ended with its process: its end is taken to be the last record
    of that process.
    """
    lost_at = _find_lost(records.actions)
    for shard, runs in _by_shard(_close_cut_runs(records.runs)).items():
        for earlier, later in _overlapping(runs):
            upstream = earlier.started.upstream
            later_ms = later.started.at_ms
            if not any(at <= later_ms for at in lost_at[upstream]):
                yield Violation(
                    'overlap',
                    shard,
                    f'{show_run(later)} started while {show_run(earlier)} ran',
                )


def check_drains(records: ExperimentRecords) -> Iterator[Violation]:
    """Find draining upstreams that got new work after 3 s."""
    for drain in records.drains:
        limit_ms = drain.at_ms + DRAIN_LIMIT_MS
        late = [
            run
            for run in records.runs
            if run.started.upstream == drain.upstream
            and run.started.at_ms > limit_ms
        ]
        if late:
            yield Violation(
                'drain',
                drain.upstream,
                f'{len(late)} runs started after the limit, the last one'
                f' {late[-1].started.at_ms - drain.at_ms} ms after the drain',
            )


def _by_shard(runs: Iterable[Run]) -> dict[str, list[Run]]:
    """Return the runs of each shard in order of their start."""
    shards: dict[str, list[Run]] = defaultdict(list)
    for run in sorted(runs, key=_start_order):
        shards[run.started.shard].append(run)
    return shards


def _start_order(run: Run) -> tuple[int, int]:
    """Order runs that started within one millisecond by fence."""
    return run.started.at_ms, run.started.fence


def _shares_fence(run: Run, other: Run) -> bool:
    is_elsewhere = run.started.upstream != other.started.upstream
    return is_elsewhere and run.started.fence == other.started.fence


def _overlapping(runs: list[Run]) -> Iterator[tuple[Run, Run]]:
    """Yield a run and a later one of another upstream that overlap."""
    for index, later in enumerate(runs):
        for earlier in runs[:index]:
            is_elsewhere = earlier.started.upstream != later.started.upstream
            end_ms = earlier.ended_ms
            is_over = end_ms is not None and end_ms <= later.started.at_ms
            if is_elsewhere and not is_over:
                yield earlier, later


def _find_lost(actions: Iterable[ActionRecord]) -> dict[str, list[int]]:
    """Return when each process began to be unreachable, by its name."""
    lost: dict[str, list[int]] = defaultdict(list)
    for action in actions:
        if action.action.startswith(_LOSSES):
            lost[action.target].append(action.started_ms)
    return lost


def _close_cut_runs(runs: Iterable[Run]) -> list[Run]:
    """Give runs without an end the time of their process's last record."""
    last_ms: dict[str, int] = defaultdict(int)
    runs = list(runs)
    for run in runs:
        end_ms = run.ended_ms or run.started.at_ms
        process = _process_of(run)
        last_ms[process] = max(last_ms[process], end_ms)
    return [
        replace(run, ended_ms=run.ended_ms or last_ms[_process_of(run)])
        for run in runs
    ]


def _process_of(run: Run) -> str:
    """Return the part of a run's name that its process chose at start."""
    return run.started.run.rpartition('-')[0]
