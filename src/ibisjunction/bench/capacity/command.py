"""Measures, projects and writes the tables of the capacity page."""

import datetime
import os
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import IO, Final

import msgspec

from ibisjunction.bench.capacity.costs import Costs, measure_all
from ibisjunction.bench.capacity.fit import Fit
from ibisjunction.bench.capacity.message_costs import MessageCost
from ibisjunction.bench.capacity.projection import Row, project
from ibisjunction.bench.report import format_table

_INTEGERS_FROM: Final = 10_000


def report_capacity(folder: Path, output: IO[str]) -> int:
    """Measure this machine and write ``capacity.json`` and ``capacity.md``."""
    folder.mkdir(parents=True, exist_ok=True)
    costs = measure_all()
    (folder / 'capacity.json').write_bytes(msgspec.json.encode(costs))
    page = folder / 'capacity.md'
    page.write_text('\n'.join(_format_page(costs)))
    output.write(f'{page}\n')
    return 0


def project_again(folder: Path, output: IO[str]) -> int:
    """Write ``capacity.md`` anew from the measurements in ``folder``."""
    encoded = (folder / 'capacity.json').read_bytes()
    costs = msgspec.json.decode(encoded, type=Costs)
    page = folder / 'capacity.md'
    page.write_text('\n'.join(_format_page(costs)))
    output.write(f'{page}\n')
    return 0


def _format_page(costs: Costs) -> Iterator[str]:
    today = datetime.datetime.now(tz=datetime.UTC).date()
    load_average = os.getloadavg()[0]
    yield f'Written {today} at a load average of {load_average:.1f}.'
    yield ''
    yield '### Measured lines'
    yield ''
    yield from format_table(
        ('cost', 'slope', 'base', 'points'),
        map(_format_fit, costs.fits),
    )
    yield '### Measured messages'
    yield ''
    yield from format_table(
        ('message', 'bytes on the wire', 'send us', 'receive us'),
        map(_format_message, costs.messages),
    )
    yield '### Expected size'
    yield ''
    yield from _format_rows(project(costs))


def _format_fit(fit: Fit) -> tuple[str, ...]:
    points = ', '.join(
        f'{count:g}: {amount:.4g}' for count, amount in fit.points
    )
    return (
        fit.name,
        f'{fit.slope:.4g} {fit.unit} per {fit.per}',
        f'{fit.base:.4g} {fit.unit}',
        points,
    )


def _format_message(cost: MessageCost) -> tuple[str, ...]:
    return (
        cost.kind,
        str(cost.wire_bytes),
        f'{cost.send_us:.1f}',
        f'{cost.receive_us:.1f}',
    )


def _format_rows(rows: Iterable[Row]) -> Iterator[str]:
    yield from format_table(
        ('role', 'quantity', 'figure', 'limit', 'met'),
        map(_format_row, rows),
    )


def _format_row(row: Row) -> tuple[str, ...]:
    return (
        row.role,
        row.quantity,
        f'{_format_amount(row.amount)} {row.unit}',
        '' if row.limit is None else f'{row.limit:,.6g} {row.unit}',
        _format_verdict(row),
    )


def _format_amount(amount: float) -> str:
    """Return four significant digits, or a large number as an integer."""
    return f'{amount:,.4g}' if amount < _INTEGERS_FROM else f'{amount:,.0f}'


def _format_verdict(row: Row) -> str:
    if row.limit is None:
        return ''
    return 'yes' if row.is_met else '**no**'
