"""Tests of the comparison of placements."""

import random
import unittest

from parameterized import parameterized

from ibisjunction.bench.placement import compute_outcome, make_fleet
from ibisjunction.bench.placement_changes import list_changes
from ibisjunction.bench.placement_strategies import STRATEGIES

_CHANGES = tuple(change.name for change in list_changes(random.Random(1)))


def _compute_outcome(name, strategy):
    rng = random.Random(1)
    fleet = make_fleet(6, 3, rng)
    changes = {change.name: change for change in list_changes(rng)}
    return compute_outcome(fleet, changes[name], STRATEGIES[strategy])


class ComparisonTest(unittest.TestCase):
    """Guards against figures that do not match their definition."""

    @parameterized.expand(
        [
            (name, strategy)
            for name in ('leave', 'crash', 'drain')
            for strategy in STRATEGIES
        ]
    )
    def test_no_strategy_moves_less_than_the_minimum(self, name, strategy):
        outcome = _compute_outcome(name, strategy)
        self.assertGreaterEqual(outcome.moved, outcome.min_moved)
        self.assertGreater(outcome.min_moved, 0)

    @parameterized.expand([('leave',), ('crash',), ('drain',)])
    def test_planner_moves_only_keys_of_the_removed_upstream(self, name):
        outcome = _compute_outcome(name, 'planner')
        self.assertEqual(outcome.moved, outcome.min_moved)

    @parameterized.expand([(strategy,) for strategy in STRATEGIES])
    def test_same_seed_gives_the_same_outcome(self, strategy):
        self.assertEqual(
            _compute_outcome('join', strategy),
            _compute_outcome('join', strategy),
        )

    @parameterized.expand([('modulo',), ('consistent',)])
    def test_baselines_ignore_speed(self, strategy):
        self.assertEqual(_compute_outcome('speed', strategy).moved, 0)

    @parameterized.expand([('join',), ('speed',)])
    def test_planner_reduces_imbalance(self, name):
        """Guards against planned moves that the figures omit."""
        outcome = _compute_outcome(name, 'planner')
        self.assertGreater(outcome.moved, 0)
        self.assertLess(
            outcome.imbalance, _compute_outcome(name, 'modulo').imbalance
        )
