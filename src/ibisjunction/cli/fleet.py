"""Commands that show the fleet state that entry and control VMs report."""

import sys
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Annotated, Final

import cappa
import msgspec
from tornado.httpclient import HTTPClient, HTTPClientError

from ibisjunction.cli.connection import (
    EXIT_INVALID,
    EXIT_UNREACHABLE,
    CommandError,
    JsonFlag,
    print_json,
)
from ibisjunction.cli.inspection import print_table
from ibisjunction.fleet.report import (
    ShardEntry,
    UpstreamEntry,
    VmReport,
    decode_report,
)

_TIMEOUT_S: Final = 5.0

Addresses = Annotated[
    list[str],
    cappa.Arg(help='Metrics addresses of VMs, host:port.'),
]


@cappa.command(name='fleet')
@dataclass
class FleetStateCommand:
    """Show VMs, voters, upstreams and items as the given VMs report them."""

    addresses: Addresses
    json: JsonFlag = False

    def __call__(self) -> int:
        """Print the reports of all VMs that answer."""
        reports, errors = fetch_reports(self.addresses)
        if self.json:
            print_json(reports)
        else:
            _print_vms(reports)
            newest_report = max(reports, key=lambda report: report.index)
            _print_upstreams(newest_report)
            _print_items(reports)
        return _print_errors(errors)


@cappa.command(name='owner')
@dataclass
class OwnerCommand:
    """Show the shard and the owner of a key as the given VMs report them."""

    service: str
    key: int
    addresses: Addresses
    json: JsonFlag = False

    def __call__(self) -> int:
        """Print one line for each VM."""
        reports, errors = fetch_reports(self.addresses)
        placements = [
            (
                report.vm,
                report.index,
                find_shard(report, self.service, self.key),
            )
            for report in reports
        ]
        if self.json:
            print_json(placements)
            return _print_errors(errors)
        rows = [
            (vm, str(index), *_describe_shard(shard))
            for vm, index, shard in placements
        ]
        header = ('VM', 'INDEX', 'KEYS', 'OWNER', 'FENCE', 'STATE')
        print_table([header, *rows])
        return _print_errors(errors)


def fetch_reports(
    addresses: Iterable[str],
) -> tuple[list[VmReport], list[str]]:
    """Return the reports of the VMs that answer and the errors of the others.

    :raises CommandError: if no VM answers.
    """
    reports = []
    errors = []
    for address in addresses:
        try:
            reports.append(_fetch(address))
        except (OSError, HTTPClientError, msgspec.DecodeError) as error:
            errors.append(f'{address}: {error}')
    if not reports:
        raise CommandError('\n'.join(errors), EXIT_UNREACHABLE)
    return reports, errors


def find_shard(report: VmReport, service: str, key: int) -> ShardEntry:
    """Return the shard of a key.

    :raises CommandError: if the report has no such shard.
    """
    for shard in report.shards:
        if shard.service == service and shard.first <= key <= shard.last:
            return shard
    raise CommandError(
        f'{report.vm}: service {service} has no shard with key {key}',
        EXIT_INVALID,
    )


def list_differing_items(reports: list[VmReport]) -> list[tuple[str, ...]]:
    """Return the items whose versions in force differ between VMs.

    Each row has the collection, the name and the versions in the order of the
    reports; ``-`` stands for an item that a VM does not have.
    """
    vm_versions = [
        {
            (item.collection, item.name): str(item.version)
            for item in report.items
        }
        for report in reports
    ]
    rows = []
    for collection, name in sorted(set().union(*vm_versions)):
        versions = [
            item_versions.get((collection, name), '-')
            for item_versions in vm_versions
        ]
        if len(set(versions)) > 1:
            rows.append((collection, name, *versions))
    return rows


def _fetch(address: str) -> VmReport:
    response = HTTPClient().fetch(
        f'http://{address}/state',
        request_timeout=_TIMEOUT_S,
    )
    return decode_report(response.body)


def _print_vms(reports: list[VmReport]) -> None:
    rows = [
        (
            report.vm,
            report.role,
            report.duty,
            str(report.term or '-'),
            str(report.index),
            report.leader or '-',
            ' '.join(report.voters),
        )
        for report in reports
    ]
    header = ('VM', 'ROLE', 'DUTY', 'TERM', 'INDEX', 'LEADER', 'VOTERS')
    print_table([header, *rows])


def _print_upstreams(report: VmReport) -> None:
    rows = [
        (
            entry.upstream,
            entry.service,
            entry.address,
            entry.failure_domain,
            str(entry.shards),
            _describe_upstream(entry, report.evacuated),
        )
        for entry in report.upstreams
    ]
    header = ('UPSTREAM', 'SERVICE', 'ADDRESS', 'DOMAIN', 'SHARDS', 'STATE')
    sys.stdout.write('\n')
    print_table([header, *rows])


def _describe_upstream(entry: UpstreamEntry, evacuated: tuple[str, ...]) -> str:
    states = {
        'draining': entry.is_draining,
        'cold': entry.is_cold,
        'evacuated': entry.failure_domain in evacuated,
    }
    return ' '.join(state for state, is_set in states.items() if is_set)


def _print_items(reports: list[VmReport]) -> None:
    differing = list_differing_items(reports)
    sys.stdout.write('\n')
    if not differing:
        count = len(reports[0].items)
        sys.stdout.write(f'{count} items, the same versions on each VM\n')
        return
    vms = tuple(report.vm for report in reports)
    print_table([('ITEM', 'NAME', *vms), *differing])


def _describe_shard(shard: ShardEntry) -> tuple[str, ...]:
    return (
        f'{shard.first}-{shard.last}',
        shard.owner or '-',
        str(shard.fence),
        'releasing' if shard.is_releasing else '',
    )


def _print_errors(errors: list[str]) -> int:
    """Print the errors and return the exit code."""
    for error in errors:
        sys.stderr.write(f'{error}\n')
    return EXIT_UNREACHABLE if errors else 0
