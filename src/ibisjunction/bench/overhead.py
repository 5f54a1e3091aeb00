"""Measures the overhead of the system against direct calls, in one run."""

import asyncio
import time
from collections.abc import Iterator
from dataclasses import dataclass
from typing import IO, Final

from hdrh.histogram import HdrHistogram

from ibisjunction.bench.client import call_admin, decode_body, make_client
from ibisjunction.bench.demo import (
    publish,
    start_upstreams,
    wait_for_upstreams,
)
from ibisjunction.bench.deployment import Deployment, run_deployment
from ibisjunction.clock import SystemClock
from ibisjunction.mailbox import Mailbox
from ibisjunction.settings import Address
from ibisjunction.settings.loader import parse_address
from ibisjunction.upstreams.connection import ConnectionTask
from ibisjunction.upstreams.messages import (
    AnswerEnd,
    AnswerPart,
    BodyEnd,
    BodyPart,
    Exchange,
    ExchangeFailed,
)

_VM_COUNT: Final = 5
_UPSTREAMS: Final = 6
_CALLERS: Final = 4
_MEDIAN_PERCENT: Final = 50
_TAIL_PERCENT: Final = 99
_MAX_US: Final = 60_000_000
_FAR_FUTURE_MS: Final = 1 << 60
_NS_PER_US: Final = 1000


@dataclass(frozen=True, slots=True)
class PathResult:
    """Rate and latency of the direct or the routed path."""

    name: str
    rate_per_s: float
    p50_us: int
    p99_us: int
    failed: int


def measure_overhead(requests: int, output: IO[str]) -> int:
    """Compare calls through the system with direct calls."""
    with run_deployment(_VM_COUNT) as deployment:
        start_upstreams(deployment, 'consorcio')
        results = asyncio.run(_measure_paths(deployment, requests))
    for result in results:
        output.write(
            f'{result.name}: {result.rate_per_s:.0f} requests/s,'
            f' p50 {result.p50_us} us, p99 {result.p99_us} us,'
            f' {result.failed} failed\n',
        )
    return 1 if any(result.failed for result in results) else 0


async def _measure_paths(
    deployment: Deployment, requests: int
) -> list[PathResult]:
    client = make_client()
    await wait_for_upstreams(deployment, client, _UPSTREAMS, 0)
    await publish(deployment, client, 'consorcio')
    await wait_for_upstreams(deployment, client, _UPSTREAMS, _UPSTREAMS)
    status = decode_body(
        await call_admin(client, 'GET', deployment.vms[0].admin, '/v1/status'),
    )
    direct_addresses = [
        parse_address(entry['address'])
        for entry in status['upstreams']
        if entry['service'] == 'mail-log'
    ]
    routed_addresses = [parse_address(vm.http) for vm in deployment.vms]
    return [
        await _measure_path('direct', direct_addresses, requests),
        await _measure_path('routed', routed_addresses, requests),
    ]


async def _measure_path(
    name: str,
    addresses: list[Address],
    requests: int,
) -> PathResult:
    histogram = HdrHistogram(1, _MAX_US, 3)
    request_numbers = iter(range(requests))
    started_s = time.perf_counter()
    failures = await asyncio.gather(
        *(
            _run_caller(
                addresses[caller % len(addresses)], request_numbers, histogram
            )
            for caller in range(_CALLERS)
        ),
    )
    elapsed_s = time.perf_counter() - started_s
    return PathResult(
        name,
        requests / elapsed_s,
        histogram.get_value_at_percentile(_MEDIAN_PERCENT),
        histogram.get_value_at_percentile(_TAIL_PERCENT),
        sum(failures),
    )


async def _run_caller(
    address: Address,
    request_numbers: Iterator[int],
    histogram: HdrHistogram,
) -> int:
    connection = ConnectionTask(address, SystemClock())
    task = asyncio.create_task(connection.run())
    failed = 0
    for number in request_numbers:
        started_ns = time.perf_counter_ns()
        is_complete = await _call_once(connection, f'/mail-log/key-{number}')
        elapsed_us = (time.perf_counter_ns() - started_ns) // _NS_PER_US
        histogram.record_value(elapsed_us)
        failed += not is_complete
    connection.stop()
    await task
    return failed


async def _call_once(connection: ConnectionTask, target: str) -> bool:
    body: Mailbox[BodyPart] = Mailbox()
    answer_parts: Mailbox[AnswerPart] = Mailbox()
    body.post(BodyEnd())
    connection.mailbox.post(
        Exchange(
            None,
            'GET',
            target,
            (('Host', 'x'),),
            _FAR_FUTURE_MS,
            body,
            answer_parts,
        ),
    )
    while True:
        match await answer_parts.get():
            case AnswerEnd():
                return True
            case ExchangeFailed():
                return False
