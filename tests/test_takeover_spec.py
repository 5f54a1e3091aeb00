"""Checks the specification of hand-over and take-over exhaustively."""

import unittest

from minicheck import check_safety
from parameterized import parameterized
from specs.takeover import MISTAKES, build_model

#: Far above the size of each part; a part that outgrows it fails the test.
_MAX_STATES = 100_000


def _find_broken(part, mistake='') -> set[str]:
    result = check_safety(build_model(part, mistake), max_states=_MAX_STATES)
    assert result['exhaustive'], result
    return {
        name
        for name, verdict in result['properties'].items()
        if not verdict['holds']
    }


class TakeoverTest(unittest.TestCase):
    """Guards against rules under which a shard has two owners (R1)."""

    @parameterized.expand([('grants',), ('tickets',)])
    def test_invariants_hold(self, part):
        self.assertEqual(_find_broken(part), set())

    @parameterized.expand(
        [(name, *expected) for name, expected in MISTAKES.items()]
    )
    def test_mistake_is_found(self, mistake, part, invariant):
        """Guards against a specification that cannot fail."""
        self.assertIn(invariant, _find_broken(part, mistake))
