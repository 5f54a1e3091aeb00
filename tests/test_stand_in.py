"""Tests of the stand-in for an upstream."""

import asyncio
import io
import tempfile
import unittest
from pathlib import Path

from parameterized import parameterized

from ibisjunction.bench.faults import Report
from ibisjunction.bench.load_report import LoadReporter
from ibisjunction.bench.profile import ServiceTime, UpstreamProfile
from ibisjunction.bench.run_records import (
    RunEnded,
    RunStarted,
    RunWriter,
    join_runs,
    read_events,
)
from ibisjunction.bench.service_time import ServiceTimeSampler
from ibisjunction.bench.stand_in import (
    Fenced,
    Ran,
    Shed,
    StandIn,
    parse_request,
)
from ibisjunction.clock import ManualClock
from ibisjunction.upstreams.protocol import GrantCall, GrantedShard

_HEADERS = {'Ibis-Shard': 'mail-log/3', 'Ibis-Fence': '7'}


def _make_stand_in(**fields):
    profile = UpstreamProfile(
        **{
            'upstream': 'up-1',
            'service': 'mail-log',
            'failure_domain': 'fd-1',
            'slots': 1,
            'service_time': ServiceTime(0.001),
            'download_bytes': 8,
            'checks_fence': True,
            'announce_to': (),
            'token': '',
            'record_file': Path(),
            **fields,
        }
    )
    output = io.BytesIO()
    stand_in = StandIn(profile, ManualClock(1000), RunWriter(output))
    grants = [GrantedShard('mail-log', 3, 7)]
    stand_in.grants.accept(
        GrantCall('vm-1', 1000, 1, 1, 1000, 500, grants), 1000
    )
    return stand_in, output


def _make_request(stand_in, **headers):
    merged = {**_HEADERS, **headers}
    now = stand_in.clock.now()
    return parse_request('GET', '/mail-log/key', merged, b'', now)


class AdmissionTest(unittest.TestCase):
    """Guards against runs of requests that an upstream would refuse."""

    @parameterized.expand(
        [
            ('grant in force', {}, 0, {}, Ran()),
            ('older fence', {'Ibis-Fence': '6'}, 0, {}, Fenced()),
            ('other shard', {'Ibis-Shard': 'mail-log/4'}, 0, {}, Fenced()),
            ('lease ran out', {}, 500, {}, Fenced()),
            ('no check', {}, 500, {'checks_fence': False}, Ran()),
            ('no time left', {'Ibis-Deadline-Ms': '0'}, 0, {}, Shed()),
        ]
    )
    def test_admission(self, _name, headers, delay_ms, fields, expected):
        stand_in, output = _make_stand_in(**fields)
        stand_in.clock.advance(delay_ms)

        async def run():
            async with stand_in.run(
                _make_request(stand_in, **headers)
            ) as admission:
                return admission

        self.assertEqual(asyncio.run(run()), expected)
        lines = output.getvalue().count(b'\n')
        self.assertEqual(lines, 2 if expected == Ran() else 0)

    def test_sheds_on_demand(self):
        stand_in, _ = _make_stand_in()
        stand_in.faults.is_shedding = True
        self.assertEqual(stand_in.find_refusal(_make_request(stand_in)), Shed())

    def test_grant_is_checked_after_the_wait_for_a_slot(self):
        stand_in, _ = _make_stand_in()

        async def run():
            async with stand_in.run(_make_request(stand_in)):
                waiting = asyncio.create_task(enter())
                await asyncio.sleep(0)
                stand_in.clock.advance(500)
            return await waiting

        async def enter():
            async with stand_in.run(_make_request(stand_in)) as admission:
                return admission

        self.assertEqual(asyncio.run(run()), Fenced())


class ServiceTimeTest(unittest.TestCase):
    """Guards against times that ignore the seed or the cold period."""

    def test_same_seed_same_times(self):
        distribution = ServiceTime(4, 0.5, seed=3)
        drawn = [
            [times.draw(0) for _ in range(5)]
            for times in (
                ServiceTimeSampler(distribution, 0),
                ServiceTimeSampler(distribution, 0),
            )
        ]
        self.assertEqual(drawn[0], drawn[1])

    @parameterized.expand([(0, 40), (500, 25), (1000, 10), (5000, 10)])
    def test_cold_start_fades(self, age_ms, expected_ms):
        distribution = ServiceTime(10, cold_factor=4, cold_ms=1000)
        times = ServiceTimeSampler(distribution, 0)
        self.assertAlmostEqual(times.draw(age_ms), expected_ms)


class ReportTest(unittest.TestCase):
    """Guards against load reports that ignore a report fault."""

    @parameterized.expand(
        [(Report.ACCURATE, 2), (Report.LAGGING, 0), (Report.WRONG, 0)]
    )
    def test_load(self, report, expected):
        stand_in, _ = _make_stand_in()
        reporter = LoadReporter(stand_in)
        reporter.record_state()
        stand_in.running = 2
        stand_in.faults.report = report
        self.assertEqual(reporter.load().running, expected)


class RecordTest(unittest.TestCase):
    """Guards against runs that the checks don't see after a crash."""

    def test_run_cut_by_a_crash_has_no_end(self):
        started = [
            RunStarted(
                name, 'up-1', '', '', 'mail-log/3', 7, at_ms, 'GET', '/', ''
            )
            for name, at_ms in (('b', 20), ('a', 10))
        ]
        runs = join_runs([*started, RunEnded('a', 15, 'done')])
        self.assertEqual([run.ended_ms for run in runs], [15, None])

    def test_torn_line_is_left_out(self):
        output = io.BytesIO()
        RunWriter(output).write(RunEnded('a', 15, 'done'))
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'runs.jsonl'
            path.write_bytes(output.getvalue() * 2 + b'{"type":"ended","r')
            self.assertEqual(len(read_events([path])), 2)
