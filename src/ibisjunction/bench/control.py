"""Measures the control log of real daemons over the administration API."""

import asyncio
import itertools
import json
import statistics
import time
from dataclasses import dataclass
from http import HTTPStatus
from typing import IO, Any, Final

from tornado.httpclient import AsyncHTTPClient

from ibisjunction.bench.client import call, call_admin, decode_body, make_client
from ibisjunction.bench.deployment import (
    UPSTREAM_TOKEN,
    Deployment,
    run_deployment,
)
from ibisjunction.control.machine import decode_machine
from ibisjunction.control.storage import open_log

_WORKERS: Final = 16
_CONCURRENT_COMMITS: Final = 1500
_SEQUENTIAL_COMMITS: Final = 200
_RESTART_COMMITS: Final = (200, 20_000)
_FAILOVERS: Final = 4
_POLL_INTERVAL_S: Final = 0.02
_MAX_POLLS: Final = 1500
_VOTERS: Final = 5
_MS_PER_S: Final = 1000
_MEDIAN_PERCENT: Final = 50
_TAIL_PERCENT: Final = 99


@dataclass(slots=True)
class _Announcer:
    """Commits commands by announcing upstreams with new incarnations."""

    client: AsyncHTTPClient
    address: str
    incarnations: 'itertools.count[int]'

    async def announce(self, name: str) -> float:
        """Commit one command and return the time it took in ms."""
        body = {
            'upstream': name,
            'service': 'none',
            'address': '127.0.0.1:1',
            'failure_domain': 'fd-1',
            'slots': 1,
            'connections': 1,
            'checks_fence': True,
            'incarnation': next(self.incarnations),
        }
        started = time.perf_counter()
        answer = await call(
            self.client,
            'POST',
            f'http://{self.address}/v1/upstreams',
            json.dumps(body).encode(),
            {'Authorization': f'Bearer {UPSTREAM_TOKEN}'},
        )
        if answer.status != HTTPStatus.NO_CONTENT:
            raise RuntimeError(f'not committed: {answer}')
        return (time.perf_counter() - started) * _MS_PER_S

    async def announce_many(self, count: int) -> float:
        """Commit commands concurrently and return commits per second."""
        started = time.perf_counter()
        await asyncio.gather(
            *(
                self._announce_repeatedly(f'up-{worker}', count // _WORKERS)
                for worker in range(_WORKERS)
            ),
        )
        return count / (time.perf_counter() - started)

    async def _announce_repeatedly(self, name: str, count: int) -> None:
        for _ in range(count):
            await self.announce(name)


def measure_control(output: IO[str]) -> int:
    """Print rates, latencies, restart times and failover times."""
    for voters in (1, _VOTERS):
        with run_deployment(voters) as deployment:
            asyncio.run(_measure_commits(deployment, output))
    for commits in _RESTART_COMMITS:
        with run_deployment(1) as deployment:
            asyncio.run(_measure_restart(deployment, commits, output))
    with run_deployment(_VOTERS) as deployment:
        asyncio.run(_measure_failover(deployment, output))
    return 0


async def _measure_commits(deployment: Deployment, output: IO[str]) -> None:
    announcer = await _make_announcer(deployment)
    latencies_ms = [
        await announcer.announce('up-0') for _ in range(_SEQUENTIAL_COMMITS)
    ]
    rate = await announcer.announce_many(_CONCURRENT_COMMITS)
    output.write(
        f'voters={len(deployment.vms)} commits/s={rate:.0f}'
        f' latency p50={_percentile(latencies_ms, _MEDIAN_PERCENT):.1f} ms'
        f' p99={_percentile(latencies_ms, _TAIL_PERCENT):.1f} ms\n',
    )


async def _measure_restart(
    deployment: Deployment,
    commits: int,
    output: IO[str],
) -> None:
    announcer = await _make_announcer(deployment)
    await announcer.announce_many(commits)
    vm = deployment.vms[0].vm
    deployment.kill(vm)
    started = time.perf_counter()
    with open_log(deployment.data_folder(vm)) as log:
        stored = log.load()
        decode_machine(stored.snapshot.machine)
    read_ms = (time.perf_counter() - started) * _MS_PER_S
    started = time.perf_counter()
    deployment.start_vm(vm)
    await _make_announcer(deployment)
    ready_ms = (time.perf_counter() - started) * _MS_PER_S
    output.write(
        f'restart after {commits} commands: files read in {read_ms:.1f} ms'
        f' ({len(stored.entries)} entries), ready in {ready_ms:.0f} ms\n',
    )


async def _measure_failover(deployment: Deployment, output: IO[str]) -> None:
    announcer = await _make_announcer(deployment)
    failovers_ms = []
    for _ in range(_FAILOVERS):
        leader = await _find_leader(deployment, announcer.client)
        follower = next(vm for vm in deployment.vms if vm.vm != leader)
        announcer.address = follower.admin
        await announcer.announce('up-0')
        deployment.kill(leader)
        failovers_ms.append(await announcer.announce('up-0'))
        deployment.start_vm(leader)
    formatted_times = ' '.join(
        f'{failover_ms:.0f}' for failover_ms in sorted(failovers_ms)
    )
    output.write(
        f'leader killed to next accepted command: {formatted_times} ms\n'
    )


async def _make_announcer(deployment: Deployment) -> _Announcer:
    client = make_client()
    leader = await _find_leader(deployment, client)
    address = next(vm.admin for vm in deployment.vms if vm.vm == leader)
    return _Announcer(client, address, itertools.count(time.time_ns()))


async def _find_leader(deployment: Deployment, client: AsyncHTTPClient) -> str:
    """Wait until all VMs are ready and report the same leader."""
    for _ in range(_MAX_POLLS):
        answers = [
            await call_admin(client, 'GET', vm.admin, '/v1/status')
            for vm in deployment.vms
        ]
        if all(answer.status == HTTPStatus.OK for answer in answers):
            leaders = {
                _read_leader_if_ready(decode_body(answer)) for answer in answers
            }
            leader = leaders.pop()
            if leader is not None and not leaders:
                return leader
        await asyncio.sleep(_POLL_INTERVAL_S)
    raise RuntimeError('the VMs did not agree on a leader in time')


def _read_leader_if_ready(status: Any) -> str | None:
    leader: str | None = status['leader']
    return leader if status['ready'] else None


def _percentile(samples: list[float], percent: int) -> float:
    return statistics.quantiles(samples, n=100)[percent - 1]
