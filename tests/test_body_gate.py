"""Tests of bodies that are dropped because there is no room."""

import asyncio
import unittest
from types import SimpleNamespace

from parameterized import parameterized

from ibisjunction.catalogue.model import Limits
from ibisjunction.clock import ManualClock
from ibisjunction.entry.callers import incoming
from ibisjunction.entry.model import Reason

_LIMITS = Limits(256, 64, header_timeout_ms=50_000, idle_timeout_ms=10_000)


class _StuckParser:
    """Never gets the rest of a body."""

    async def read_response(self, receiver):
        await asyncio.Event().wait()


class LateDropTest(unittest.IsolatedAsyncioTestCase):
    """Guards against an error when a body is dropped at its timeout.

    It ended the calls of other bodies, in whose course the body was dropped.
    """

    @parameterized.expand(
        [
            ('before the timeout', False, 1, Reason.NO_MEMORY),
            ('before its task runs', True, 1, Reason.NO_MEMORY),
            ('twice before its task runs', True, 2, Reason.NO_MEMORY),
            ('not at all', True, 0, Reason.TIMED_OUT),
        ]
    )
    async def test_drop(self, _name, is_timed_out, drop_count, expected):
        receiver = incoming._RequestReceiver(
            _StuckParser(),
            ManualClock(1),
            SimpleNamespace(on_head=lambda *_, **_flags: None),
        )
        receiver.arrived_ms = 1
        reading = asyncio.create_task(incoming._receive(receiver, _LIMITS))
        while receiver.scope is None:
            await asyncio.sleep(0)
        if is_timed_out:
            receiver._expire_in(0)
            while not receiver.scope.expired():
                await asyncio.sleep(0)
        for _ in range(drop_count):
            receiver.drop()
        self.assertIs((await reading).reason, expected)


if __name__ == '__main__':
    unittest.main()
