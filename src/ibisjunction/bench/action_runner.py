"""Runs the actions of a scenario on a deployment."""

import asyncio
import signal
from collections.abc import Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Final

from tornado.httpclient import AsyncHTTPClient

from ibisjunction.bench.actions import (
    Action,
    Kill,
    Pause,
    PublishRace,
    Restart,
    Resume,
    RollingRestart,
    SwitchFault,
    TimedAction,
)
from ibisjunction.bench.client import call, call_admin, decode_body
from ibisjunction.bench.deployment import Deployment
from ibisjunction.bench.experiment_records import ActionRecord
from ibisjunction.bench.faults import FAULT_CODEC, Fault
from ibisjunction.bench.publishing import Publisher
from ibisjunction.clock import Clock, in_seconds

_READY_POLL_MS: Final = 100
_READY_ATTEMPTS: Final = 200


@dataclass(slots=True)
class ActionRunner:
    """Runs actions and records them.

    ``process_names`` maps the names of upstreams in the scenario to process
    names; VMs have the same name in both.
    """

    deployment: Deployment
    clock: Clock
    client: AsyncHTTPClient
    publisher: Publisher
    process_names: Mapping[str, str]
    records: list[ActionRecord] = field(default_factory=list)

    async def run(self, actions: tuple[TimedAction, ...]) -> None:
        """Start each action at its time, even if earlier ones still run."""
        started_ms = self.clock.now()
        async with asyncio.TaskGroup() as group:
            for timed in actions:
                delay_ms = started_ms + timed.at_ms - self.clock.now()
                await asyncio.sleep(in_seconds(max(0, delay_ms)))
                group.create_task(self._run_timed_action(timed))

    async def _run_timed_action(self, timed: TimedAction) -> None:
        target = await self._resolve_target(timed.target)
        match timed.action:
            case RollingRestart():
                for vm in self.deployment.vms:
                    await self._run_process_action(vm.vm, Restart())
                    await self._wait_until_ready(vm.admin)
            case PublishRace():
                await self.publisher.publish_concurrently()
            case action:
                await self._run_process_action(target, action)

    async def _run_process_action(self, target: str, action: Action) -> None:
        started_ms = self.clock.now()
        exit_code = None
        name = _name_action(action)
        match action:
            case Restart() if not self.deployment.is_running(target):
                self.deployment.start_again(target)
                # Nothing was shut down, so check_shutdowns must not match.
                name = 'Start'
            case Kill():
                self.deployment.signal(target, signal.SIGKILL)
                exit_code = await self.deployment.wait_for_exit(target)
            case Pause():
                self.deployment.signal(target, signal.SIGSTOP)
            case Resume():
                self.deployment.signal(target, signal.SIGCONT)
            case Restart():
                self.deployment.signal(target, signal.SIGTERM)
                exit_code = await self.deployment.wait_for_exit(target)
                self.deployment.start_again(target)
            case SwitchFault(fault=fault):
                await self._switch_fault(target, fault)
        self.records.append(
            ActionRecord(
                name,
                target,
                started_ms,
                self.clock.now(),
                exit_code,
            ),
        )

    async def _switch_fault(self, target: str, fault: Fault) -> None:
        answer = await call(
            self.client,
            'POST',
            f'http://{self.deployment.control_addresses[target]}/faults',
            FAULT_CODEC.encode(fault),
        )
        if answer.status != HTTPStatus.NO_CONTENT:
            raise RuntimeError(f'{target} did not accept {fault}: {answer}')

    async def _resolve_target(self, target: str) -> str:
        if target != 'leader':
            return self.process_names.get(target, target)
        return await self._find_leader()

    async def _find_leader(self) -> str:
        """Return the leader that a VM reports, or else the first voter."""
        for vm in self.deployment.vms:
            answer = await call_admin(
                self.client,
                'GET',
                vm.admin,
                '/v1/status',
            )
            if answer.status == HTTPStatus.OK:
                leader = decode_body(answer).get('leader')
                if leader:
                    return str(leader)
        return self.deployment.vms[0].vm

    async def _wait_until_ready(self, admin: str) -> None:
        for _ in range(_READY_ATTEMPTS):
            answer = await call(self.client, 'GET', f'http://{admin}/ready')
            if answer.status == HTTPStatus.OK:
                return
            await asyncio.sleep(in_seconds(_READY_POLL_MS))


def _name_action(action: Action) -> str:
    match action:
        case SwitchFault(fault=fault):
            return str(fault)
        case _:
            return type(action).__name__
