"""Tests of a stand-in over HTTP, on a port that the kernel chooses."""

import asyncio
import tempfile
import unittest
from pathlib import Path

import msgspec
from parameterized import parameterized
from tornado.httpclient import AsyncHTTPClient
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer

from ibisjunction.bench.profile import ServiceTime, UpstreamProfile
from ibisjunction.bench.run_records import join_runs, read_events
from ibisjunction.bench.silent_connections import ConnectionRegistry
from ibisjunction.bench.upstream import make_answer, run_upstream
from ibisjunction.upstreams.protocol import GRANTS_PATH, GrantCall

_TARGET = '/mail-log/key'
_LENGTH = 100_000


def _make_profile(folder):
    return UpstreamProfile(
        upstream='up-1',
        service='mail-log',
        failure_domain='fd-1',
        slots=1,
        service_time=ServiceTime(0.1),
        download_bytes=_LENGTH,
        checks_fence=False,
        announce_to=(),
        token='',
        record_file=Path(folder) / 'runs.jsonl',
    )


class _Listener(TCPServer):
    def __init__(self, registry, accepted):
        super().__init__()
        self._registry = registry
        self._accepted = accepted

    async def handle_stream(self, stream, address):
        self._registry.add(stream)
        self._accepted.set_result(stream)


class AnswerTest(unittest.TestCase):
    """Guards against answers and records that the checks can't compare."""

    def test_answer_is_whole_and_recorded(self):
        async def run(profile):
            async with run_upstream(profile) as address:
                client = AsyncHTTPClient(force_instance=True)
                return await client.fetch(f'http://{address}{_TARGET}')

        with tempfile.TemporaryDirectory() as folder:
            profile = _make_profile(folder)
            response = asyncio.run(run(profile))
            runs = join_runs(read_events([profile.record_file]))
        self.assertEqual(response.body, make_answer(_TARGET, _LENGTH))
        self.assertEqual([run.result for run in runs], ['done'])
        self.assertEqual(runs[0].started.target, _TARGET)


class MisdirectedGrantsTest(unittest.TestCase):
    """Guards against grants that reach the successor of a frozen process."""

    def test_call_for_another_process_is_refused(self):
        async def run(profile):
            call = GrantCall('vm-1', 0, 1, 1, None, 500, [])
            async with run_upstream(profile) as address:
                client = AsyncHTTPClient(force_instance=True)
                return await client.fetch(
                    f'http://{address}{GRANTS_PATH}',
                    method='PUT',
                    body=msgspec.json.encode(call),
                    raise_error=False,
                )

        with tempfile.TemporaryDirectory() as folder:
            response = asyncio.run(run(_make_profile(folder)))
        self.assertEqual((response.code, response.body), (421, b''))


class SilenceTest(unittest.TestCase):
    """Guards against a peer that is notified when a connection is silenced."""

    @parameterized.expand([(True,), (False,)])
    def test_end_of_connection(self, silenced):
        async def run():
            registry = ConnectionRegistry()
            accepted = asyncio.get_running_loop().create_future()
            listener = _Listener(registry, accepted)
            sockets = bind_sockets(0, '127.0.0.1')
            listener.add_sockets(sockets)
            port = sockets[0].getsockname()[1]
            caller = await TCPClient().connect('127.0.0.1', port)
            stream = await accepted
            if silenced:
                self.assertEqual(registry.silence(), 1)
            else:
                stream.close()
            read = asyncio.ensure_future(caller.read_bytes(1))
            await asyncio.wait({read}, timeout=0.05)
            ended = read.done()
            registry.close()
            await asyncio.wait({read})
            listener.stop()
            return ended, registry.is_silenced(stream), read.exception()

        ended, is_silenced, error = asyncio.run(run())
        self.assertEqual(is_silenced, silenced)
        self.assertIsInstance(error, StreamClosedError)
        if silenced:
            self.assertFalse(ended)
