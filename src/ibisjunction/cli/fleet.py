"""Commands that show what entry and control VMs know of the fleet."""

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
    Json,
    print_answer,
)
from ibisjunction.cli.inspection import print_table
from ibisjunction.fleet.report import ShardEntry, VmReport, decode_report

_TIMEOUT_S: Final = 5.0

Addresses = Annotated[
    list[str],
    cappa.Arg(help='Metrics addresses of VMs, host:port.'),
]


@cappa.command(name='fleet')
@dataclass
class FleetStateCommand:
    """Show VMs, voters, upstreams and items as each VM knows them."""

    addresses: Addresses
    json: Json = False

    def __call__(self) -> int:
        """Print the reports of all VMs that answer."""
        reports, faults = fetch_reports(self.addresses)
        if self.json:
            print_answer(reports)
        else:
            _print_vms(reports)
            newest = max(reports, key=lambda one: one.index)
            _print_upstreams(newest)
            _print_items(reports)
        return _finish(faults)


@cappa.command(name='owner')
@dataclass
class OwnerCommand:
    """Show the shard and the owner of a key as each VM knows them."""

    service: str
    key: int
    addresses: Addresses
    json: Json = False

    def __call__(self) -> int:
        """Print one line for each VM."""
        reports, faults = fetch_reports(self.addresses)
        found = [
            (
                report.vm,
                report.index,
                find_shard(report, self.service, self.key),
            )
            for report in reports
        ]
        if self.json:
            print_answer(found)
            return _finish(faults)
        rows = [
            (vm, str(index), *_describe_shard(shard))
            for vm, index, shard in found
        ]
        header = ('VM', 'INDEX', 'KEYS', 'OWNER', 'FENCE', 'STATE')
        print_table([header, *rows])
        return _finish(faults)


def fetch_reports(
    addresses: Iterable[str],
) -> tuple[list[VmReport], list[str]]:
    """Return the reports of the VMs that answer, and why others do not.

    :raises CommandError: if none answers.
    """
    reports = []
    faults = []
    for address in addresses:
        try:
            reports.append(_fetch(address))
        except (OSError, HTTPClientError, msgspec.DecodeError) as error:
            faults.append(f'{address}: {error}')
    if not reports:
        raise CommandError('\n'.join(faults), EXIT_UNREACHABLE)
    return reports, faults


def find_shard(report: VmReport, service: str, key: int) -> ShardEntry:
    """Return the shard of a key.

    :raises CommandError: if the VM knows none.
    """
    for shard in report.shards:
        if shard.service == service and shard.first <= key <= shard.last:
            return shard
    raise CommandError(
        f'{report.vm}: service {service} has no shard with key {key}',
        EXIT_INVALID,
    )


def list_differing(reports: list[VmReport]) -> list[tuple[str, ...]]:
    """Return items of which VMs have different versions in force.

    Each row has the collection, the name and the versions in the order of the
    reports; ``-`` stands for an item that a VM does not have.
    """
    held = [
        {(one.collection, one.name): str(one.version) for one in report.items}
        for report in reports
    ]
    rows = []
    for collection, name in sorted(set().union(*held)):
        versions = [items.get((collection, name), '-') for items in held]
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
            one.upstream,
            one.service,
            one.address,
            one.failure_domain,
            str(one.shards),
            'draining' if one.is_draining else '',
        )
        for one in report.upstreams
    ]
    header = ('UPSTREAM', 'SERVICE', 'ADDRESS', 'DOMAIN', 'SHARDS', 'STATE')
    sys.stdout.write('\n')
    print_table([header, *rows])


def _print_items(reports: list[VmReport]) -> None:
    differing = list_differing(reports)
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


def _finish(faults: list[str]) -> int:
    for fault in faults:
        sys.stderr.write(f'{fault}\n')
    return EXIT_UNREACHABLE if faults else 0
