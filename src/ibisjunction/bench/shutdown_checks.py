"""Checks of graceful shutdowns (R7)."""

from collections.abc import Iterator

from ibisjunction.bench.experiment_records import (
    ActionRecord,
    ExperimentRecords,
)
from ibisjunction.bench.request_records import Attempt
from ibisjunction.bench.violations import Violation


def check_shutdowns(records: ExperimentRecords) -> Iterator[Violation]:
    """Find graceful shutdowns of VMs that failed or cut off a request."""
    for action in records.actions:
        is_vm = action.target.startswith('vm-')
        if action.action == 'Restart' and is_vm and not action.exit_code:
            yield from _find_requests_cut_off(records, action)
        elif action.action == 'Restart' and is_vm:
            yield Violation(
                'graceful shutdown',
                action.target,
                f'exit code {action.exit_code}',
            )


def _find_requests_cut_off(
    records: ExperimentRecords,
    shutdown: ActionRecord,
) -> Iterator[Violation]:
    """Find requests that the shutdown of a VM cut off.

    The answer of such a request is missing or partial, and the request was in
    flight at the VM when the shutdown began, or was sent during the shutdown
    and ran. A request that the VM didn't accept, because it no longer listened,
    isn't cut off.
    """
    ran_targets = {run.started.target for run in records.runs}
    for request in records.requests:
        has_run = request.target in ran_targets
        if any(
            _is_cut_off(attempt, shutdown, has_run)
            for attempt in request.attempts
        ):
            yield Violation(
                'graceful shutdown',
                request.target,
                f'cut off by the shutdown of {shutdown.target}',
            )


def _is_cut_off(
    attempt: Attempt, shutdown: ActionRecord, has_run: bool
) -> bool:
    if attempt.vm != shutdown.target or attempt.status or not attempt.was_sent:
        return False
    was_in_flight = attempt.sent_ms < shutdown.started_ms <= attempt.ended_ms
    during_shutdown = shutdown.started_ms <= attempt.sent_ms < shutdown.ended_ms
    return was_in_flight or (during_shutdown and has_run)
