"""Explores the specification of hand-over and take-over exhaustively."""

import unittest

from minicheck import check_safety
from parameterized import parameterized
from specs.takeover import MISTAKES, make_protocol

#: Far more states than each scenario has; a scenario with more fails the test.
_MAX_STATES = 100_000


def _find_broken_invariants(scenario, mistake='') -> set[str]:
    result = check_safety(
        make_protocol(scenario, mistake), max_states=_MAX_STATES
    )
    assert result['exhaustive'], result
    return {
        name
        for name, outcome in result['properties'].items()
        if not outcome['holds']
    }


class TakeoverTest(unittest.TestCase):
    """Guards against rules under which a shard has two owners (R1)."""

    @parameterized.expand([('grants',), ('tickets',)])
    def test_invariants_hold(self, scenario):
        self.assertEqual(_find_broken_invariants(scenario), set())

    @parameterized.expand(
        [(name, *expected) for name, expected in MISTAKES.items()]
    )
    def test_mistake_is_found(self, mistake, scenario, invariant):
        """Guards against invariants that no mistake can break."""
        self.assertIn(invariant, _find_broken_invariants(scenario, mistake))
