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

_RECORD_COUNTS: Final = (2000, 8000, 32_000)
_REPEATS: Final = 200
_NOW_MS: Final = 1_000_000_000


def measure_records() -> list[Fit]:
    """Return memory of records, and processor time to find one, by number."""
    memory_kib = {}
    reserve_us = {}
    for count in _RECORD_COUNTS:
        memory_kib[count] = measure_kib(partial(_build_table, count))
        table = _build_table(count)
        # The table has this record already, so that reserving it finds it.
        work = partial(table.reserve, _make_reservation(0), _NOW_MS)
        reserve_us[count] = measure_cpu_us(work, _REPEATS)
    return [
        fit_line('request record', 'KiB', 'record', memory_kib),
        fit_line('finding a request record', 'us', 'record', reserve_us),
    ]


def _build_table(count: int) -> RecordTable:
    table = RecordTable()
    for number in range(count):
        table.reserve(_make_reservation(number), _NOW_MS)
    return table


def _make_reservation(number: int) -> ReserveRecord:
    """Return a reservation with strings of its own, as a decoded one has."""
    return ReserveRecord(
        request_id=f'0123456789abcdef{number:016}',
        key=f'client-{number:030}',
        digest=f'0123456789abcdef{number:016}',
        holders=(),
    )
