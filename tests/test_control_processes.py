"""Tests of real daemons that are killed, paused or lose their disks.

They run as processes that listen on loopback addresses.
"""

import asyncio
import json
import shutil
import signal
import subprocess
import sys
import unittest

from parameterized import parameterized

from ibisjunction.bench.client import call_admin, make_client
from ibisjunction.bench.deployment import run_deployment
from ibisjunction.control.storage import find_identity

_POLLS = 400
_POLL_S = 0.05


class Operator:
    """Publishes through the administration API and checks the revisions.

    Each accepted publication increments the revision, so a lost or duplicate
    command results in a wrong revision.
    """

    def __init__(self, deployment) -> None:
        self.deployment = deployment
        self.client = make_client()
        self.revision = 0

    async def status(self, vm):
        answer = await call_admin(self.client, 'GET', vm.admin, '/v1/status')
        return json.loads(answer.body) if answer.status == 200 else None

    async def wait_until(self, condition, vms=None):
        """Wait until the status of each VM meets a condition."""
        for _ in range(_POLLS):
            statuses = [
                await self.status(vm) for vm in vms or self.list_running()
            ]
            if all(status and condition(status) for status in statuses):
                return statuses
            await asyncio.sleep(_POLL_S)
        raise AssertionError(f'not reached: {statuses}')

    async def find_leader(self, vms=None):
        """Return the leader once every VM reports one that is running."""
        running = {vm.vm for vm in self.list_running()}
        statuses = await self.wait_until(
            lambda status: status['ready'] and status['leader'] in running,
            vms,
        )
        return statuses[0]['leader']

    def list_running(self):
        return [
            vm
            for vm in self.deployment.vms
            if vm.vm in self.deployment.processes
        ]

    async def publish(self, vm=None):
        """Publish until accepted; a resend must not add a second revision."""
        for _ in range(_POLLS):
            if await self._try_to_publish(vm or self.list_running()[0]):
                self.revision += 1
                return
            await asyncio.sleep(_POLL_S)
        raise AssertionError('no answer to a publication')

    async def _try_to_publish(self, vm):
        body = {
            'base_revision': self.revision,
            'publication_id': f'publication-{self.revision}',
            'files': {},
        }
        answer = await call_admin(
            self.client,
            'POST',
            vm.admin,
            '/v1/revisions',
            body,
        )
        if answer.status == 409:
            raise AssertionError(answer.body)
        if answer.status != 200:
            return False
        new_revision = json.loads(answer.body)['revision']
        if new_revision != self.revision + 1:
            raise AssertionError(f'{new_revision} follows {self.revision}')
        return True

    async def publish_many(self, count):
        for _ in range(count):
            await self.publish()

    async def check_all(self):
        """Wait until each running VM has the last accepted revision."""
        await self.wait_until(
            lambda status: status['revision'] == self.revision,
        )

    async def change_voters(self, **change):
        answer = None
        for _ in range(_POLLS):
            target = self.list_running()[0]
            answer = await call_admin(
                self.client,
                'POST',
                target.admin,
                '/v1/voters',
                change,
            )
            if answer.status == 204:
                return
            await asyncio.sleep(_POLL_S)
        raise AssertionError(f'voters not changed: {answer}')

    async def replace_disk(self, vm):
        """Replace a VM's lost disk and return the new disk's name."""
        shutil.rmtree(self.deployment.data_folder(vm.vm))
        disk = self.deployment.create_identity(vm.vm, is_new=False)
        self.deployment.start_vm(vm.vm)
        await self.change_voters(add=disk, peer=vm.peer)
        return disk


def _run(scenario, vm_count=5):
    with run_deployment(vm_count) as deployment:
        asyncio.run(scenario(Operator(deployment)))


async def _kill_leader_twice(operator):
    for _ in range(2):
        leader = await operator.find_leader()
        await operator.publish_many(5)
        operator.deployment.kill(leader)
        await operator.publish_many(5)
    await operator.check_all()


async def _pause_leader(operator):
    leader = await operator.find_leader()
    await operator.publish_many(3)
    operator.deployment.signal(leader, signal.SIGSTOP)
    others = [vm for vm in operator.list_running() if vm.vm != leader]
    for _ in range(5):
        await operator.publish(others[0])
    await operator.wait_until(
        lambda status: status['leader'] not in {leader, None},
        others,
    )
    operator.deployment.signal(leader, signal.SIGCONT)
    await operator.publish_many(3)
    await operator.check_all()


async def _lose_disk_then_second_voter(operator):
    leader = await operator.find_leader()
    await operator.publish_many(5)
    vms = operator.deployment.vms
    lost, second = [vm for vm in vms if vm.vm != leader][:2]
    operator.deployment.kill(lost.vm)
    disk = await operator.replace_disk(lost)
    # The second voter is lost right after the replacement, before the lost
    # disk is removed from the voters.
    operator.deployment.kill(second.vm)
    await operator.publish_many(3)
    await operator.change_voters(remove=lost.vm)
    await operator.publish_many(3)
    await operator.check_all()
    statuses = await operator.wait_until(lambda status: status['ready'])
    expected = {vm.vm for vm in vms} - {lost.vm} | {disk}
    for status in statuses:
        if set(status['voters']) != expected:
            raise AssertionError(f'{status["voters"]} are not {expected}')


async def _restart_all(operator):
    await operator.find_leader()
    await operator.publish_many(200)
    deployment = operator.deployment
    names = [vm.vm for vm in operator.list_running()]
    for vm in names:
        deployment.kill(vm)
    for vm in names:
        deployment.start_vm(vm)
    await operator.wait_until(lambda status: status['ready'])
    await operator.check_all()
    await operator.publish_many(3)


async def _lose_majority(operator):
    await operator.find_leader()
    await operator.publish_many(3)
    names = [vm.vm for vm in operator.deployment.vms]
    for vm in names[1:4]:
        operator.deployment.kill(vm)
    surviving = [operator.deployment.vms[0], operator.deployment.vms[4]]
    await operator.wait_until(lambda status: not status['ready'], surviving)
    for vm in names[1:4]:
        operator.deployment.start_vm(vm)
    await operator.wait_until(lambda status: status['ready'])
    await operator.check_all()
    await operator.publish_many(3)


class LossTest(unittest.TestCase):
    """Guards against acknowledged commands lost when VMs or disks are lost."""

    def test_leader_is_killed_twice(self):
        _run(_kill_leader_twice)

    def test_leader_is_paused_and_resumed(self):
        _run(_pause_leader)

    def test_second_voter_is_lost_after_a_disk_was_replaced(self):
        _run(_lose_disk_then_second_voter)

    def test_all_restart_after_hundreds_of_commands(self):
        _run(_restart_all)

    def test_without_majority_no_vm_is_ready(self):
        _run(_lose_majority)


class IdentityCommandTest(unittest.TestCase):
    """Guards against command-line options that create no identity."""

    @parameterized.expand([('initialise', True), ('join', False)])
    def test_option_creates_identity_once(self, option, is_new):
        with run_deployment(1) as deployment:
            deployment.kill('vm-1')
            folder = deployment.data_folder('vm-1')
            shutil.rmtree(folder)
            command = [
                sys.executable,
                '-m',
                'ibisjunction.daemon',
                str(deployment.folder / 'vm-1.toml'),
                f'--{option}',
            ]
            first = subprocess.run(command, capture_output=True, check=True)
            disk = find_identity(folder).node
            self.assertEqual(first.stdout.decode().strip(), disk)
            self.assertEqual(disk == 'vm-1', is_new)
            again = subprocess.run(command, capture_output=True, check=False)
            self.assertEqual(again.returncode, 2)
            self.assertIn(b'already holds', again.stderr)


class RefusalTest(unittest.TestCase):
    """Guards against a voter that starts with files it must not use.

    These are a data folder without an identity, and a corrupt log.
    """

    def test_voter_without_identity_refuses_to_start(self):
        with run_deployment(1) as deployment:
            deployment.kill('vm-1')
            shutil.rmtree(deployment.data_folder('vm-1'))
            self._check_refusal(deployment, '--initialise', '--join')

    def test_voter_with_corrupt_log_refuses_to_start(self):
        with run_deployment(1) as deployment:
            deployment.kill('vm-1')
            log = deployment.data_folder('vm-1') / 'control' / 'log-0'
            data = bytearray(log.read_bytes())
            data[0] ^= 1
            log.write_bytes(bytes(data))
            self._check_refusal(deployment, str(log), 'offset 0')

    def _check_refusal(self, deployment, *expected_texts):
        deployment.start_vm('vm-1')
        self.assertEqual(deployment.processes['vm-1'].wait(30), 2)
        text = (deployment.folder / 'vm-1.log').read_text()
        for expected in expected_texts:
            self.assertIn(expected, text)
