"""Runs a scenario on one local deployment of daemon processes."""

import asyncio
from collections.abc import Iterable
from dataclasses import replace
from pathlib import Path
from typing import Any, Final

import msgspec
from tornado.httpclient import AsyncHTTPClient

from ibisjunction.bench.action_runner import ActionRunner
from ibisjunction.bench.arrivals import plan_arrivals
from ibisjunction.bench.balancer import Balancer
from ibisjunction.bench.client import call_admin, make_client
from ibisjunction.bench.demo import read_profile, wait_for_upstreams
from ibisjunction.bench.deployment import Deployment, run_deployment_in
from ibisjunction.bench.experiment_records import ExperimentRecords
from ibisjunction.bench.load import LoadContext, run_balancer, run_load
from ibisjunction.bench.publishing import Publisher
from ibisjunction.bench.request_records import RequestRecord, write_requests
from ibisjunction.bench.run_records import (
    DrainStarted,
    join_runs,
    read_events,
)
from ibisjunction.bench.scenario import FleetSpec, Scenario
from ibisjunction.bench.workload import WORKLOADS, CallBuilder, Workload
from ibisjunction.clock import SystemClock, in_seconds

#: Upstreams of one service differ in speed by up to this factor.
_SPEED_RANGE: Final = 3.0
#: Every third upstream runs requests without checking their fence.
_NO_FENCE_CHECK_EVERY: Final = 3
#: Time after the last answer in which late runs are still recorded.
_SETTLE_MS: Final = 1000


class StartError(Exception):
    """The deployment did not become ready in time."""


def run_experiment(
    scenario: Scenario,
    profile: str,
    seed: int,
    folder: Path,
) -> ExperimentRecords:
    """Run one scenario on one deployment and return its records.

    The records and the logs of all processes are written to ``folder``.

    :raises StartError: if the deployment does not become ready.
    """
    folder.mkdir(parents=True, exist_ok=False)
    workload = WORKLOADS[profile]
    with run_deployment_in(folder, scenario.fleet.vms) as deployment:
        process_names = start_fleet(deployment, workload, scenario.fleet, seed)
        records = asyncio.run(
            _run_on_deployment(
                scenario, workload, seed, deployment, process_names
            ),
        )
    events = read_events(
        folder / f'{name}.jsonl' for name in process_names.values()
    )
    records = replace(
        records,
        runs=tuple(join_runs(events)),
        drains=tuple(
            event for event in events if isinstance(event, DrainStarted)
        ),
    )
    _write_records(folder, records)
    return records


def start_fleet(
    deployment: Deployment,
    workload: Workload,
    fleet: FleetSpec,
    seed: int,
) -> dict[str, str]:
    """Start the upstreams and map scenario names to process names."""
    process_names = {}
    upstream_count = 0
    for kind, count in fleet.upstreams.items():
        service = workload.services[kind]
        builder = CallBuilder(workload, {}, fleet.download_bytes, seed)
        for number in range(1, count + 1):
            upstream_count += 1
            slowness = 1 + (_SPEED_RANGE - 1) * (number - 1) / count
            arguments = [
                f'--service={service}',
                f'--slots={workload.slots}',
                f'--service-ms={fleet.service_ms * slowness}',
                f'--spread={fleet.spread}',
                f'--cold-factor={fleet.cold_factor}',
                f'--cold-ms={fleet.cold_ms}',
                f'--seed={seed + upstream_count}',
                f'--answer-bytes={builder.answer_bytes(kind)}',
                f'--failure-domain=fd-{upstream_count % 4 + 1}',
            ]
            if fleet.crash_prefix:
                arguments.append(
                    f'--crash-on=/{service}/{fleet.crash_prefix}',
                )
            if upstream_count % _NO_FENCE_CHECK_EVERY == 0:
                arguments.append('--skip-fence-check')
            name = f'{service}-{number}'
            deployment.start_upstream(name, *arguments)
            process_names[f'{kind.value}-{number}'] = name
    return process_names


async def _run_on_deployment(
    scenario: Scenario,
    workload: Workload,
    seed: int,
    deployment: Deployment,
    process_names: dict[str, str],
) -> ExperimentRecords:
    clock = SystemClock()
    client = make_client()
    files = read_profile(workload.profile)
    publisher = Publisher(deployment, clock, client, files)
    runner = ActionRunner(deployment, clock, client, publisher, process_names)
    await _wait_for_upstreams(deployment, client, len(process_names), 0)
    await publisher.publish_first()
    await _wait_for_upstreams(
        deployment, client, len(process_names), len(process_names)
    )
    requests = await _run_load_and_actions(
        scenario, workload, seed, runner, files
    )
    await asyncio.sleep(in_seconds(_SETTLE_MS))
    return ExperimentRecords(
        requests=tuple(requests),
        actions=tuple(runner.records),
        publications=tuple(publisher.publications),
        in_force=tuple(publisher.in_force),
    )


async def _wait_for_upstreams(
    deployment: Deployment,
    client: AsyncHTTPClient,
    upstreams: int,
    owners: int,
) -> None:
    """Wait until all VMs report this many upstreams and shard owners.

    :raises StartError: on timeout, with the status of each VM.
    """
    if await wait_for_upstreams(deployment, client, upstreams, owners):
        return
    lines = [f'expected {upstreams} upstreams, {owners} of them with shards']
    for vm in deployment.vms:
        answer = await call_admin(client, 'GET', vm.admin, '/v1/status')
        lines.append(f'{vm.vm}: {answer.status} {answer.body.decode()}')
    raise StartError('\n'.join(lines))


async def _run_load_and_actions(
    scenario: Scenario,
    workload: Workload,
    seed: int,
    runner: ActionRunner,
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
    balancer = Balancer(runner.deployment.vms)
    async with run_balancer(balancer):
        await balancer.wait_until_ready()
        context = LoadContext(runner.clock, balancer, builder)
        action_task = asyncio.create_task(runner.run(scenario.actions))
        requests = await run_load(context, arrivals)
        await action_task
    return requests


def _write_records(folder: Path, records: ExperimentRecords) -> None:
    write_requests(folder / 'requests.jsonl', records.requests)
    _write_lines(folder / 'actions.jsonl', records.actions)
    _write_lines(folder / 'publications.jsonl', records.publications)
    _write_lines(folder / 'in_force.jsonl', records.in_force)


def _write_lines(path: Path, records: Iterable[Any]) -> None:
    path.write_bytes(msgspec.json.Encoder().encode_lines(list(records)))
