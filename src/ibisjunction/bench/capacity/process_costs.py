"""Costs of running daemons, read from the operating system."""

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass
from operator import attrgetter
from typing import Final

import psutil
from tornado.httpclient import AsyncHTTPClient

from ibisjunction.bench.caller import Call, CallerConnection, Reply, connect
from ibisjunction.bench.capacity.fit import Fit, fit_line
from ibisjunction.bench.client import call_admin, decode_body, make_client
from ibisjunction.bench.demo import publish, wait_for_upstreams
from ibisjunction.bench.deployment import Deployment, run_deployment
from ibisjunction.settings.loader import parse_address

_US_PER_S: Final = 1_000_000
_MIB: Final = 1024**2
_IDLE_WINDOW_S: Final = 2.0
_IDLE_WINDOWS: Final = 3
_SETTLE_S: Final = 2.0
_VM_COUNTS: Final = (3, 6, 9)
_VMS: Final = 5
_REQUEST_COUNTS: Final = (300, 1200)
_DOWNLOADS: Final = 8
_DOWNLOAD_MIB: Final = (1, 8)
_CONCURRENCY: Final = 4
_SMALL_ANSWER_BYTES: Final = 128
_WARM_UP_REQUESTS: Final = 100
_READS: Final = 'read'
_WRITES: Final = 'write'
_SERVICES: Final = ('mail-log', 'contracts', 'documents')


class DeploymentError(Exception):
    """The deployment under measurement was not ready in time."""


@dataclass(frozen=True, slots=True)
class Usage:
    """Processor time and resident memory of one process.

    ``cpu_us`` counts from the start of the process, or is that of one second in
    the usage of a window.
    """

    cpu_us: float
    memory_mib: float


def read_usage(deployment: Deployment, name: str) -> Usage:
    """Return the usage of a process of a deployment."""
    process = psutil.Process(deployment.processes[name].pid)
    times = process.cpu_times()
    return Usage(
        (times.user + times.system) * _US_PER_S,
        process.memory_info().rss / _MIB,
    )


def measure_idle() -> list[Fit]:
    """Return the cost of idle daemons by the number of VMs."""
    leader_us: dict[int, float] = {}
    idlest_us: dict[int, float] = {}
    memory_mib: dict[int, float] = {}
    for count in _VM_COUNTS:
        with run_deployment(count) as deployment:
            usages = asyncio.run(_measure_idle(deployment))
        sorted_usages = sorted(usages.values(), key=attrgetter('cpu_us'))
        # The leader uses the most processor time.
        leader_us[count] = sorted_usages[-1].cpu_us
        idlest_us[count] = sorted_usages[0].cpu_us
        memory_mib[count] = sorted_usages[-1].memory_mib
    return [
        fit_line('idle leader, per second', 'us', 'VM', leader_us),
        fit_line('idle daemon, per second', 'us', 'VM', idlest_us),
        fit_line('resident memory', 'MiB', 'VM', memory_mib),
    ]


async def _measure_idle(deployment: Deployment) -> dict[str, Usage]:
    """Return processor time per second and memory of each daemon.

    Takes the minimum of several windows: on a busy machine, links are redialled
    and leases expire, which is not work of an idle daemon.
    """
    client = make_client()
    if not await wait_for_upstreams(deployment, client, 0, 0):
        raise DeploymentError('the VMs hold no lease')
    await asyncio.sleep(_SETTLE_S)
    windows = [await _measure_window(deployment) for _ in range(_IDLE_WINDOWS)]
    return {
        vm.vm: min(
            (window[vm.vm] for window in windows),
            key=attrgetter('cpu_us'),
        )
        for vm in deployment.vms
    }


async def _measure_window(deployment: Deployment) -> dict[str, Usage]:
    """Return processor time per second and memory of each daemon."""
    names = [vm.vm for vm in deployment.vms]
    before = {name: read_usage(deployment, name) for name in names}
    await asyncio.sleep(_IDLE_WINDOW_S)
    after = {name: read_usage(deployment, name) for name in names}
    return {
        name: Usage(
            (after[name].cpu_us - before[name].cpu_us) / _IDLE_WINDOW_S,
            after[name].memory_mib,
        )
        for name in names
    }


def measure_requests() -> list[Fit]:
    """Return the processor time of requests at each process on the path."""
    with run_deployment(_VMS) as deployment:
        for service in _SERVICES:
            deployment.start_upstream(
                service,
                f'--service={service}',
                '--slots=16',
                '--service-ms=1',
                f'--answer-bytes={_choose_answer_bytes(service)}',
            )
        return asyncio.run(_measure_requests(deployment))


def _choose_answer_bytes(service: str) -> int:
    return (
        _DOWNLOAD_MIB[-1] * _MIB
        if service == 'documents'
        else _SMALL_ANSWER_BYTES
    )


async def _measure_requests(deployment: Deployment) -> list[Fit]:
    client = make_client()
    await wait_for_upstreams(deployment, client, len(_SERVICES), 0)
    await publish(deployment, client, 'consorcio')
    if not await wait_for_upstreams(
        deployment, client, len(_SERVICES), len(_SERVICES)
    ):
        raise DeploymentError('the upstreams own no shard')
    dispatcher = await _find_dispatcher(deployment, client, 'mail-log')
    accepting_vm = next(
        vm.vm for vm in deployment.vms if vm.vm not in {dispatcher, 'vm-1'}
    )
    remote = await _measure_path(deployment, accepting_vm, dispatcher)
    local = await _measure_path(deployment, dispatcher, dispatcher)
    writes = await _measure_path(deployment, accepting_vm, dispatcher, _WRITES)
    return [
        fit_line(
            'accepting VM, dispatcher elsewhere', 'us', 'request', remote[0]
        ),
        fit_line('dispatcher', 'us', 'request', remote[1]),
        fit_line(
            'accepting VM that is the dispatcher', 'us', 'request', local[0]
        ),
        fit_line(
            'non-idempotent at the accepting VM', 'us', 'request', writes[0]
        ),
        fit_line(
            'download at the accepting VM',
            'us',
            'MiB',
            await _measure_downloads(deployment, accepting_vm),
        ),
    ]


async def _find_dispatcher(
    deployment: Deployment,
    client: AsyncHTTPClient,
    service: str,
) -> str:
    address = deployment.vms[0].admin
    answer = await call_admin(client, 'GET', address, '/v1/status')
    return next(
        str(entry['dispatcher'])
        for entry in decode_body(answer)['upstreams']
        if entry['service'] == service
    )


async def _measure_path(
    deployment: Deployment,
    accepting_vm: str,
    dispatcher: str,
    kind: str = _READS,
) -> tuple[dict[int, float], dict[int, float]]:
    """Return processor time at both VMs by the number of requests."""
    address = next(vm.http for vm in deployment.vms if vm.vm == accepting_vm)
    connections = [
        await connect(parse_address(address)) for _ in range(_CONCURRENCY)
    ]
    await _send_requests(
        connections, _WARM_UP_REQUESTS, f'{kind}-{accepting_vm}'
    )
    at_accepting: dict[int, float] = {}
    at_dispatcher: dict[int, float] = {}
    for count in _REQUEST_COUNTS:
        before = [
            read_usage(deployment, vm) for vm in (accepting_vm, dispatcher)
        ]
        await _send_requests(
            connections, count, f'{kind}-{accepting_vm}-{count}'
        )
        after = [
            read_usage(deployment, vm) for vm in (accepting_vm, dispatcher)
        ]
        at_accepting[count] = after[0].cpu_us - before[0].cpu_us
        at_dispatcher[count] = after[1].cpu_us - before[1].cpu_us
    return at_accepting, at_dispatcher


async def _send_requests(
    connections: list[CallerConnection],
    count: int,
    label: str,
) -> None:
    numbers = iter(range(count))
    await asyncio.gather(
        *(
            _send_on_connection(connection, numbers, label)
            for connection in connections
        ),
    )


async def _send_on_connection(
    connection: CallerConnection,
    numbers: Iterator[int],
    label: str,
) -> None:
    """Send requests until the numbers, shared by connections, run out."""
    for number in numbers:
        await connection.perform(_make_call(number, label), Reply())


def _make_call(number: int, label: str) -> Call:
    """Return a write if the label begins with ``_WRITES``, else a read."""
    if not label.startswith(_WRITES):
        return Call('GET', f'/mail-log/key-{number}/{label}', {})
    return Call(
        'POST',
        f'/contracts/key-{number}/{label}',
        {'Idempotency-Key': f'{label}-{number}'},
        b'content of a form',
    )


async def _measure_downloads(
    deployment: Deployment,
    accepting_vm: str,
) -> dict[int, float]:
    address = next(vm.http for vm in deployment.vms if vm.vm == accepting_vm)
    connection = await connect(parse_address(address))
    points = {}
    for count in (1, _DOWNLOADS):
        before = read_usage(deployment, accepting_vm)
        for number in range(count):
            call = Call('GET', f'/documents/key-{number}/{count}', {})
            await connection.perform(call, Reply())
        after = read_usage(deployment, accepting_vm)
        points[count * _DOWNLOAD_MIB[-1]] = after.cpu_us - before.cpu_us
    return points
