"""Tests of a control VM's task with storage on disk."""

import asyncio
import random
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace
from unittest.mock import patch

from parameterized import parameterized

from ibisjunction.bench.soak.machines import make_settings
from ibisjunction.catalogue.model import Item, ItemType, ItemUpdate, Service
from ibisjunction.clock import ManualClock
from ibisjunction.control.effects import Tick, WritesCompleted
from ibisjunction.control.messages import (
    CommittedEntries,
    LeaderHint,
    StateSnapshot,
)
from ibisjunction.coordination.calls import ChangeItems, CheckIn
from ibisjunction.coordination.messages import (
    LoadReport,
    LocalCall,
    RelayedAnswer,
    RelayedHeartbeat,
)
from ibisjunction.coordination.recent_changes import ITEMS as CHANGED_ITEMS
from ibisjunction.coordination.task import FleetTask, ReplicaOptions
from ibisjunction.fleet.commands import UpdateItems
from ibisjunction.fleet.report import ReadState, decode_report
from ibisjunction.mailbox import Mailbox
from ibisjunction.membership.messages import Heartbeat
from ibisjunction.nodes.control import open_replica
from ibisjunction.peers.link import Received
from ibisjunction.settings import Address

VM = Address('10.0.0.1', 7000)
SERVICE = Service('/health', 100, is_sharded=False, warmup_ms=0)
ITEMS = ItemUpdate((Item(ItemType.SERVICE, 'reads', 3, '{}', service=SERVICE),))
#: Ticks that an election and a commit take at most, beside their writes.
MAX_TICKS = 400
TICK_MS = 20
#: Iterations of the event loop in which the storage task starts a write, or
#: reports it.
LOOP_ITERATIONS = 4


class FleetTaskTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a leader that leaves VMs without an answer."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        settings = replace(
            make_settings(VM, (VM,)),
            data_folder=Path(folder.name),
            tolerated_losses=0,
        )
        opened = self.enterContext(open_replica(settings))
        opened = replace(opened, run_blocking=self.run_write)
        self.running_writes = 0
        self.clock = ManualClock(1000)
        self.sent = []
        self.task = FleetTask(
            ReplicaOptions(
                str(VM),
                'p',
                settings.seed_names,
                settings.election,
                settings.timing,
            ),
            self.clock,
            SimpleNamespace(
                send=self.send,
                subscribe=lambda *_: None,
            ),
            opened,
            random.Random(1),
        )
        storage = asyncio.create_task(self.task.log.storage.run())
        self.addCleanup(storage.cancel)

    async def run_write(self, function, *arguments):
        """Run a write in a thread, and count it while it runs."""
        self.running_writes += 1
        try:
            return await asyncio.to_thread(function, *arguments)
        finally:
            self.running_writes -= 1

    async def finish_writes(self):
        """Wait for the writes of a tick, however long the disk takes."""
        for _ in range(LOOP_ITERATIONS):
            await asyncio.sleep(0)
        while self.running_writes:
            await asyncio.sleep(0.001)
        for _ in range(LOOP_ITERATIONS):
            await asyncio.sleep(0)

    def send(self, vm, message):
        """Record a message to another VM; deliver one to this VM."""
        if vm == str(VM):
            self.task.mailbox.post(Received(vm, message))
        else:
            self.sent.append((vm, message))

    async def run_until(self, is_reached):
        """Advance the clock until a condition holds."""
        for _ in range(MAX_TICKS):
            if is_reached():
                return
            self.clock.advance(TICK_MS)
            self.task.handle(Tick())
            await self.finish_writes()
            for message in self.task.mailbox.take_queued():
                self.task.handle(message)
        self.fail('not reached in time')

    async def lead_with_items(self):
        """Become the leader and commit items."""
        await self.run_until(lambda: self.task.leader == str(VM))
        reply = Mailbox()
        self.task.handle(LocalCall(ChangeItems(ITEMS), reply))
        await self.run_until(lambda: self.read_state().items)

    async def test_leader_that_starts_again_in_its_term(self):
        """Guards against a change that is dropped as a repeated proposal.

        A leader whose majority lapses for a moment starts again in the same
        term, and the log has the ids of its earlier proposals.
        """
        await self.lead_with_items()
        with patch.object(self.task.log, 'is_acting', return_value=False):
            self.task.handle(WritesCompleted(0))
        self.assertEqual(self.read_state().duty, 'voting')
        await self.run_until(lambda: self.read_state().duty == 'leading')
        reply = Mailbox()
        update = ItemUpdate((replace(ITEMS.items[0], version=4),))
        self.task.handle(LocalCall(ChangeItems(update), reply))
        await self.run_until(
            lambda: [item.version for item in self.read_state().items] == [4]
        )

    async def test_follower_records_changes(self):
        """Guards against a new leader that waits for all leases again."""
        log = self.task.log
        with patch.object(log, 'is_acting', return_value=False):
            await self.run_until(lambda: log.replica.index > 0)
            log.propose('p1', UpdateItems(ITEMS), self.clock.now())
            await self.run_until(lambda: self.read_state().items)
        recent = self.task._recent  # noqa: SLF001
        self.assertIsNotNone(recent.find(CHANGED_ITEMS))

    def read_state(self):
        """Return the report of the task."""
        reply = Mailbox()
        self.task.handle(ReadState(reply))
        return decode_report(reply.take_queued()[0])

    def relay(self):
        """Deliver a heartbeat of ``e1`` from ``e2``; return what is sent."""
        heartbeat = Heartbeat('e1', 5, 77, 0, 0)
        relayed = RelayedHeartbeat(heartbeat, LoadReport((), ()))
        self.sent.clear()
        self.task.handle(Received('e2', relayed))
        return self.sent

    async def test_relayed_heartbeat_is_answered_through_the_relay(self):
        await self.lead_with_items()
        self.assertEqual([vm for vm, _ in self.relay()], ['e2'])
        _, answer = self.sent[0]
        self.assertEqual(answer.vm, 'e1')
        self.assertIsInstance(answer, RelayedAnswer)
        self.assertEqual(answer.renewal.sent_at, 77)
        self.assertGreater(answer.renewal.lease_ms, 0)
        state = self.read_state()
        self.assertEqual(answer.renewal.committed_index, state.index)
        self.assertEqual(answer.snapshot.index, state.index)
        self.assertEqual(state.vms, ('e1',))

    async def test_relay_gets_a_hint_of_the_leader(self):
        """Guards against a relay that keeps sending to a wrong VM.

        A VM that does not lead answers with the leader that it follows.
        """
        self.relay()
        for vm, message in self.sent:
            self.assertEqual(vm, 'e2')
            self.assertIsInstance(message, LeaderHint)

    async def test_state_names_the_duty(self):
        self.assertEqual(self.read_state().duty, 'voting')
        await self.lead_with_items()
        state = self.read_state()
        self.assertEqual((state.duty, state.leader), ('leading', str(VM)))
        self.assertEqual(state.voters, (str(VM),))
        self.assertEqual([item.version for item in state.items], [3])

    @parameterized.expand(
        [
            ('nothing applied', 0, 1),
            ('an entry behind', 1, 1),
            ('ten VMs', 0, 10),
        ]
    )
    async def test_state_is_sent_once_to_a_slow_vm(
        self, _name, behind, vm_count
    ):
        """Guards against a copy of the state for each heartbeat.

        Grown deployments: a link of 2 Mbit/s carried 0.5 MB of routes for
        longer than a heartbeat takes, and the leader queued them once more for
        each heartbeat until it ran out of memory.
        """
        await self.lead_with_items()
        index = self.read_state().index
        applied = index - behind if behind else 0
        vms = [f'e{number}' for number in range(vm_count)]
        self.sent.clear()
        for _ in range(8):
            self.clock.advance(200)
            for vm in vms:
                heartbeat = Heartbeat(vm, 5, self.clock.now(), applied, 0)
                self.task.handle(Received(vm, heartbeat))
        received = [
            vm
            for vm, message in self.sent
            if isinstance(message, CommittedEntries | StateSnapshot)
        ]
        self.assertEqual(sorted(received), sorted(vms))

    async def test_state_is_sent_once_through_changing_relays(self):
        """Guards against a copy of the state through each relay.

        A VM whose link is full replaces its relay every 600 ms.
        """
        await self.lead_with_items()
        answers = []
        for number in range(4):
            self.clock.advance(400)
            heartbeat = Heartbeat('e1', 5, self.clock.now(), 0, 0)
            relayed = RelayedHeartbeat(heartbeat, LoadReport((), ()))
            self.sent.clear()
            self.task.handle(Received(f'e{2 + number}', relayed))
            answers += [message for _, message in self.sent]
        snapshots = [answer.snapshot is not None for answer in answers]
        self.assertEqual(snapshots, [True, False, False, False])

    @parameterized.expand(
        [
            ('directly', False, True, True),
            ('relayed', True, True, True),
            ('no call waits', False, False, False),
        ]
    )
    async def test_vm_that_missed_a_change_is_asked_for_a_report(
        self, _name, is_relayed, is_waiting, expected
    ):
        """Guards against a confirmation that waits for the next heartbeat.

        A VM whose window was full, or that uses a relay, gets the entries of a
        change in answer to a heartbeat, and the next one is due after 1.3 s.
        """
        await self.lead_with_items()
        self.clock.advance(10_000)
        self.task.handle(Tick())
        for vm in ('e1', 'e2'):
            self.send_heartbeat(vm, self.read_state().index)
        await self.publish(4)
        index = self.read_state().index
        if not is_waiting:
            self.send_heartbeat('e1', index)
            self.send_heartbeat('e2', index)
        self.sent.clear()
        self.send_heartbeat('late', index - 1, is_relayed=is_relayed)
        entries = [
            message.entries if isinstance(message, RelayedAnswer) else message
            for _, message in self.sent
        ]
        self.assertEqual(
            [
                one.wants_report
                for one in entries
                if isinstance(one, CommittedEntries)
            ],
            [expected],
        )

    async def test_reports_are_asked_for_until_the_change(self):
        """Guards against a report for each message while one VM is silent.

        At 200 VMs the leader got 600 reports a second until the slowest VM had
        applied the change, and each took a part of a slow link.
        """
        await self.lead_with_items()
        self.clock.advance(10_000)
        self.task.handle(Tick())
        index = self.read_state().index
        for vm in ('e1', 'silent'):
            self.send_heartbeat(vm, index)
        self.sent.clear()
        await self.publish(4)
        self.send_heartbeat('e1', self.read_state().index)
        await self.commit_check_in()
        self.clock.advance(1000)
        self.task.handle(Tick())
        received = [
            message.wants_report
            for vm, message in self.sent
            if vm == 'e1' and isinstance(message, CommittedEntries)
        ]
        self.assertEqual(received, [True, False])

    async def commit_check_in(self):
        """Let an upstream check in; return once it is admitted."""
        call = CheckIn('u1', 1, 'reads', 'u1:80', 'a', 3, False, 1)
        self.task.handle(LocalCall(call, Mailbox()))
        await self.run_until(lambda: self.read_state().upstreams)

    async def publish(self, version):
        """Publish a version of the items; return once it is committed."""
        update = ItemUpdate((replace(ITEMS.items[0], version=version),))
        self.task.handle(LocalCall(ChangeItems(update), Mailbox()))
        await self.run_until(
            lambda: self.read_state().items[0].version == version
        )

    def send_heartbeat(self, vm, applied, *, is_relayed=False):
        """Deliver a heartbeat directly or through another VM."""
        heartbeat = Heartbeat(vm, 5, self.clock.now(), applied, 0)
        relayed = RelayedHeartbeat(heartbeat, LoadReport((), ()))
        self.task.handle(
            Received('relay', relayed)
            if is_relayed
            else Received(vm, heartbeat)
        )


if __name__ == '__main__':
    unittest.main()
