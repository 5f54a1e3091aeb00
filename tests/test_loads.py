"""Tests of the measured load of keys and of where shards are split."""

import unittest

from parameterized import parameterized

from ibisjunction.coordination.loads import KeyLoad, LoadTracker
from ibisjunction.fleet.model import BUCKET_KEYS, Shard

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


if __name__ == '__main__':
    unittest.main()
