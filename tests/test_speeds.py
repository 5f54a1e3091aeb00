"""Tests of what upstreams are estimated to process."""

import unittest

from parameterized import parameterized

from ibisjunction.coordination.speeds import SpeedTracker, UpstreamSpeed
from ibisjunction.fleet.model import Upstream

UPSTREAM = Upstream('u1', 1, 's', '10.0.0.1:80', 'a', 3)


class CapacityTest(unittest.TestCase):
    """Guards against a busy upstream that seems slower than it is.

    Scenario scale-1 of cdcg-ibis: answers of busy upstreams spent three times
    their service time in a queue, so the upstreams seemed to be at 1.2 to 2.9
    times their capacity, and gave away 20 shards a second for a minute.
    """

    @parameterized.expand(
        [
            ('idle', 1, 200, 15),
            ('half used', 7, 200, 15),
            ('full, with a queue', 15, 800, 13.5),
            ('slow and idle', 1, 800, 3.75),
        ]
    )
    def test_capacity(self, _name, answers_per_s, latency_ms, expected):
        tracker = SpeedTracker()
        # Ten seconds of reports, so that the rate is steady.
        for now in range(0, 10_000, 1000):
            latencies = (latency_ms,) * answers_per_s
            tracker.record(UpstreamSpeed('u1', 1, latencies), now)
        mean = [tracker.capacity_of(UPSTREAM, 9000 + ms) for ms in range(1000)]
        self.assertAlmostEqual(sum(mean) / 1000, expected, delta=1)

    def test_unknown_upstream(self):
        self.assertEqual(SpeedTracker().capacity_of(UPSTREAM, 0), 15)

    def test_answers_of_another_process_do_not_count(self):
        tracker = SpeedTracker()
        tracker.record(UpstreamSpeed('u1', 2, (900,) * 24), 0)
        self.assertEqual(tracker.capacity_of(UPSTREAM, 0), 15)

    def test_forgets_processes(self):
        tracker = SpeedTracker()
        tracker.record(UpstreamSpeed('u1', 1, (600,) * 24), 0)
        tracker.retain(set())
        self.assertEqual(tracker.capacity_of(UPSTREAM, 0), 15)


if __name__ == '__main__':
    unittest.main()
