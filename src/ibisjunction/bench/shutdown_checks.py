"""Checks of graceful shutdowns (R7)."""

from collections.abc import Iterator

from ibisjunction.bench.experiment_records import (
    ActionRecord,
    ExperimentRecords,
)
from ibisjunction.bench.request_records import Attempt
from ibisjunction.bench.violations import Violation


def check_shutdowns(records: ExperimentRecords) -> Iterator[Violation]:
    """Find graceful shutdowns of VMs that failed or cut a request."""
    for action in records.actions:
        is_vm = action.target.startswith('vm-')
        if action.action == 'Restart' and is_vm and not action.exit_code:
            yield from _find_cut_requests(records, action)
        elif action.action == 'Restart' and is_vm:
            yield Violation(
                'graceful shutdown',
                action.target,
                f'exit code {action.exit_code}',
            )


def _find_cut_requests(
    records: ExperimentRecords,
    stop: ActionRecord,
) -> Iterator[Violation]:
    """Find requests that the shutdown of a VM cut.

    Cut means: the request was in flight at the VM when it was told to stop, or
    ran while the VM shut down, and its answer is missing or partial. A request
    that the VM never took, because it no longer listened, isn't cut.
    """
    ran = {run.started.target for run in records.runs}
    for request in records.requests:
        has_run = request.target in ran
        if any(_is_cut(sent, stop, has_run) for sent in request.attempts):
            yield Violation(
                'graceful shutdown',
                request.target,
                f'cut by the shutdown of {stop.target}',
            )


def _is_cut(attempt: Attempt, stop: ActionRecord, has_run: bool) -> bool:
    if attempt.vm != stop.target or attempt.status or not attempt.was_sent:
        return False
    was_in_flight = attempt.sent_ms < stop.started_ms <= attempt.ended_ms
    during_stop = stop.started_ms <= attempt.sent_ms < stop.ended_ms
    return was_in_flight or (during_stop and has_run)
