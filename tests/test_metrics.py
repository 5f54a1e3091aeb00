"""Tests of the metrics."""

import unittest

from parameterized import parameterized

from ibisjunction.mailbox import Mailbox
from ibisjunction.metrics import MetricsTask, ReadMetrics, RequestMeasured


class MetricsTaskTest(unittest.IsolatedAsyncioTestCase):
    """Guards against percentiles that hide slow requests."""

    async def asyncSetUp(self):
        task = MetricsTask()
        for duration_ms in (*range(1, 100), 5000):
            task.handle(
                RequestMeasured(
                    'mail-log',
                    'urgent',
                    'mail-1',
                    'answered',
                    duration_ms,
                ),
            )
        task.handle(
            RequestMeasured('mail-log', 'urgent', '', 'QUEUE_FULL', 0),
        )
        reply: Mailbox = Mailbox()
        task.handle(ReadMetrics(reply))
        self.text = (await reply.get()).decode()

    @parameterized.expand(
        [
            (
                'ibisjunction_request_ms{quantile="0.5",rank="urgent",'
                'service="mail-log"} 50.0',
            ),
            (
                'ibisjunction_request_ms_count{rank="urgent",'
                'service="mail-log"} 101.0',
            ),
            (
                'ibisjunction_upstream_request_ms_count'
                '{upstream="mail-1"} 100.0',
            ),
            (
                'ibisjunction_requests_total{outcome="QUEUE_FULL",rank="urgent",'
                'service="mail-log"} 1.0',
            ),
        ]
    )
    async def test_line(self, line):
        self.assertIn(line, self.text.splitlines())

    async def test_tail_shows_the_slow_request(self):
        tail = [
            line
            for line in self.text.splitlines()
            if 'upstream="mail-1"' in line and 'quantile="0.999"' in line
        ]
        self.assertGreaterEqual(float(tail[0].rpartition(' ')[2]), 5000)
