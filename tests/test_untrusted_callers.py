"""Tests with callers that are not under control, against real processes.

The crowds and the bounds are fixed; see ``tests/crowds.py``.
"""

import unittest

from parameterized import parameterized

from tests.crowds import (
    MAX_BODY_BYTES,
    MAX_DESCRIPTORS,
    MEMORY_MB,
    AwaitedBodies,
    BodiesBehindBodies,
    BodiesCutShort,
    ChunkedBodies,
    Crowd,
    EndlessHeads,
    Size,
    UnreadAnswers,
    ask,
    ask_once,
    run_server,
    watch,
)

_CALLERS = 'entry callers'
_READINESS = 'entry readiness'
_ENTRY_METRICS = 'entry metrics'
_CONTROL = 'control calls'
_CONTROL_METRICS = 'control metrics'
_HALF = MAX_BODY_BYTES // 2
_DAEMON = 'daemon callers'
_DAEMON_ADMIN = 'daemon admin'


class CrowdTest(unittest.IsolatedAsyncioTestCase):
    """Guards against processes that a crowd of callers ends.

    A trial: many large bodies of legal size, most of which stopped just short
    of their end, took a process over the memory of its machine.
    """

    @parameterized.expand(
        [
            ('callers, bodies cut short', _CALLERS, BodiesCutShort()),
            ('callers, chunked bodies', _CALLERS, ChunkedBodies()),
            ('callers, tiny chunks', _CALLERS, ChunkedBodies(8, 40_000, 2)),
            ('callers, awaited bodies', _CALLERS, AwaitedBodies()),
            ('callers, endless heads', _CALLERS, EndlessHeads()),
            ('callers, unread answers', _CALLERS, UnreadAnswers()),
            ('callers, bodies behind', _CALLERS, BodiesBehindBodies()),
            ('readiness, bodies cut short', _READINESS, BodiesCutShort()),
            ('readiness, endless heads', _READINESS, EndlessHeads()),
            ('entry metrics, cut short', _ENTRY_METRICS, BodiesCutShort()),
            ('control, bodies cut short', _CONTROL, BodiesCutShort()),
            ('control, chunked bodies', _CONTROL, ChunkedBodies()),
            ('control, awaited bodies', _CONTROL, AwaitedBodies()),
            ('control, endless heads', _CONTROL, EndlessHeads()),
            ('control, bodies behind', _CONTROL, BodiesBehindBodies()),
            ('control metrics, cut short', _CONTROL_METRICS, BodiesCutShort()),
            ('daemon callers, cut short', _DAEMON, BodiesCutShort()),
            ('daemon admin, cut short', _DAEMON_ADMIN, BodiesCutShort()),
            ('control, half as large', _CONTROL, BodiesCutShort(48, _HALF)),
            (
                'callers, many bodies, large heads',
                _CALLERS,
                BodiesCutShort(240),
                Size(max_header_bytes=65_536),
            ),
        ]
    )
    async def test_process_survives(self, _name, server_name, kind, size=None):
        async with (
            run_server(server_name, MAX_BODY_BYTES, size) as server,
            watch(server) as peaks,
            Crowd(kind, server).run(),
        ):
            status = await ask(server)
        self.assertTrue(peaks.is_alive, peaks)
        self.assertEqual(status, server.ordinary_status, peaks)
        self.assertLessEqual(peaks.memory_mb, MEMORY_MB, peaks)
        self.assertLessEqual(peaks.descriptors, MAX_DESCRIPTORS, peaks)


class LargestBodyTest(unittest.IsolatedAsyncioTestCase):
    """Guards against limits that refuse a body that the pages allow.

    The largest body of the operators' limits has to pass on the smallest VM,
    while nothing else is asked of it.
    """

    async def test_largest_body_on_smallest_vm(self):
        size = Size(memory_mb=160, max_body_bytes=64 * 1024 * 1024)
        async with (
            run_server(_CALLERS, 2, size) as server,
            watch(server) as peaks,
        ):
            status = await ask_once(
                server.host,
                server.port,
                'POST',
                '/d/small',
                bytes(size.max_body_bytes),
                60_000,
            )
        self.assertEqual(status, 200, peaks)
        self.assertLessEqual(peaks.memory_mb, size.memory_mb, peaks)
