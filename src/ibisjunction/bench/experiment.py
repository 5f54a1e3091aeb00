"""Runs a scenario on one deployment of shipped daemons."""

import asyncio
from collections.abc import Iterable
from dataclasses import replace
from pathlib import Path
from typing import Any, Final

import msgspec
from tornado.httpclient import AsyncHTTPClient

from ibisjunction.bench.arrivals import plan_arrivals
from ibisjunction.bench.balancer import Balancer
from ibisjunction.bench.client import call_admin, make_client
from ibisjunction.bench.demo import read_profile, wait_for_upstreams
from ibisjunction.bench.deployment import Deployment, run_deployment_in
from ibisjunction.bench.evidence import Evidence
from ibisjunction.bench.load import LoadContext, run_balancer, run_load
from ibisjunction.bench.perform import Performer
from ibisjunction.bench.publishing import Publisher
from ibisjunction.bench.request_records import RequestRecord, write_requests
from ibisjunction.bench.run_records import (
    DrainStarted,
    join_runs,
    read_events,
)
from ibisjunction.bench.scenario import Fleet, Scenario
from ibisjunction.bench.workload import WORKLOADS, CallBuilder, Workload
from ibisjunction.clock import SystemClock, in_seconds

#: Upstreams of one service differ in speed by up to this factor.
_SPEED_RANGE: Final = 3.0
#: Every third upstream checks no fences.
_FENCELESS_EVERY: Final = 3
#: Time after the last answer for late runs to show.
_SETTLE_MS: Final = 1000


class StartError(Exception):
    """The deployment was not ready in time."""


def run_experiment(
    scenario: Scenario,
    profile: str,
    seed: int,
    folder: Path,
) -> Evidence:
    """Run one scenario on one deployment and return its records.

    The records and the logs of all processes stay in ``folder``.

    :raises StartError: if the deployment does not become ready.
    """
    folder.mkdir(parents=True, exist_ok=False)
    workload = WORKLOADS[profile]
    with run_deployment_in(folder, scenario.fleet.vms) as deployment:
        names = start_fleet(deployment, workload, scenario.fleet, seed)
        evidence = asyncio.run(
            _run(scenario, workload, seed, deployment, names),
        )
    events = read_events(folder / f'{name}.jsonl' for name in names.values())
    evidence = replace(
        evidence,
        runs=tuple(join_runs(events)),
        drains=tuple(
            event for event in events if isinstance(event, DrainStarted)
        ),
    )
    _write_evidence(folder, evidence)
    return evidence


def start_fleet(
    deployment: Deployment,
    workload: Workload,
    fleet: Fleet,
    seed: int,
) -> dict[str, str]:
    """Start the upstreams; return their names by their names in scenarios."""
    names = {}
    total = 0
    for kind, count in fleet.upstreams.items():
        service = workload.services[kind]
        length = CallBuilder(workload, {}, fleet.download_bytes, seed)
        for number in range(1, count + 1):
            total += 1
            slowness = 1 + (_SPEED_RANGE - 1) * (number - 1) / count
            arguments = [
                f'--service={service}',
                f'--slots={workload.slots}',
                f'--service-ms={fleet.service_ms * slowness}',
                f'--spread={fleet.spread}',
                f'--cold-factor={fleet.cold_factor}',
                f'--cold-ms={fleet.cold_ms}',
                f'--seed={seed + total}',
                f'--answer-bytes={length.answer_bytes(kind)}',
                f'--failure-domain=fd-{total % 4 + 1}',
            ]
            if fleet.crash_prefix:
                arguments.append(
                    f'--crash-on=/{service}/{fleet.crash_prefix}',
                )
            if total % _FENCELESS_EVERY == 0:
                arguments.append('--skip-fence-check')
            name = f'{service}-{number}'
            deployment.start_upstream(name, *arguments)
            names[f'{kind.value}-{number}'] = name
    return names


async def _run(
    scenario: Scenario,
    workload: Workload,
    seed: int,
    deployment: Deployment,
    names: dict[str, str],
) -> Evidence:
    clock = SystemClock()
    client = make_client()
    files = read_profile(workload.profile)
    publisher = Publisher(deployment, clock, client, files)
    performer = Performer(deployment, clock, client, publisher, names)
    await _wait_for(deployment, client, len(names), 0)
    await publisher.publish_first()
    await _wait_for(deployment, client, len(names), len(names))
    requests = await _load(scenario, workload, seed, performer, files)
    await asyncio.sleep(in_seconds(_SETTLE_MS))
    return Evidence(
        requests=tuple(requests),
        actions=tuple(performer.records),
        publications=tuple(publisher.publications),
        in_force=tuple(publisher.in_force),
    )


async def _wait_for(
    deployment: Deployment,
    client: AsyncHTTPClient,
    upstreams: int,
    owners: int,
) -> None:
    """Wait until all VMs see this many upstreams and owners.

    :raises StartError: with what each VM reports instead.
    """
    if await wait_for_upstreams(deployment, client, upstreams, owners):
        return
    lines = [f'expected {upstreams} upstreams, {owners} of them with shards']
    for vm in deployment.vms:
        answer = await call_admin(client, 'GET', vm.admin, '/v1/status')
        lines.append(f'{vm.vm}: {answer.status} {answer.body.decode()}')
    raise StartError('\n'.join(lines))


async def _load(
    scenario: Scenario,
    workload: Workload,
    seed: int,
    performer: Performer,
    files: dict[str, str],
) -> list[RequestRecord]:
    builder = CallBuilder(
        workload,
        files,
        scenario.fleet.download_bytes,
        seed,
    )
    arrivals = plan_arrivals(
        scenario.phases,
        scenario.keys,
        workload.clients,
        seed,
    )
    balancer = Balancer(performer.deployment.vms)
    async with run_balancer(balancer):
        await balancer.wait_until_ready()
        context = LoadContext(performer.clock, balancer, builder)
        acting = asyncio.create_task(performer.run(scenario.actions))
        requests = await run_load(context, arrivals)
        await acting
    return requests


def _write_evidence(folder: Path, evidence: Evidence) -> None:
    write_requests(folder / 'requests.jsonl', evidence.requests)
    _write_lines(folder / 'actions.jsonl', evidence.actions)
    _write_lines(folder / 'publications.jsonl', evidence.publications)
    _write_lines(folder / 'in_force.jsonl', evidence.in_force)


def _write_lines(path: Path, records: Iterable[Any]) -> None:
    path.write_bytes(msgspec.json.Encoder().encode_lines(list(records)))
