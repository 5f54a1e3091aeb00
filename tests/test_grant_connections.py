"""Tests of sending grants over a persistent connection."""

import asyncio
import contextlib
import unittest

import msgspec
from parameterized import parameterized

from ibisjunction.clock import SystemClock
from ibisjunction.upstreams.grants import GrantConnections
from ibisjunction.upstreams.protocol import (
    GrantAnswer,
    GrantCall,
    UpstreamUnreachableError,
)

_CALL = GrantCall('vm-1', 1, 1, 1, None, 500, [])
_ANSWER = GrantAnswer(accepted=True, clock=7)
#: Long enough for an answer on a busy machine.
_TIMEOUT_MS = 10_000
#: For a call that gets no answer; the test waits for it.
_SILENT_TIMEOUT_MS = 50


class _Upstream:
    """Serves each connection with the next of ``behaviours``.

    They are ``answer``, ``silent``, ``close``, ``error`` (status 500) and
    ``invalid`` (a body that is not a grant answer).
    """

    def __init__(self, *behaviours) -> None:
        self._behaviours = list(behaviours)
        self.connections = 0

    @contextlib.asynccontextmanager
    async def run(self):
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        try:
            yield f'127.0.0.1:{port}'
        finally:
            server.close()

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        behaviour = self._behaviours.pop(0)
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while behaviour != 'close':
                await _read_request(reader)
                if behaviour == 'silent':
                    await reader.read()
                    break
                writer.write(_make_response(behaviour))
        writer.close()


async def _read_request(reader) -> None:
    head = await reader.readuntil(b'\r\n\r\n')
    for line in head.decode().lower().split('\r\n'):
        if line.startswith('content-length:'):
            await reader.readexactly(int(line.partition(':')[2]))


def _make_response(behaviour) -> bytes:
    status = b'500 Error' if behaviour == 'error' else b'200 OK'
    body = msgspec.json.encode(_ANSWER)
    if behaviour == 'invalid':
        body = b'{}'
    length = str(len(body)).encode()
    return b'HTTP/1.1 %b\r\nContent-Length: %b\r\n\r\n%b' % (
        status,
        length,
        body,
    )


async def _call_repeatedly(upstream, timeouts) -> list:
    """Return the answer to each call, ``None`` for a failure."""
    connections = GrantConnections(SystemClock())
    answers = []
    async with upstream.run() as address:
        for timeout_ms in timeouts:
            try:
                answer = await connections.send(address, _CALL, timeout_ms)
            except UpstreamUnreachableError:
                answer = None
            answers.append(answer)
        await connections.close()
    return answers


class PersistentConnectionTest(unittest.TestCase):
    """Guards against a connection per call and against reuse of a dead one."""

    def test_calls_share_a_connection(self):
        upstream = _Upstream('answer')
        answers = asyncio.run(
            _call_repeatedly(upstream, (_TIMEOUT_MS, _TIMEOUT_MS))
        )
        self.assertEqual(answers, [_ANSWER, _ANSWER])
        self.assertEqual(upstream.connections, 1)

    @parameterized.expand(
        [
            ('silent', _SILENT_TIMEOUT_MS),
            ('close', _TIMEOUT_MS),
            ('error', _TIMEOUT_MS),
        ]
    )
    def test_next_call_after_a_failure_connects_anew(
        self, behaviour, first_timeout_ms
    ):
        upstream = _Upstream(behaviour, 'answer')
        answers = asyncio.run(
            _call_repeatedly(upstream, [first_timeout_ms, _TIMEOUT_MS])
        )
        self.assertEqual(answers, [None, _ANSWER])
        self.assertEqual(upstream.connections, 2)

    def test_answer_that_is_not_valid_is_a_failure(self):
        answers = asyncio.run(
            _call_repeatedly(_Upstream('invalid'), [_TIMEOUT_MS])
        )
        self.assertEqual(answers, [None])

    def test_refused_connection_is_a_failure(self):
        answers = asyncio.run(_call_closed_port())
        self.assertEqual(answers, [None])


async def _call_closed_port() -> list:
    upstream = _Upstream()
    async with upstream.run() as address:
        closed_address = address
    upstream.run = lambda: contextlib.nullcontext(closed_address)
    return await _call_repeatedly(upstream, [_TIMEOUT_MS])
