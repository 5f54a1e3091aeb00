"""Tests of how busy keys are and where busy ranges are divided."""

import unittest

from parameterized import parameterized

from ibisjunction.coordination.loads import KeyLoad, LoadBook
from ibisjunction.fleet.model import BUCKET_KEYS, Shard

#: Long after this, one request each second has its full weight.
_START_MS = 100_000


def make_book(requests):
    """Return a book of buckets with so many requests in 100 ms each."""
    book = LoadBook()
    for step in range(200):
        now = _START_MS + 100 * step
        book.record(KeyLoad('s', requests), now)
    return book


class DivisionTest(unittest.TestCase):
    """Guards against a busy key that takes its neighbours along."""

    @parameterized.expand(
        [
            ('one busy bucket', {3: 20}, 40, (24, 32)),
            ('busy at the start', {0: 20}, 40, (8,)),
            ('busy at the end', {9: 20}, 40, (72,)),
            ('even', {0: 4, 3: 4, 6: 4, 9: 4}, 90, (48,)),
            ('calm', {0: 1, 5: 1}, 90, ()),
            ('no requests', {}, 90, ()),
        ]
    )
    def test_starts(self, _name, requests, limit, expected):
        book = make_book(requests)
        found = book.find_starts('s', Shard(0, 79), limit, 8)
        self.assertEqual(found, expected)

    @parameterized.expand([(0, 0), (1, 1), (3, 3)])
    def test_count_is_limited(self, most, count):
        """Guards against an answer to a check-in that grows too large."""
        book = make_book(dict.fromkeys(range(10), 20))
        found = book.find_starts('s', Shard(0, 79), 40, most)
        self.assertEqual(len(found), count)

    def test_other_shards_are_left_out(self):
        book = make_book({0: 20, 5: 20})
        found = book.find_starts('s', Shard(8, 39), 40, 8)
        self.assertEqual(found, ())


class RateTest(unittest.TestCase):
    """Guards against load that is counted for a neighbouring shard."""

    @parameterized.expand([(0,), (1,), (2,)])
    def test_load_counts_for_its_shard(self, position):
        shards = tuple(
            Shard(first, first + BUCKET_KEYS - 1)
            for first in range(0, 3 * BUCKET_KEYS, BUCKET_KEYS)
        )
        rates = make_book({position: 20}).rates_of('s', shards)
        busiest = max(range(3), key=rates.__getitem__)
        self.assertEqual(busiest, position)


if __name__ == '__main__':
    unittest.main()
