"""Tests of the measured load of keys and of where shards are split."""

import unittest

from parameterized import parameterized

from ibisjunction.coordination.decay import BUCKETS, DecayedCounts
from ibisjunction.coordination.loads import Horizon, KeyLoad, LoadTracker
from ibisjunction.fleet.model import BUCKET_KEYS, LAST_KEY, Shard

#: Time of the first report.
_START_MS = 100_000


def make_tracker(requests):
    """Return a tracker after 20 s of reports, so that its rates are steady.

    :param requests: requests in each 100 ms, by bucket.
    """
    tracker = LoadTracker()
    for step in range(200):
        now = _START_MS + 100 * step
        tracker.record_load(KeyLoad('s', requests), now)
    return tracker


class SplitTest(unittest.TestCase):
    """Guards against a busy key that stays in one part with its neighbours."""

    @parameterized.expand(
        [
            ('one busy bucket', {3: 20}, 40, (24, 32)),
            ('busy at the start', {0: 20}, 40, (8,)),
            ('busy at the end', {9: 20}, 40, (72,)),
            ('even', {0: 4, 3: 4, 6: 4, 9: 4}, 90, (48,)),
            ('low load', {0: 1, 5: 1}, 90, ()),
            ('no requests', {}, 90, ()),
        ]
    )
    def test_split_keys(self, _name, requests, limit, expected):
        tracker = make_tracker(requests)
        found = tracker.find_split_keys('s', Shard(0, 79), limit, 8)
        self.assertEqual(found, expected)

    @parameterized.expand([(0, 0), (1, 1), (3, 3)])
    def test_count_is_limited(self, max_keys, count):
        """Guards against an answer to a check-in that grows too large.

        The answer lists each part that its receiver owns.
        """
        tracker = make_tracker(dict.fromkeys(range(10), 20))
        found = tracker.find_split_keys('s', Shard(0, 79), 40, max_keys)
        self.assertEqual(len(found), count)

    def test_keys_of_other_shards_do_not_count(self):
        tracker = make_tracker({0: 20, 5: 20})
        found = tracker.find_split_keys('s', Shard(8, 39), 40, 8)
        self.assertEqual(found, ())


class RateTest(unittest.TestCase):
    """Guards against load that is added to a neighbouring shard."""

    @parameterized.expand([(0,), (1,), (2,)])
    def test_load_counts_for_its_shard(self, position):
        shards = tuple(
            Shard(first, first + BUCKET_KEYS - 1)
            for first in range(0, 3 * BUCKET_KEYS, BUCKET_KEYS)
        )
        rates = make_tracker({position: 20}).rates_of('s', shards)
        busiest = max(range(3), key=rates.__getitem__)
        self.assertEqual(busiest, position)


class DecayTest(unittest.TestCase):
    """Guards against counts that drift, overflow or take long to update.

    Grown deployments: each report of an entry VM scaled the counts of all busy
    keys, and the leader handles hundreds of reports a second.
    """

    @parameterized.expand(
        [
            ('at once', 0, 40),
            ('one half-life', 800, 20),
            ('two half-lives', 1600, 10),
            ('an hour', 3_600_000, 0),
        ]
    )
    def test_requests_decay(self, _name, passed_ms, expected):
        counts = DecayedCounts(800)
        counts.add({5: 40}, _START_MS)
        counts.add({}, _START_MS + passed_ms)
        found = sum(counts.count_by_shard((LAST_KEY,)))
        self.assertAlmostEqual(found, expected, places=6)

    def test_counts_stay_exact_for_long(self):
        counts = DecayedCounts(800)
        for step in range(20_000):
            counts.add({5: 8, 7: 1}, _START_MS + 100 * step)
        first, second = counts.count_by_shard((6 * BUCKET_KEYS - 1, LAST_KEY))
        steady = 1 / (1 - 2 ** (-100 / 800))
        self.assertAlmostEqual(first, 8 * steady, places=6)
        self.assertAlmostEqual(second, steady, places=6)

    @parameterized.expand([(-1,), (BUCKETS,), (10**30,)])
    def test_unknown_bucket_is_ignored(self, bucket):
        counts = DecayedCounts(800)
        counts.add({bucket: 4, 0: 1}, _START_MS)
        found = sum(counts.count_by_shard((LAST_KEY,)))
        self.assertEqual(found, 1)

    def test_long_horizon_remembers_more(self):
        tracker = make_tracker({0: 20})
        end_ms = _START_MS + 20_000
        tracker.record_load(KeyLoad('s', {9: 1}), end_ms + 3000)
        shards = (Shard(0, 7), Shard(8, LAST_KEY))
        short, _ = tracker.rates_of('s', shards, Horizon.SHORT)
        long, _ = tracker.rates_of('s', shards, Horizon.LONG)
        self.assertGreater(long, 4 * short)


if __name__ == '__main__':
    unittest.main()
