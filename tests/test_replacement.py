"""Tests of control VMs that are replaced before further disks are lost."""

import asyncio
import contextlib
import errno
import itertools
import logging
import tempfile
import unittest
from pathlib import Path
from unittest.mock import patch

from parameterized import parameterized

from ibisjunction.bench.soak.machines import (
    CONTROL_PORT,
    TICK_MS,
    ControlVm,
    make_settings,
)
from ibisjunction.bench.soak.network import Network
from ibisjunction.catalogue.model import Item, ItemType, ItemUpdate, Service
from ibisjunction.control import writer
from ibisjunction.coordination import log
from ibisjunction.coordination.calls import ChangeItems, Confirmed
from ibisjunction.coordination.messages import LocalCall, PrepareToStop
from ibisjunction.mailbox import Mailbox
from ibisjunction.settings import Address

CATCH_UP_MS = 4000
GRACE_MS = 6000
#: A stop waits for a tick, two changes of voters and an answer.
MAX_STOP_MS = 1000
#: A machine that loses its disk or is killed is back after this time.
DOWN_MS = 1000
#: Time from a fault to a confirmed change.
RECOVERY_MS = 15_000
SEED_COUNT = 3
VOTER_COUNT = 5


class _Deployment:
    """Control VMs in simulated time, with files on disk."""

    def __init__(self, seed, folder):
        self.network = Network(seed)
        self.folder = folder
        self.vms = {}
        self._version = 0
        for number in range(1, VOTER_COUNT + 1):
            self.add(number)

    def add(self, number, *, is_first=True):
        """Start a VM; later ones have an empty disk and are no seeds."""
        seeds = tuple(
            Address(f'10.0.0.{seed}', CONTROL_PORT)
            for seed in range(1, SEED_COUNT + 1)
        )
        address = Address(f'10.0.0.{number}', CONTROL_PORT)
        vm = ControlVm(
            make_settings(address, seeds),
            self.network,
            self.folder / address.host,
        )
        vm.start_count = 0 if is_first else 1
        vm.start()
        self.vms[number] = vm
        return vm

    @property
    def leader(self):
        """The number of the VM that leads, or 0."""
        return next(
            (
                number
                for number, vm in self.vms.items()
                if vm.task and vm.task.leader == vm.name
            ),
            0,
        )

    @property
    def voters(self):
        """The VMs that vote, by the log of the leader."""
        task = self.vms[self.leader].task
        return {int(voter.vm.split(':')[0][7:]) for voter in task.log.voters}

    async def run(self, duration_ms, is_reached=None):
        """Advance the time; return whether a condition was reached."""
        end_ms = self.network.now + duration_ms
        while self.network.now < end_ms:
            self.network.deliver(self.network.now + TICK_MS)
            for vm in list(self.vms.values()):
                vm.tick()
            for _ in range(3):
                await asyncio.sleep(0)
            if is_reached is not None and is_reached():
                return True
        return False

    async def confirm_change(self, duration_ms=RECOVERY_MS):
        """Return whether a change is confirmed in time.

        The change is sent to all VMs, as an operator would try one after the
        other.
        """
        self._version += 1
        service = Service('/health', 100, is_sharded=False, warmup_ms=0)
        item = Item(
            ItemType.SERVICE, 'reads', self._version, '{}', service=service
        )
        end_ms = self.network.now + duration_ms
        while self.network.now < end_ms:
            reply = Mailbox()
            for vm in self.vms.values():
                call = ChangeItems(ItemUpdate((item,)))
                vm.receive(LocalCall(call, reply))
            answers = []

            def is_confirmed(reply=reply, answers=answers):
                answers.extend(reply.take_queued())
                return any(isinstance(one, Confirmed) for one in answers)

            if await self.run(2000, is_confirmed):
                return True
        return False

    async def stop(self, number):
        """Stop a VM for good as planned; return how long it took."""
        vm = self.vms[number]
        started_ms = self.network.now
        reply = Mailbox()
        vm.receive(PrepareToStop(reply))
        await self.run(GRACE_MS // 2, lambda: not reply.is_empty)
        self.kill(number)
        return self.network.now - started_ms

    def kill(self, number, *, loses_disk=False):
        """End a process at once; it doesn't come back by itself."""
        self.vms.pop(number).kill(loses_disk=loses_disk)

    async def restart(self, numbers, *, loses_disk):
        """Kill VMs at the same time and start them again."""
        vms = {number: self.vms[number] for number in numbers}
        for vm in vms.values():
            vm.kill(loses_disk=loses_disk)
        await self.run(DOWN_MS)
        for vm in vms.values():
            vm.start()

    def close(self):
        """End all processes."""
        for vm in self.vms.values():
            vm.kill(loses_disk=False)


class DeploymentTest(unittest.IsolatedAsyncioTestCase):
    """Starts deployments; it has no tests of its own."""

    async def asyncSetUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    async def start(self, seed):
        """Start five voters, and confirm a change."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        deployment = _Deployment(seed, Path(folder.name))
        self.addCleanup(deployment.close)
        await deployment.run(6000)
        self.assertEqual(deployment.voters, {1, 2, 3, 4, 5})
        self.assertTrue(await deployment.confirm_change())
        return deployment


class ReplacementTest(DeploymentTest):
    """Guards against a lost quorum after a control VM was replaced.

    Review, case 1: two disks were lost as soon as the successor of a stopped
    VM counted, but the stopped VM still had a vote. Two of five voters were
    left, and no confirmed change could be read any more.
    """

    def choose(self, deployment, role):
        """Return the number of the VM with a role, and the other voters."""
        leader = deployment.leader
        others = sorted(deployment.voters - {leader})
        chosen = leader if role == 'leader' else others[-1]
        return chosen, sorted(deployment.voters - {chosen})

    @parameterized.expand(
        [
            ('stopped', 'stopped', 'follower', 1000, 1),
            ('stopped, another seed', 'stopped', 'follower', 1000, 2),
            ('stopped leader', 'stopped', 'leader', 1000, 1),
            ('stopped at once', 'stopped', 'follower', 100, 1),
            ('stopped at once, another seed', 'stopped', 'follower', 100, 2),
            ('stopped late', 'stopped', 'follower', 8000, 1),
            ('stopped leader, late', 'stopped', 'leader', 8000, 2),
            ('killed', 'killed', 'follower', 0, 1),
            ('killed, another seed', 'killed', 'follower', 0, 2),
            ('killed leader', 'killed', 'leader', 0, 1),
            ('killed leader, another seed', 'killed', 'leader', 0, 2),
        ]
    )
    async def test_two_disks_are_lost_once_the_successor_counts(
        self, _name, how, role, gap_ms, seed
    ):
        deployment = await self.start(seed)
        replaced, others = self.choose(deployment, role)
        deployment.add(6, is_first=False)
        await deployment.run(gap_ms)
        if how == 'stopped':
            stop_ms = await deployment.stop(replaced)
            self.assertLess(stop_ms, MAX_STOP_MS)
            await deployment.run(max(0, CATCH_UP_MS - gap_ms - stop_ms))
        else:
            deployment.kill(replaced)
            await deployment.run(CATCH_UP_MS)
        self.assertTrue(await deployment.confirm_change())
        await deployment.restart(others[:2], loses_disk=True)
        self.assertTrue(await deployment.confirm_change())

    async def test_two_vms_are_replaced_one_after_the_other(self):
        deployment = await self.start(3)
        for successor in (6, 7):
            replaced, others = self.choose(deployment, 'follower')
            deployment.add(successor, is_first=False)
            await deployment.run(1000)
            await deployment.stop(replaced)
            await deployment.run(CATCH_UP_MS)
        self.assertTrue(await deployment.confirm_change())
        await deployment.restart(others[:2], loses_disk=True)
        self.assertTrue(await deployment.confirm_change())

    @parameterized.expand([('a seed', 3), ('no seed', 4)])
    async def test_disk_is_lost_after_all_other_seeds_were_replaced(
        self, _name, wiped
    ):
        """Guards against a VM that never votes again after it lost its disk.

        Its seeds were gone or itself, so it found no voter to ask, although
        the leader still sent entries to its former replica. The next two lost
        disks then took the majority.
        """
        deployment = await self.start(8)
        gone = {1, 2, 3} - {wiped}
        for number, successor in zip(
            sorted(gone), itertools.count(6), strict=False
        ):
            deployment.add(successor, is_first=False)
            await deployment.run(1000)
            await deployment.stop(number)
            await deployment.run(CATCH_UP_MS)
        await deployment.restart([wiped], loses_disk=True)
        await deployment.run(CATCH_UP_MS)
        name = deployment.vms[wiped].task.log.node
        leader = deployment.vms[deployment.leader].task.log
        self.assertIn(name, [voter.node for voter in leader.voters])
        others = sorted(deployment.voters - {wiped})
        await deployment.restart(others[:2], loses_disk=True)
        self.assertTrue(await deployment.confirm_change())

    async def test_successor_ends_before_it_has_caught_up(self):
        """Guards against a successor that is gone and blocks the next one.

        The change of voters that waited for it blocked all others for 20 s.
        """
        deployment = await self.start(7)
        replaced, others = self.choose(deployment, 'follower')
        leader = deployment.vms[deployment.leader].name
        successor = deployment.add(6, is_first=False)
        deployment.network.cut([(leader, successor.name)])
        await deployment.run(1000)
        deployment.kill(replaced)
        await deployment.run(CATCH_UP_MS // 2)
        deployment.kill(6)
        deployment.add(7, is_first=False)
        await deployment.run(2 * CATCH_UP_MS)
        self.assertEqual(deployment.voters, {*others, 7})

    async def test_rolling_restart_without_a_spare_is_not_delayed(self):
        """Guards against a stop that waits for a replica that can't exist."""
        deployment = await self.start(4)
        for number in sorted(deployment.voters):
            self.assertLess(await deployment.stop(number), 500)
            deployment.add(number, is_first=False)
            await deployment.run(2000)
            self.assertEqual(deployment.voters, {1, 2, 3, 4, 5})
            self.assertTrue(await deployment.confirm_change())

    async def test_rolling_restart_with_a_spare(self):
        """Guards against a restarted VM that nobody makes a voter again."""
        deployment = await self.start(5)
        deployment.add(6, is_first=False)
        await deployment.run(1000)
        for number in range(1, 7):
            await deployment.stop(number)
            deployment.add(number, is_first=False)
            await deployment.run(2000)
            self.assertEqual(len(deployment.voters), VOTER_COUNT)
            self.assertTrue(await deployment.confirm_change())
        spare = ({1, 2, 3, 4, 5, 6} - deployment.voters).pop()
        voters = sorted(deployment.voters)
        deployment.kill(voters[0])
        await deployment.run(CATCH_UP_MS)
        self.assertEqual(deployment.voters, {*voters[1:], spare})

    async def test_replaced_voter_that_thaws_forwards_calls(self):
        """Guards against a VM that answers no operator after its replacement.

        A frozen voter gets no entry any more once it is replaced, and took
        itself for a voter without a leader.
        """
        deployment = await self.start(6)
        frozen, _ = self.choose(deployment, 'follower')
        deployment.add(6, is_first=False)
        await deployment.run(1000)
        vm = deployment.vms[frozen]
        frozen_until_ms = deployment.network.now + CATCH_UP_MS
        deployment.network.frozen_until_ms[vm.name] = frozen_until_ms
        await deployment.run(CATCH_UP_MS)
        self.assertNotIn(frozen, deployment.voters)
        await deployment.run(2000)
        others = deployment.vms
        deployment.vms = {frozen: vm}
        self.addCleanup(setattr, deployment, 'vms', others)
        reply = Mailbox()
        service = Service('/health', 100, is_sharded=False, warmup_ms=0)
        item = Item(ItemType.SERVICE, 'reads', 9, '{}', service=service)
        vm.receive(LocalCall(ChangeItems(ItemUpdate((item,))), reply))
        deployment.vms = others
        await deployment.run(2000)
        answers = reply.take_queued()
        self.assertEqual([type(one) for one in answers], [Confirmed])


class _LimitedDisk:
    """The files of a replica on a disk that refuses writes while it is full."""

    def __init__(self, store):
        self._store = store
        self.is_full = False

    def write(self, writes):
        self._check_room()
        self._store.write(writes)

    def replace(self, change):
        self._check_room()
        self._store.replace(change)

    def _check_room(self):
        if self.is_full:
            raise OSError(errno.ENOSPC, 'no space left on the device')


class FullDisksTest(DeploymentTest):
    """Guards against changes that stay unanswered after disks were full.

    Reports of other operators: the disks of counted machines were full for a
    few seconds each, one after another. Changes were refused or not answered
    until the end of the day, while all processes ran.
    """

    @contextlib.contextmanager
    def fill_disk(self, vm):
        """Let a VM's disk refuse writes for the duration of the block."""
        storage = vm.task.log.storage
        disk = _LimitedDisk(storage._store)
        storage._store = disk
        disk.is_full = True
        try:
            yield
        finally:
            disk.is_full = False

    @parameterized.expand(
        [
            ('five VMs', 5, 1000, 1),
            ('five VMs, another seed', 5, 1000, 2),
            ('with a spare', 6, 1000, 3),
            ('with a spare, another seed', 6, 1000, 4),
            ('snapshots', 5, 4, 5),
            ('snapshots, with a spare', 6, 4, 6),
        ]
    )
    async def test_disks_are_full_one_after_the_other(
        self, _name, vm_count, entries_per_snapshot, seed
    ):
        self.enterContext(
            patch.object(writer, 'in_seconds', lambda _milliseconds: 0)
        )
        self.enterContext(
            patch.object(log, '_ENTRIES_PER_SNAPSHOT', entries_per_snapshot)
        )
        deployment = await self.start(seed)
        if vm_count > VOTER_COUNT:
            deployment.add(6, is_first=False)
            await deployment.run(1000)
        leader = deployment.leader
        for number in (leader, *deployment.voters - {leader}):
            with self.fill_disk(deployment.vms[number]):
                for _ in range(3):
                    await deployment.confirm_change(1000)
            await deployment.run(500)
        for _ in range(10):
            self.assertTrue(await deployment.confirm_change(2000))
        self.assertEqual(len(deployment.voters), VOTER_COUNT)
        names = {vm.task.log.node for vm in deployment.vms.values()}
        await deployment.restart(list(deployment.vms), loses_disk=False)
        self.assertTrue(await deployment.confirm_change())
        restarted = {vm.task.log.node for vm in deployment.vms.values()}
        self.assertEqual(restarted, names)


if __name__ == '__main__':
    unittest.main()
