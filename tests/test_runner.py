"""Tests of the comparison with KNOWN-RED.txt."""

import unittest

from parameterized import parameterized

from tests.runner import find_disagreements


class FindDisagreementsTest(unittest.TestCase):
    """Guards against failures and stale entries that CI does not report."""

    @parameterized.expand(
        [
            ('all as listed', {'a'}, {'a'}, {'a', 'b'}, []),
            (
                'failure without an entry',
                set(),
                {'a'},
                {'a'},
                ['not in KNOWN-RED.txt: a'],
            ),
            (
                'pass with an entry',
                {'a'},
                set(),
                {'a'},
                ['listed but passes: a'],
            ),
            (
                'entry of a test not run',
                {'a'},
                set(),
                {'b'},
                ['listed but not run: a'],
            ),
        ]
    )
    def test_lines(self, _name, known_red, failed, run, expected):
        self.assertEqual(find_disagreements(known_red, failed, run), expected)
