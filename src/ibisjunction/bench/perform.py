"""Performs the actions of a scenario on a deployment."""

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
from ibisjunction.bench.evidence import ActionRecord
from ibisjunction.bench.faults import FAULT_CODEC, Fault
from ibisjunction.bench.publishing import Publisher
from ibisjunction.clock import Clock, in_seconds

_READY_POLL_MS: Final = 100
_READY_ATTEMPTS: Final = 200


@dataclass(slots=True)
class Performer:
    """Performs actions; ``names`` maps names in scenarios to processes."""

    deployment: Deployment
    clock: Clock
    client: AsyncHTTPClient
    publisher: Publisher
    names: Mapping[str, str]
    records: list[ActionRecord] = field(default_factory=list)

    async def run(self, actions: tuple[TimedAction, ...]) -> None:
        """Perform actions at their times; each may outlast the next start."""
        started_ms = self.clock.now()
        async with asyncio.TaskGroup() as group:
            for timed in actions:
                delay_ms = started_ms + timed.at_ms - self.clock.now()
                await asyncio.sleep(in_seconds(max(0, delay_ms)))
                group.create_task(self._perform(timed))

    async def _perform(self, timed: TimedAction) -> None:
        target = await self._resolve(timed.target)
        match timed.action:
            case RollingRestart():
                for vm in self.deployment.vms:
                    await self._act(vm.vm, Restart())
                    await self._wait_until_ready(vm.admin)
            case PublishRace():
                await self.publisher.publish_concurrently()
            case action:
                await self._act(target, action)

    async def _act(self, target: str, action: Action) -> None:
        started_ms = self.clock.now()
        exit_code = None
        name = _name_action(action)
        match action:
            case Restart() if not self.deployment.is_running(target):
                self.deployment.start_again(target)
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
                await self._switch(target, fault)
        self.records.append(
            ActionRecord(
                name,
                target,
                started_ms,
                self.clock.now(),
                exit_code,
            ),
        )

    async def _switch(self, target: str, fault: Fault) -> None:
        answer = await call(
            self.client,
            'POST',
            f'http://{self.deployment.control_addresses[target]}/faults',
            FAULT_CODEC.encode(fault),
        )
        if answer.status != HTTPStatus.NO_CONTENT:
            raise RuntimeError(f'{target} did not take {fault}: {answer}')

    async def _resolve(self, target: str) -> str:
        if target != 'leader':
            return self.names.get(target, target)
        return await self._find_leader()

    async def _find_leader(self) -> str:
        """Return the VM that a status names as leader, or the first voter."""
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
