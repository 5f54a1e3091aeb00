"""Formats the report of a scenario as Markdown."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Final

from ibisjunction.bench.checks import CHECKS
from ibisjunction.bench.experiment_records import ExperimentRecords
from ibisjunction.bench.scenario import Scenario
from ibisjunction.bench.summary import (
    PERCENTILES,
    GroupSummary,
    count_reasons,
    measure_outages,
    summarise,
)
from ibisjunction.bench.violations import Violation
from ibisjunction.clock import MS_PER_S

_MAX_LISTED_VIOLATIONS: Final = 20


@dataclass(frozen=True, slots=True)
class Section:
    """Result of a scenario on one deployment."""

    profile: str
    records: ExperimentRecords
    violations: list[Violation]
    plot: str


def format_report(
    scenario: Scenario,
    seed: int,
    sections: Iterable[Section],
) -> str:
    """Return the report of all deployments."""
    fleet = scenario.fleet
    upstreams = sum(fleet.upstreams.values())
    lines = [
        f'# Scenario {scenario.name}, seed {seed}',
        '',
        f'{fleet.vms} VMs and {upstreams} upstreams as processes of one'
        ' machine. Latency counts from the intended time of sending.',
        '',
    ]
    for section in sections:
        lines += _format_section(section)
    return '\n'.join(lines)


def _format_section(section: Section) -> Iterator[str]:
    records = section.records
    yield f'## {section.profile}'
    yield ''
    yield from format_table(
        (
            'phase',
            'rank',
            'sent',
            'good',
            'late',
            'refused',
            'failed',
            'goodput/s',
            *(f'p{percentile:g} ms' for percentile in PERCENTILES),
        ),
        map(_format_group, summarise(records.requests)),
    )
    yield from format_table(
        ('reason of refusal or failure', 'requests'),
        (
            (reason, str(count))
            for reason, count in count_reasons(records.requests).most_common()
        ),
    )
    yield from format_table(
        ('service', 'outages', 'longest ms', 'shard-seconds unavailable'),
        (
            _format_outages(service, outages_ms)
            for service, outages_ms in measure_outages(records).items()
        ),
    )
    yield from _format_publications(records)
    yield from _format_violations(section.violations)
    yield f'![timeline]({section.plot})'
    yield ''


def _format_group(group: GroupSummary) -> tuple[str, ...]:
    counts = (group.sent, group.good, group.late, group.refused, group.failed)
    return (
        group.phase,
        group.rank,
        *map(str, counts),
        f'{group.goodput_per_s:.1f}',
        *(f'{latency:.1f}' for latency in group.percentiles_ms),
    )


def _format_outages(service: str, outages_ms: list[int]) -> tuple[str, ...]:
    return (
        service,
        str(len(outages_ms)),
        str(max(outages_ms, default=0)),
        f'{sum(outages_ms) / MS_PER_S:.2f}',
    )


def _format_publications(records: ExperimentRecords) -> Iterator[str]:
    accepted_ms = {
        publication.revision: publication.ended_ms
        for publication in reversed(records.publications)
        if publication.revision
    }
    delays_ms = [
        record.at_ms - accepted_ms[record.revision]
        for record in records.in_force
        if record.revision in accepted_ms
    ]
    if delays_ms:
        yield (
            f'Revisions were in force everywhere at most {max(delays_ms)} ms'
            ' after their acceptance.'
        )
        yield ''


def _format_violations(violations: list[Violation]) -> Iterator[str]:
    counts = {
        name: sum(violation.check == name for violation in violations)
        for name in CHECKS
    }
    yield from format_table(
        ('check', 'violations'),
        ((name, str(count)) for name, count in counts.items()),
    )
    for violation in violations[:_MAX_LISTED_VIOLATIONS]:
        yield f'- {violation.check}, {violation.subject}: {violation.detail}'
    if violations:
        yield ''


def format_table(
    header: tuple[str, ...],
    rows: Iterable[tuple[str, ...]],
) -> Iterator[str]:
    """Yield the lines of a Markdown table and an empty line."""
    yield f'| {" | ".join(header)} |'
    yield f'|{"---|" * len(header)}'
    for row in rows:
        yield f'| {" | ".join(row)} |'
    yield ''
