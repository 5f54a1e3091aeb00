"""Tests of the task that calls upstreams about their grants."""

import asyncio
import contextlib
import unittest
from types import SimpleNamespace

from parameterized import parameterized

from ibisjunction.clock import ManualClock
from ibisjunction.mailbox import Mailbox
from ibisjunction.ownership.task import OwnershipTask
from ibisjunction.ownership.upstream_grants import CallFailed, SendCall
from ibisjunction.upstreams.protocol import UpstreamUnreachableError
from tests.samples import TIMING


class FailedCallTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a call that stays pending for ever after an error.

    No further call is sent to its upstream while one is pending.
    """

    @parameterized.expand(
        [
            ('unreachable', UpstreamUnreachableError('gone'), False),
            ('other error', ArithmeticError('odd answer'), True),
        ]
    )
    async def test_call_ends(self, _name, error, is_logged):
        async def send(address, call, timeout_ms):
            raise error

        task = OwnershipTask(
            SimpleNamespace(voters=(), vm='vm-1', timing=TIMING),
            ManualClock(0),
            None,
            Mailbox(),
            send,
            Mailbox(),
        )
        call = SimpleNamespace(epoch=1)
        with self.assertLogs() if is_logged else contextlib.nullcontext():
            await asyncio.gather(
                task._call('up-1', SendCall('127.0.0.1:9', call)),
                return_exceptions=True,
            )
        posted = [message.result for message in task.mailbox.take_queued()]
        self.assertEqual(posted, [CallFailed(call, str(error))])


if __name__ == '__main__':
    unittest.main()
