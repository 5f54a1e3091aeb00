"""Scenario files, planned arrivals and the calls built from them."""

import itertools
import unittest

from parameterized import parameterized

from ibisjunction.bench.arrivals import Phase, Stream, plan_arrivals
from ibisjunction.bench.demo import read_profile
from ibisjunction.bench.request_records import Kind
from ibisjunction.bench.scenario import (
    ScenarioError,
    list_scenarios,
    load_scenario,
    parse_scenario,
)
from ibisjunction.bench.workload import WORKLOADS, CallBuilder

_BASE = """
name = 'x'
[[phases]]
name = 'all'
length_ms = 1000
rates = { reads = 10 }
"""
_PHASES = (
    Phase('first', 2000, (Stream(Kind.READS, 100), Stream(Kind.WRITES, 20))),
    Phase('second', 1000, (Stream(Kind.READS, 10, urgent=True),)),
)


class ScenarioFileTest(unittest.TestCase):
    """Guards against scenarios that fail only after minutes of running."""

    @parameterized.expand([(name,) for name in list_scenarios()])
    def test_bundled_scenario_is_valid(self, name):
        scenario = load_scenario(name)
        self.assertEqual(scenario.name, name)
        valid_targets = {
            f'{kind.value}-{number}'
            for kind, count in scenario.fleet.upstreams.items()
            for number in range(1, count + 1)
        }
        valid_targets |= {
            f'vm-{number + 1}' for number in range(scenario.fleet.vms)
        }
        used_targets = {action.target for action in scenario.actions}
        self.assertLessEqual(used_targets, valid_targets | {'leader', ''})

    @parameterized.expand(
        [
            ('[[actions]]\nat_ms = 1\naction = "burn"', 'action'),
            ('[[actions]]\nat_ms = -1\naction = "kill"', 'at_ms'),
            ('[[actions]]\nat_ms = 1\naction = "crash-on"', 'prefix'),
            ('[fleet]\nvms = 500', 'vms'),
            ('speed = 3', 'speed'),
        ]
    )
    def test_error_names_the_field(self, extra, field):
        with self.assertRaisesRegex(ScenarioError, f'x.toml: .*{field}'):
            parse_scenario(f'{_BASE}{extra}', 'x.toml')


class ArrivalTest(unittest.TestCase):
    """Guards against arrivals that don't follow from the seed and phases."""

    def test_same_seed_same_plan(self):
        plans = [plan_arrivals(_PHASES, 50, ('a', 'b'), 7) for _ in range(2)]
        self.assertEqual(plans[0], plans[1])
        self.assertNotEqual(plans[0], plan_arrivals(_PHASES, 50, ('a',), 8))

    def test_arrivals_are_in_order_and_in_their_phase(self):
        plan = plan_arrivals(_PHASES, 50, ('a',), 7)
        times = [arrival.at_ms for arrival in plan]
        self.assertEqual(times, sorted(times))
        for arrival in plan:
            self.assertEqual(arrival.phase == 'first', arrival.at_ms < 2000)

    def test_keys_are_skewed(self):
        plan = plan_arrivals(_PHASES, 50, ('a',), 7)
        hottest = sum(arrival.key == 'key-0' for arrival in plan)
        self.assertGreater(hottest, 3 * len(plan) / 50)


class CallTest(unittest.TestCase):
    """Guards against calls that share a target or key, or have a wrong rank."""

    @parameterized.expand(sorted(WORKLOADS))
    def test_targets_and_idempotency_keys_are_unique(self, profile):
        workload = WORKLOADS[profile]
        builder = CallBuilder(workload, read_profile(profile), 1000, 7)
        plan = plan_arrivals(_PHASES, 5, workload.clients, 7)
        calls = [builder.build(arrival) for arrival in plan]
        targets = {planned.call.target for planned in calls}
        self.assertEqual(len(targets), len(calls))
        keys = [
            planned.idempotency_key
            for planned in calls
            if planned.call.method == 'POST'
        ]
        self.assertEqual(len(set(keys)), len(keys))
        self.assertTrue(all(keys))
        urgent = itertools.compress(
            calls,
            [arrival.stream.urgent for arrival in plan],
        )
        ranks = {planned.route.operation.rank.value for planned in urgent}
        self.assertEqual(ranks, {'urgent'})
