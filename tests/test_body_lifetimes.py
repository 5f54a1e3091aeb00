"""Tests that bodies and answers are freed without a garbage collection."""

import asyncio
import contextlib
import gc
import tracemalloc
import unittest
from dataclasses import dataclass, field

from parameterized import parameterized

from ibisjunction.byte_budget import ByteBudget
from ibisjunction.clock import SystemClock
from ibisjunction.entry.callers.server import CallerRoom, EntryServer
from ibisjunction.mailbox import Mailbox
from ibisjunction.platform.bodies import HEADERS
from ibisjunction.settings import Address
from tests.scripted import ScriptedUpstream
from tests.test_notices import EntryVm

_LARGE = 400_000
_COUNT = 6
#: Half of the bodies. The objects of the requests take less than 250 KB.
_MAX_KEPT_BYTES = _COUNT * _LARGE // 2
_FILES = ('*/ibisjunction/*', '*/tornado/*')


def _head(size, *fields, method='POST'):
    lines = (
        f'{method} / HTTP/1.1',
        'Host: x',
        'Attempt-Id: r1',
        f'Content-Length: {size}',
        *fields,
    )
    return '\r\n'.join((*lines, '', '')).encode()


async def _read_request(upstream, reader):
    """Read a request and its body without keeping it."""
    head = await upstream.read_head(reader)
    left = int(head.lower().split(b'content-length: ')[1].split(b'\r\n')[0])
    while left:
        left -= len(await reader.read(min(left, 65_536)))


def _reply(status, size, *fields):
    """Return a script that answers each request."""

    async def script(upstream, reader, writer):
        while True:
            await _read_request(upstream, reader)
            lines = (
                f'HTTP/1.1 {status} X',
                'Attempt-Id: r1',
                f'Content-Length: {size}',
                *fields,
            )
            writer.write('\r\n'.join((*lines, '', '')).encode())
            writer.write(bytes(size))
            await writer.drain()

    return script


async def _break_off(upstream, reader, writer):
    await _read_request(upstream, reader)
    writer.write(
        b'HTTP/1.1 200 X\r\nAttempt-Id: r1\r\nContent-Length: 900000\r\n\r\n'
        + bytes(_LARGE)
    )
    await writer.drain()


async def _close(upstream, reader, writer):
    await _read_request(upstream, reader)


async def _never_answer(upstream, reader, writer):
    await _read_request(upstream, reader)
    await reader.read()


async def _never_read(upstream, reader, writer):
    await upstream.read_head(reader)
    # Its buffer is full, so the end of the connection isn't seen.
    with contextlib.suppress(asyncio.CancelledError):
        await asyncio.sleep(60)


_SIGNED = 'Response-Signature: s'
_ANSWER = _reply(200, 2, _SIGNED)


@dataclass
class Case:
    """What the upstreams and one caller do.

    The caller sends ``sent`` bytes of a body of ``size``, reads to the end of
    the connection if ``reads`` is set, and leaves.
    """

    scripts: tuple = (_ANSWER,)
    size: int = _LARGE
    sent: int | None = None
    reads: bool = True
    fields: tuple = field(default_factory=tuple)
    room: int = 50_000_000


_CASES = [
    ('served', Case()),
    ('large answer', Case((_reply(200, _LARGE, _SIGNED),))),
    ('shed everywhere', Case((_reply(503, _LARGE, 'Not-Executed: 1'),))),
    ('failed', Case((_reply(500, _LARGE, _SIGNED),))),
    ('no route', Case(fields=('Host: y',))),
    ('time is over', Case((_never_answer,), fields=('Deadline-Ms: 300',))),
    ('time over, unread', Case((_never_read,), fields=('Deadline-Ms: 300',))),
    ('broken off', Case((_break_off,))),
    ('retried', Case((_close, _ANSWER))),
    ('retried when unread', Case((_close, _close))),
    ('gone in the body', Case(sent=_LARGE - 1, reads=False)),
    ('gone while served', Case((_never_answer,), reads=False)),
    ('gone while sent', Case((_never_read,), reads=False)),
    (
        'gone before the answer',
        Case((_reply(200, _LARGE, _SIGNED),), reads=False),
    ),
    ('no room', Case(room=_LARGE, sent=_LARGE - 1)),
]


@contextlib.contextmanager
def _without_collector():
    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        yield
    finally:
        tracemalloc.stop()
        gc.enable()


async def _wait_for_ends(readers):
    """Wait until as many connections of callers are open as before."""
    async with asyncio.timeout(30):
        while _count_readers() > readers:
            await asyncio.sleep(0.01)


def _count_readers():
    """Return how many connections of callers are open."""
    names = [str(task.get_coro()) for task in asyncio.all_tasks()]
    return sum('_read_requests' in name for name in names)


def _count_bytes():
    snapshot = tracemalloc.take_snapshot()
    only = [tracemalloc.Filter(True, pattern) for pattern in _FILES]
    stats = snapshot.filter_traces(only).statistics('lineno')
    return sum(stat.size for stat in stats), stats[:6]


class BodyLifetimeTest(unittest.IsolatedAsyncioTestCase):
    """Guards against bodies that stay until the next garbage collection."""

    @parameterized.expand(_CASES)
    async def test_nothing_is_kept(self, _name, case):
        async with contextlib.AsyncExitStack() as stack:
            addresses = [
                await stack.enter_async_context(ScriptedUpstream(script).run())
                for script in case.scripts
            ]
            vm = EntryVm(addresses, is_sharded=False, clock=SystemClock())
            await stack.enter_async_context(vm.run())
            room = CallerRoom(case.room, 100, ByteBudget(case.room))
            server = EntryServer(
                vm.processor,
                vm.clock,
                HEADERS,
                Address('127.0.0.1', 0),
                Mailbox(),
                room=room,
            )
            stack.push_async_callback(server.close)
            port = server.listen_to_callers()
            readers = _count_readers()
            await self.call(port, case)
            with _without_collector():
                before, _ = _count_bytes()
                for _ in range(_COUNT):
                    await self.call(port, case)
                await _wait_for_ends(readers)
                after, stats = _count_bytes()
        self.assertLess(after - before, _MAX_KEPT_BYTES, stats)

    async def call(self, port, case):
        """Send a body as the case says, and leave."""
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        sent = case.size if case.sent is None else case.sent
        writer.write(_head(case.size, *case.fields) + bytes(sent))
        with contextlib.suppress(OSError, TimeoutError):
            await writer.drain()
            if case.reads:
                # A caller that has its answer leaves before its time is over.
                async with asyncio.timeout(1):
                    await reader.read()
            else:
                await asyncio.sleep(0.05)
        writer.transport.abort()
