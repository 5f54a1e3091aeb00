"""Kills or pauses processes under load and checks the recorded runs."""

import asyncio
import contextlib
import itertools
import signal
import unittest

from parameterized import parameterized

from ibisjunction.bench.client import call, call_admin, decode_body, make_client
from ibisjunction.bench.demo import publish
from ibisjunction.bench.deployment import run_deployment
from ibisjunction.bench.experiment_records import (
    ActionRecord,
    ExperimentRecords,
)
from ibisjunction.bench.ownership_checks import check_fence_order, check_overlap
from ibisjunction.bench.run_records import RunStarted, join_runs, read_events
from ibisjunction.clock import SystemClock

_VMS = 3
_UPSTREAMS = ('up-1', 'up-2', 'up-3')
#: Polls until a condition holds; only a fault makes a test reach the bound.
_MAX_POLLS = 600
_POLL_S = 0.05
_CALLERS = 4


class _Trial:
    """A deployment under load."""

    def __init__(self, deployment) -> None:
        self.deployment = deployment
        self.client = make_client()
        self.actions: list[ActionRecord] = []
        self.answered = 0
        self._keys = itertools.count()
        self._is_over = False

    async def status(self) -> dict:
        """Return what the first VM reports, empty if it does not answer."""
        answer = await call_admin(
            self.client,
            'GET',
            self.deployment.vms[0].admin,
            '/v1/status',
        )
        if answer.status != 200:
            return {'upstreams': [], 'vms': []}
        return decode_body(answer)

    async def wait_until(self, condition) -> None:
        for _ in range(_MAX_POLLS):
            if condition(await self.status()):
                return
            await asyncio.sleep(_POLL_S)
        raise AssertionError(f'condition not met: {await self.status()}')

    async def wait_for_owners(self, *owners) -> None:
        """Wait until exactly these upstreams are listed and own shards."""

        def is_reached(status) -> bool:
            shards = {
                entry['upstream']: entry['shards']
                for entry in status['upstreams']
            }
            return set(shards) == set(owners) and all(shards.values())

        await self.wait_until(is_reached)

    async def wait_for_vm(self, vm, *, is_listed) -> None:
        def is_reached(status) -> bool:
            names = {str(entry) for entry in status['vms']}
            return any(vm in name for name in names) == is_listed

        await self.wait_until(is_reached)

    async def wait_for_answers(self) -> None:
        """Wait until requests that start from now on are answered."""
        required = self.answered + _CALLERS * 10
        for _ in range(_MAX_POLLS):
            if self.answered >= required:
                return
            await asyncio.sleep(_POLL_S)
        raise AssertionError('too few requests were answered')

    def signal(self, name, number) -> None:
        self.deployment.signal(name, number)
        now = SystemClock().now()
        action = 'Pause' if number == signal.SIGSTOP else number.name
        self.actions.append(ActionRecord(action, name, now, now))

    @contextlib.asynccontextmanager
    async def load(self):
        callers = [
            asyncio.create_task(self._run_caller(number))
            for number in range(_CALLERS)
        ]
        yield
        self._is_over = True
        await asyncio.gather(*callers)

    async def _run_caller(self, number) -> None:
        # Callers avoid the third VM, which the tests kill or pause.
        vm = self.deployment.vms[number % (_VMS - 1)]
        while not self._is_over:
            target = f'/mail-log/key-{next(self._keys) % 500}'
            headers = {'Request-Timeout-Ms': '2000'}
            url = f'http://{vm.http}{target}'
            answer = await call(self.client, 'GET', url, None, headers)
            self.answered += answer.status == 200

    def records(self) -> ExperimentRecords:
        paths = [
            self.deployment.folder / f'{name}.jsonl' for name in _UPSTREAMS
        ]
        events = read_events(path for path in paths if path.exists())
        starts = [event for event in events if isinstance(event, RunStarted)]
        assert starts, 'the stand-ins recorded no run'
        return ExperimentRecords(
            runs=tuple(join_runs(events)),
            actions=tuple(self.actions),
        )


async def _kill_upstream(trial) -> None:
    trial.signal('up-1', signal.SIGKILL)
    await trial.wait_for_owners('up-2', 'up-3')
    await trial.wait_for_answers()


async def _pause_upstream(trial) -> None:
    trial.signal('up-2', signal.SIGSTOP)
    await trial.wait_for_owners('up-1', 'up-3')
    await trial.wait_for_answers()
    trial.signal('up-2', signal.SIGCONT)
    await trial.wait_for_owners(*_UPSTREAMS)
    await trial.wait_for_answers()


async def _pause_vm(trial) -> None:
    trial.signal('vm-3', signal.SIGSTOP)
    await trial.wait_for_vm('vm-3', is_listed=False)
    await trial.wait_for_answers()
    trial.signal('vm-3', signal.SIGCONT)
    await trial.wait_for_vm('vm-3', is_listed=True)
    await trial.wait_for_answers()


async def _kill_vm(trial) -> None:
    trial.signal('vm-3', signal.SIGKILL)
    await trial.wait_for_vm('vm-3', is_listed=False)
    await trial.wait_for_answers()


async def _run(inject_fault) -> tuple[ExperimentRecords, int]:
    with run_deployment(_VMS) as deployment:
        for name in _UPSTREAMS:
            deployment.start_upstream(
                name,
                '--service=mail-log',
                '--service-ms=5',
            )
        trial = _Trial(deployment)
        await trial.wait_until(
            lambda status: len(status['upstreams']) == len(_UPSTREAMS),
        )
        await publish(deployment, trial.client, 'consorcio')
        await trial.wait_for_owners(*_UPSTREAMS)
        async with trial.load():
            await trial.wait_for_answers()
            await inject_fault(trial)
        records = trial.records()
        deployment.stop_all()
    return records


class LostProcessTest(unittest.TestCase):
    """Guards against two owners or a lasting outage after a lost process."""

    @parameterized.expand(
        [
            ('upstream killed', _kill_upstream),
            ('upstream paused', _pause_upstream),
            ('dispatcher paused', _pause_vm),
            ('dispatcher killed', _kill_vm),
        ]
    )
    def test_one_owner_at_a_time(self, _name, inject_fault):
        records = asyncio.run(_run(inject_fault))
        self.assertEqual(list(check_fence_order(records)), [])
        self.assertEqual(list(check_overlap(records)), [])
