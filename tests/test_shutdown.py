"""Tests of requests that come late in a planned stop of an entry VM."""

import asyncio
import contextlib
import itertools
import unittest
from types import SimpleNamespace

from parameterized import parameterized

from ibisjunction.catalogue.model import RequestKind
from ibisjunction.clock import SystemClock
from ibisjunction.entry.callers.server import EntryServer
from ibisjunction.entry.link.task import LinkTask
from ibisjunction.entry.link.transfers import SharedLink
from ibisjunction.entry.model import Answered, Reason, Refused
from ibisjunction.mailbox import Mailbox, run_task
from ibisjunction.nodes.entry import EntryNode
from ibisjunction.platform.bodies import HEADERS
from ibisjunction.settings import Address
from tests.scripted import ScriptedUpstream
from tests.test_notices import EntryVm, reply

_SIGNED = b'Response-Signature: s'
_END_MS = 3000
_CUT = b'cut'
#: Pause of a caller before its next connection.
_PAUSE_S = 0.05


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


class KeptConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Guards against downloads that a planned stop cuts off on a narrow link.

    Callers keep sending, on kept and on new connections, until the VM refuses
    them. It took downloads that its link did not pass before its end.
    """

    async def test_each_request_that_is_passed_on_is_answered(self):
        upstream = ScriptedUpstream(reply(200, _SIGNED, body=bytes(150_000)))
        clock = SystemClock()
        link = LinkTask(clock, 2, Mailbox())
        async with upstream.run() as address:
            vm = EntryVm(
                [address],
                is_sharded=False,
                kind=RequestKind.DOWNLOAD,
                clock=clock,
            )
            server = EntryServer(
                vm.processor,
                clock,
                HEADERS,
                Address('127.0.0.1', 0),
                Mailbox(),
                SharedLink(link),
            )
            port = server.listen_to_callers()
            node = EntryNode(
                SimpleNamespace(vm='e1', grace_ms=4000),
                clock,
                vm.processor,
                server,
                SimpleNamespace(leave=lambda: None),
                Mailbox(),
            )
            # The limit only ends a test that would otherwise hang.
            async with (
                asyncio.timeout(60),
                vm.run(),
                run_task(link.run(), 'link'),
                asyncio.TaskGroup() as callers,
            ):
                statuses = []
                for number in range(4):
                    callers.create_task(_keep_coming(port, number, statuses))
                while statuses.count(b'200') < 4:
                    await asyncio.sleep(0.01)
                await node.drain()
                await server.close()
        passed_on = [status for status in statuses if status != b'503']
        self.assertEqual(len(passed_on), len(upstream.requests))
        self.assertNotIn(_CUT, statuses)


async def _keep_coming(port, number, statuses):
    """Send requests until the VM is gone; record the ends of all answers."""
    for connection in itertools.count():
        try:
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
        except OSError:
            return
        with (
            contextlib.closing(writer),
            contextlib.suppress(OSError, asyncio.IncompleteReadError),
        ):
            head = b''
            while b'Connection: close' not in head:
                attempt = f'{number}-{connection}-{len(statuses)}'
                lines = ('GET / HTTP/1.1', 'Host: x', f'Attempt-Id: {attempt}')
                writer.write('\r\n'.join((*lines, '', '')).encode())
                head = await reader.readuntil(b'\r\n\r\n')
                length = int(head.split(b'Content-Length: ')[1].split()[0])
                status = _CUT
                try:
                    await reader.readexactly(length)
                    status = head.split()[1]
                finally:
                    statuses.append(status)
        await asyncio.sleep(_PAUSE_S)


if __name__ == '__main__':
    unittest.main()
