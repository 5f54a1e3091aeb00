"""Tests of the load generator, with servers in the same event loop."""

import asyncio
import contextlib
import tempfile
import unittest
from pathlib import Path

from parameterized import parameterized
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from ibisjunction.bench.arrivals import Phase, Stream, plan_arrivals
from ibisjunction.bench.balancer import Balancer
from ibisjunction.bench.checks import find_violations
from ibisjunction.bench.demo import read_profile
from ibisjunction.bench.deployment import VmAddresses
from ibisjunction.bench.experiment_records import ExperimentRecords
from ibisjunction.bench.load import LoadContext, run_balancer, run_load
from ibisjunction.bench.profile import ServiceTime, UpstreamProfile
from ibisjunction.bench.request_records import (
    Kind,
    read_requests,
    write_requests,
)
from ibisjunction.bench.run_records import join_runs, read_events
from ibisjunction.bench.upstream import run_upstream
from ibisjunction.bench.workload import WORKLOADS, CallBuilder
from ibisjunction.clock import SystemClock
from ibisjunction.verdict import Verdict

_ANSWER_BYTES = 128
_PHASES = (
    Phase(
        'all',
        100,
        (
            Stream(Kind.READS, 100),
            Stream(Kind.WRITES, 60),
            Stream(Kind.DOWNLOADS, 30),
        ),
    ),
)


def _plan():
    workload = WORKLOADS['guild']
    builder = CallBuilder(workload, read_profile('guild'), _ANSWER_BYTES, 3)
    return builder, plan_arrivals(_PHASES, 10, workload.clients, 3)


async def _send_to(address):
    builder, arrivals = _plan()
    balancer = Balancer([VmAddresses('vm-1', address, address, '')])
    async with run_balancer(balancer):
        await balancer.wait_until_ready()
        context = LoadContext(SystemClock(), balancer, builder)
        return await run_load(context, arrivals)


class _ReadyHandler(RequestHandler):
    def get(self):
        self.finish('ready')


class _CutHandler(RequestHandler):
    """Closes the connection before the answer or within it."""

    def initialize(self, received, sent_bytes):
        self._received = received
        self._sent_bytes = sent_bytes

    async def _cut(self):
        key = self.request.headers.get('Idempotency-Key', '')
        self._received.append((self.request.uri, key))
        if self._sent_bytes:
            self.set_header('Content-Length', str(_ANSWER_BYTES))
            self.write(b'x' * self._sent_bytes)
            await self.flush()
        self.request.connection.stream.close()

    get = _cut
    post = _cut


class _RefusalHandler(RequestHandler):
    def _refuse(self):
        self.set_status(503)
        self.set_header('Ibis-Verdict', 'not-run')
        self.finish('the queue is full: at the moment\n')

    get = _refuse
    post = _refuse


def _serve(handler, **fields):
    return _listen([('/ready', _ReadyHandler), ('/.*', handler, fields)])


@contextlib.asynccontextmanager
async def _listen(handlers):
    server = HTTPServer(Application(handlers, log_function=lambda _: None))
    sockets = bind_sockets(0, '127.0.0.1')
    server.add_sockets(sockets)
    yield f'127.0.0.1:{sockets[0].getsockname()[1]}'
    server.stop()
    await server.close_all_connections()


class AnsweredTest(unittest.TestCase):
    """Guards against lost requests and records that differ from the runs."""

    def test_each_request_runs_once_and_is_whole(self):
        async def run(profile):
            async with run_upstream(profile) as address:
                return await _send_to(address)

        with tempfile.TemporaryDirectory() as folder:
            profile = UpstreamProfile(
                upstream='up-1',
                service='motions',
                failure_domain='fd-1',
                slots=4,
                service_time=ServiceTime(0.1),
                download_bytes=_ANSWER_BYTES,
                checks_fence=False,
                announce_to=(),
                token='',
                record_file=Path(folder) / 'runs.jsonl',
            )
            requests = asyncio.run(run(profile))
            runs = join_runs(read_events([profile.record_file]))
            path = Path(folder) / 'requests.jsonl'
            write_requests(path, requests)
            self.assertEqual(read_requests(path), requests)
        _, arrivals = _plan()
        self.assertEqual(len(requests), len(arrivals))
        targets = {request.target for request in requests}
        ran = {run.started.target for run in runs} - {'/ready'}
        self.assertEqual(ran, targets)
        records = ExperimentRecords(requests=tuple(requests))
        self.assertEqual(find_violations(records), [])
        self.assertTrue(all(request.latency_us > 0 for request in requests))


class MissingAnswerTest(unittest.TestCase):
    """Guards against an incomplete answer that is recorded as an answer."""

    @parameterized.expand([(0, 'connection lost'), (7, 'answer cut')])
    def test_resent_under_the_same_key(self, sent_bytes, reason):
        received = []

        async def run():
            fields = {'received': received, 'sent_bytes': sent_bytes}
            async with _serve(_CutHandler, **fields) as address:
                return await _send_to(address)

        requests = asyncio.run(run())
        for request in requests:
            self.assertEqual(len(request.attempts), 4)
            for attempt in request.attempts:
                self.assertEqual(attempt.status, 0)
                self.assertEqual(attempt.digest, '')
                self.assertEqual(attempt.reason, reason)
            sent = (request.target, request.idempotency_key)
            self.assertEqual(received.count(sent), 4)


class RefusalTest(unittest.TestCase):
    """Guards against refusals that are sent again or that checks can't see."""

    def test_refusal_is_final(self):
        async def run():
            async with _serve(_RefusalHandler) as address:
                return await _send_to(address)

        for request in asyncio.run(run()):
            self.assertEqual(len(request.attempts), 1)
            attempt = request.attempts[0]
            self.assertEqual(attempt.status, 503)
            self.assertEqual(attempt.verdict, Verdict.NOT_RUN)
            self.assertEqual(attempt.reason, 'the queue is full')


class _HangingHandler(RequestHandler):
    """Answers the first request only."""

    def initialize(self, answered):
        self._answered = answered

    async def get(self):
        if self._answered.is_set():
            await asyncio.Event().wait()
        self._answered.set()
        self.finish('ready')


async def _wait_until_no_vm_is_ready(balancer):
    while balancer.choose():
        await asyncio.sleep(0.01)


class ReadinessTest(unittest.TestCase):
    """Guards against a VM that stays in use although it no longer answers."""

    def test_silent_vm_is_taken_out(self):
        async def run():
            handlers = [('/ready', _HangingHandler, {'answered': answered})]
            async with _listen(handlers) as address:
                balancer = Balancer([VmAddresses('vm-1', '', address, '')])
                async with run_balancer(balancer):
                    await balancer.wait_until_ready()
                    await _wait_until_no_vm_is_ready(balancer)

        answered = asyncio.Event()
        asyncio.run(asyncio.wait_for(run(), 30))
        self.assertTrue(answered.is_set())
