"""Memory and processor time of request records."""

from functools import partial
from typing import Final

from ibisjunction.bench.capacity.fit import (
    Fit,
    fit_line,
    measure_cpu_us,
    measure_kib,
)
from ibisjunction.ledger.messages import ReserveRecord
from ibisjunction.ledger.records import RecordTable

_COUNTS: Final = (2000, 8000, 32_000)
_REPEATS: Final = 200
_NOW_MS: Final = 1_000_000_000


def measure_records() -> list[Fit]:
    """Return what records of a holder take against their number."""
    memory = {}
    reserving = {}
    for count in _COUNTS:
        memory[count] = measure_kib(partial(_build_table, count))
        table = _build_table(count)
        work = partial(table.reserve, _ask(0), _NOW_MS)
        reserving[count] = measure_cpu_us(work, _REPEATS)
    return [
        fit_line('request record', 'KiB', 'record', memory),
        fit_line('finding a request record', 'us', 'record', reserving),
    ]


def _build_table(count: int) -> RecordTable:
    table = RecordTable()
    for number in range(count):
        table.reserve(_ask(number), _NOW_MS)
    return table


def _ask(number: int) -> ReserveRecord:
    """Return a reservation with texts of its own, as if it was decoded."""
    return ReserveRecord(
        request_id=f'0123456789abcdef{number:016}',
        key=f'client-{number:030}',
        digest=f'0123456789abcdef{number:016}',
        holders=(),
    )
