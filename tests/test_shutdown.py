"""Tests of requests that come late in a planned stop of an entry VM."""

import asyncio
import unittest
from types import SimpleNamespace

from parameterized import parameterized

from ibisjunction.catalogue.model import RequestKind
from ibisjunction.clock import SystemClock
from ibisjunction.entry.model import Answered, Reason, Refused
from ibisjunction.mailbox import Mailbox
from ibisjunction.nodes.entry import EntryNode
from tests.scripted import ScriptedUpstream
from tests.test_notices import EntryVm, reply

_SIGNED = b'Response-Signature: s'
_END_MS = 3000


class LateRequestTest(unittest.IsolatedAsyncioTestCase):
    """Guards against requests that the end of the grace period cuts off.

    Report of other operators: in a planned stop of one VM, in calm, requests
    that came late in the grace period were passed on, and at its end they were
    cut with no answer, among them requests that may not be repeated.
    """

    @parameterized.expand(
        [
            ('before the stop', None, 0, 4000, Answered),
            ('early in the stop', _END_MS, 0, 2900, Answered),
            ('late', _END_MS, 1900, 1000, Answered),
            ('too late to be answered', _END_MS, 2100, None, Refused),
            ('at the end', _END_MS, 3000, None, Refused),
        ]
    )
    async def test_request(self, _name, end_ms, at_ms, deadline_ms, outcome):
        """A request is not passed on, or its upstream stops before the end."""
        upstream = ScriptedUpstream(reply(200, _SIGNED))
        async with upstream.run() as address:
            vm = EntryVm([address], is_sharded=True)
            async with vm.run():
                if end_ms is not None:
                    vm.processor.begin_shutdown(vm.clock.now() + end_ms)
                vm.clock.advance(at_ms)
                found = await vm.send()
        self.assertIsInstance(found, outcome)
        told = [
            int(head.split(b'Deadline-Ms: ')[1].split(b'\r\n')[0])
            for head in upstream.requests
        ]
        self.assertEqual(told, [] if deadline_ms is None else [deadline_ms])

    async def test_request_that_waits_is_refused_in_time(self):
        """A request that waits for a slot must not wait until the end."""
        upstream = ScriptedUpstream(reply(200, _SIGNED))
        async with upstream.run() as address:
            vm = EntryVm([address], is_sharded=False)
            async with vm.run():
                vm.occupy_slots()
                waiting = asyncio.create_task(vm.send())
                while not vm.processor.waiting_count:
                    await asyncio.sleep(0)
                vm.processor.begin_shutdown(vm.clock.now() + _END_MS)
                await asyncio.sleep(0)
                self.assertFalse(waiting.done())
                vm.processor.refuse_unsent()
                found = await waiting
        self.assertEqual(found, Refused(Reason.SHUTTING_DOWN, 50))
        self.assertEqual(upstream.requests, [])


class DownloadTest(unittest.IsolatedAsyncioTestCase):
    """Guards against large answers that the end of the grace period cuts off.

    They came from the upstream in time, but the link of the VM did not pass
    them to the caller before the end: it got a part of an answer.
    """

    @parameterized.expand(
        [
            ('before the stop', None, Answered, 1),
            ('at its start', 0, Refused, 0),
            ('in the stop', 900, Refused, 0),
        ]
    )
    async def test_is_sent(self, _name, at_ms, outcome, sent_count):
        upstream = ScriptedUpstream(reply(200, _SIGNED))
        async with upstream.run() as address:
            vm = EntryVm([address], is_sharded=True, kind=RequestKind.DOWNLOAD)
            async with vm.run():
                if at_ms is not None:
                    vm.processor.begin_shutdown(vm.clock.now() + _END_MS)
                    vm.clock.advance(at_ms)
                found = await vm.send()
        self.assertIsInstance(found, outcome)
        self.assertEqual(len(upstream.requests), sent_count)

    @parameterized.expand(
        [
            ('download', RequestKind.DOWNLOAD, True),
            ('short answer', RequestKind.SAFE, False),
        ]
    )
    async def test_that_waits_for_a_slot(self, _name, kind, is_refused):
        """It is refused as the stop begins, not once it gets a slot."""
        upstream = ScriptedUpstream(reply(200, _SIGNED))
        async with upstream.run() as address:
            vm = EntryVm([address], is_sharded=False, kind=kind)
            async with vm.run():
                vm.occupy_slots()
                waiting = asyncio.create_task(vm.send())
                while not vm.processor.waiting_count:
                    await asyncio.sleep(0)
                vm.processor.begin_shutdown(vm.clock.now() + _END_MS)
                for _ in range(20):
                    await asyncio.sleep(0)
                self.assertEqual(waiting.done(), is_refused)
                vm.processor.refuse_unsent()
                found = await waiting
        self.assertEqual(found, Refused(Reason.SHUTTING_DOWN, 50))


class DrainTest(unittest.IsolatedAsyncioTestCase):
    """Guards against requests that are cut off at the end of a shutdown.

    The connections of this server end only once the requests are ended.
    """

    @parameterized.expand([('no grace period', 0), ('short grace period', 500)])
    async def test_requests_are_ended(self, _name, grace_ms):
        calls = []
        ended = asyncio.Event()

        def end_requests():
            calls.append('end')
            ended.set()

        async def drain(accept_ms, finish_ms):
            await ended.wait()
            return 0

        node = EntryNode(
            SimpleNamespace(vm='e1', grace_ms=grace_ms),
            SystemClock(),
            SimpleNamespace(
                begin_shutdown=lambda end_ms: calls.append('begin'),
                may_send=lambda now: False,
                refuse_unsent=lambda: calls.append('refuse'),
                end_requests=end_requests,
            ),
            SimpleNamespace(drain=drain),
            SimpleNamespace(leave=lambda: calls.append('leave')),
            Mailbox(),
        )
        # The limit only ends a test that would otherwise hang.
        async with asyncio.timeout(10):
            await node.drain()
        self.assertEqual(calls, ['begin', 'refuse', 'end', 'leave'])


if __name__ == '__main__':
    unittest.main()
