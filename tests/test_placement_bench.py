"""Tests of the comparison of placements."""

import random
import unittest

from parameterized import parameterized

from ibisjunction.bench.placement import make_fleet, measure
from ibisjunction.bench.placement_changes import list_changes
from ibisjunction.bench.placement_ways import WAYS

_CHANGES = tuple(change.name for change in list_changes(random.Random(1)))


def _measure(name, way):
    rng = random.Random(1)
    fleet = make_fleet(6, 3, rng)
    changes = {change.name: change for change in list_changes(rng)}
    return measure(fleet, changes[name], WAYS[way])


class ComparisonTest(unittest.TestCase):
    """Guards against figures that do not say what their heading says."""

    @parameterized.expand(
        [(name, way) for name in ('leave', 'crash', 'drain') for way in WAYS]
    )
    def test_no_way_moves_less_than_the_least(self, name, way):
        outcome = _measure(name, way)
        self.assertGreaterEqual(outcome.moved, outcome.least)
        self.assertGreater(outcome.least, 0)

    @parameterized.expand([('leave',), ('crash',), ('drain',)])
    def test_planner_moves_only_what_the_leaver_had(self, name):
        outcome = _measure(name, 'planner')
        self.assertEqual(outcome.moved, outcome.least)

    @parameterized.expand([(way,) for way in WAYS])
    def test_same_numbers_give_the_same_outcome(self, way):
        self.assertEqual(_measure('join', way), _measure('join', way))

    @parameterized.expand([('modulo',), ('consistent',)])
    def test_baselines_ignore_speed(self, way):
        self.assertEqual(_measure('speed', way).moved, 0)

    @parameterized.expand([('join',), ('speed',)])
    def test_planner_evens_out(self, name):
        """Guards against planned moves that the figures leave out."""
        outcome = _measure(name, 'planner')
        self.assertGreater(outcome.moved, 0)
        self.assertLess(outcome.imbalance, _measure(name, 'modulo').imbalance)
