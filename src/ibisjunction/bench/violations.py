"""Violations that the checks report."""

from dataclasses import dataclass

from ibisjunction.bench.run_records import Run


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken invariant, with the request, shard or process concerned."""

    check: str
    subject: str
    detail: str


def format_run(run: Run) -> str:
    """Format a run for the detail of a violation."""
    started = run.started
    return (
        f'{started.request_id or started.run} (upstream {started.upstream},'
        f' fence {started.fence}, at {started.at_ms} ms)'
    )
