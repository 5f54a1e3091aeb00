"""Tests of the planner."""

import math
import unittest
from collections import Counter
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from ibisjunction.control.commands import (
    AnnounceUpstream,
    AssignDispatcher,
    BeginMove,
    CompleteMove,
    DrainUpstream,
    RegisterVm,
    RemoveUpstream,
    RemoveVm,
)
from ibisjunction.control.state import ControlState, apply_command
from ibisjunction.dispatch.speed import SpeedMeter
from ibisjunction.placement.planner import PlacementInput, plan_commands
from tests.samples import make_upstream, make_vm

_SHARDS = 64


class _Cluster:
    """Applies the commands of the planner; moves complete at once."""

    def __init__(self, upstreams, vms=4) -> None:
        self.state = ControlState()
        self.live_vms = frozenset(f'vm-{number}' for number in range(vms))
        for number, vm in enumerate(sorted(self.live_vms)):
            self.apply(RegisterVm(make_vm(vm, f'fd-{number % 2}')))
        self.speeds: dict[str, float] = {}
        self.lost: frozenset[str] = frozenset()
        self.peak_concurrent_moves = 0
        self.moved: Counter[int] = Counter()
        for number in range(upstreams):
            self.join(f'up-{number}')
        self.settle()
        self.moved.clear()

    def join(self, upstream) -> None:
        self.apply(AnnounceUpstream(make_upstream(upstream)))
        self.speeds[upstream] = 0

    def apply(self, command) -> None:
        self.state, _ = apply_command(self.state, command)

    def plan(self) -> list:
        ended = frozenset(
            grant.fence for grant in self.grants() if grant.moving_to
        )
        return plan_commands(
            PlacementInput(
                state=self.state,
                live_vms=self.live_vms,
                shards={'mail-log': _SHARDS},
                lost=self.lost & set(self.state.upstreams),
                expired=self.lost & set(self.state.upstreams),
                ended=ended,
                speeds=self.speeds,
            ),
        )

    def settle(self) -> None:
        """Plan until nothing is left to do."""
        for _ in range(200):
            commands = self.plan()
            if not commands:
                return
            for command in commands:
                if isinstance(command, BeginMove):
                    self.moved[command.shard] += 1
                self.apply(command)
            moving = [grant for grant in self.grants() if grant.moving_to]
            planned = [
                grant for grant in moving if grant.upstream not in self.lost
            ]
            self.peak_concurrent_moves = max(
                self.peak_concurrent_moves, len(planned)
            )
        raise AssertionError('the plan does not settle')

    def grants(self) -> list:
        return list(self.state.grants.get('mail-log', {}).values())

    def counts(self) -> Counter:
        return Counter(grant.upstream for grant in self.grants())


def _run(change) -> _Cluster:
    cluster = _Cluster(8)
    match change:
        case 'join':
            cluster.join('up-8')
        case 'drain':
            cluster.apply(DrainUpstream('up-3'))
        case 'crash':
            cluster.lost = frozenset({'up-3'})
        case 'faster':
            cluster.speeds = dict.fromkeys(cluster.speeds, 100.0)
            cluster.speeds['up-3'] = 300.0
    cluster.settle()
    return cluster


class MovementTest(unittest.TestCase):
    """Guards against moves that balance does not need (churn)."""

    @parameterized.expand(
        [
            # 64 shards on 8 upstreams are 8 each, on 9 they are 7 or 8.
            ('nothing', 0, 0),
            ('join', 7, 7),
            ('drain', 8, 8),
            ('crash', 8, 8),
            # Weights 3 and 7 times 1: the share of the faster is 19 of 64.
            ('faster', 9, 11),
        ]
    )
    def test_moved_shards(self, change, least, most):
        cluster = _run(change)
        self.assertTrue(least <= cluster.moved.total() <= most, cluster.moved)
        self.assertLessEqual(max(cluster.moved.values(), default=0), 1)
        self.assertEqual(len(cluster.grants()), _SHARDS)

    @parameterized.expand([(2,), (3,), (15,)])
    def test_join_gets_its_share(self, upstreams):
        """Guards against a new upstream that stays below its share.

        Its share is many shards, which takes more than one move. The load per
        weight may differ from the mean by a tenth.
        """
        cluster = _Cluster(upstreams)
        cluster.join('up-new')
        cluster.settle()
        share = _SHARDS / (upstreams + 1)
        counts = cluster.counts()
        self.assertGreaterEqual(counts['up-new'], 0.9 * share)
        self.assertLessEqual(max(counts.values()), math.ceil(1.1 * share))
        self.assertEqual(cluster.moved.total(), counts['up-new'])
        self.assertLessEqual(counts['up-new'], math.ceil(share))

    @parameterized.expand([('join',), ('drain',), ('faster',)])
    def test_few_moves_at_a_time(self, change):
        self.assertLessEqual(_run(change).peak_concurrent_moves, 4)

    @parameterized.expand([('drain',), ('crash',)])
    def test_leaving_upstream_is_removed(self, change):
        self.assertNotIn('up-3', _run(change).state.upstreams)

    def test_new_leader_moves_nothing_before_all_speeds_are_reported(self):
        cluster = _run('faster')
        before = cluster.counts()
        cluster.speeds = {'up-3': 300.0}
        cluster.settle()
        self.assertEqual(cluster.counts(), before)

    @settings(max_examples=100, derandomize=True, database=None)
    @given(
        st.lists(
            st.one_of(
                st.tuples(st.just('join'), st.integers(8, 12)),
                st.tuples(st.just('drain'), st.integers(0, 12)),
                st.tuples(st.just('speed'), st.integers(0, 12)),
            ),
            max_size=6,
        ),
    )
    def test_every_shard_keeps_an_owner(self, changes):
        cluster = _Cluster(3)
        for number, (change, upstream) in enumerate(changes):
            match change:
                case 'join':
                    cluster.join(f'up-{upstream}')
                case 'drain':
                    cluster.apply(DrainUpstream(f'up-{upstream}'))
                case 'speed':
                    cluster.speeds[f'up-{upstream}'] = 10.0 * (number + 1)
            cluster.settle()
            if cluster.state.upstreams:
                self.assertEqual(cluster.counts().total(), _SHARDS)


class LossPlanTest(unittest.TestCase):
    """Guards against a new owner while the former one may run requests."""

    @parameterized.expand(
        [
            ('moves at once', 2, False, BeginMove),
            ('no other upstream, lease runs', 1, False, None),
            ('no other upstream, lease ran out', 1, True, CompleteMove),
        ]
    )
    def test_lost_upstream(self, _name, upstreams, is_expired, expected):
        cluster = _Cluster(upstreams)
        lost = frozenset({'up-0'})
        commands = plan_commands(
            PlacementInput(
                state=cluster.state,
                live_vms=cluster.live_vms,
                shards={'mail-log': _SHARDS},
                lost=lost,
                expired=lost if is_expired else frozenset(),
            ),
        )
        kinds = {type(command) for command in commands}
        self.assertEqual(kinds, {expected} if expected else set())

    def test_moving_shard_of_a_lost_destination_is_reassigned(self):
        cluster = _Cluster(3)
        grant = next(
            grant for grant in cluster.grants() if grant.upstream == 'up-0'
        )
        cluster.apply(BeginMove('mail-log', grant.shard, grant.fence, 'up-1'))
        cluster.lost = frozenset({'up-1'})
        cluster.settle()
        self.assertNotIn('up-1', cluster.counts())

    def test_removes_only_an_upstream_without_shards(self):
        cluster = _Cluster(2)
        cluster.apply(DrainUpstream('up-0'))
        self.assertNotIn(RemoveUpstream('up-0'), cluster.plan())


class DispatcherTest(unittest.TestCase):
    """Guards against few VMs with many dispatchers, and needless moves."""

    def _count_by_vm(self, cluster) -> Counter:
        return Counter(
            record.vm for record in cluster.state.dispatchers.values()
        )

    def test_spread_over_vms_and_failure_domains(self):
        counts = self._count_by_vm(_Cluster(8))
        self.assertEqual(sorted(counts.values()), [2, 2, 2, 2])

    def test_lost_vm(self):
        cluster = _Cluster(8)
        before = dict(cluster.state.dispatchers)
        cluster.live_vms -= {'vm-1'}
        commands = cluster.plan()
        self.assertIn(RemoveVm('vm-1', 1), commands)
        cluster.settle()
        for upstream, record in before.items():
            after = cluster.state.dispatchers[upstream]
            self.assertEqual(after == record, record.vm != 'vm-1')
        self.assertLessEqual(max(self._count_by_vm(cluster).values()), 3)

    def test_new_vm_gets_its_share(self):
        cluster = _Cluster(8)
        cluster.live_vms |= {'vm-9'}
        cluster.apply(RegisterVm(make_vm('vm-9', 'fd-9')))
        moves = [
            command
            for command in cluster.plan()
            if isinstance(command, AssignDispatcher)
        ]
        self.assertEqual(len(moves), 1)
        cluster.settle()
        self.assertEqual(self._count_by_vm(cluster)['vm-9'], 1)

    def test_dispatcher_of_a_moving_shard_stays(self):
        cluster = _Cluster(1, vms=1)
        grant = cluster.grants()[0]
        cluster.join('up-1')
        cluster.apply(AssignDispatcher('up-1', 'vm-0'))
        cluster.apply(BeginMove('mail-log', grant.shard, grant.fence, 'up-1'))
        cluster.apply(RegisterVm(make_vm('vm-9')))
        cluster.live_vms |= {'vm-9'}
        moved = [
            command.upstream
            for command in cluster.plan()
            if isinstance(command, AssignDispatcher)
        ]
        self.assertEqual(moved, ['up-1'])


class SpeedMeterTest(unittest.TestCase):
    """Guards against moves caused by normal variation of the speed."""

    @parameterized.expand(
        [
            ('too few', [(10, 29)], 0),
            ('steady', [(10, 100)], 100),
            ('varies', [(10, 100), (12, 300), (9, 300)], 100),
            ('slower', [(10, 100), (20, 2000)], 50),
            ('faster', [(10, 100), (5, 2000)], 200),
        ]
    )
    def test_reported_speed(self, _name, runs, speed):
        meter = SpeedMeter()
        for service_ms, count in runs:
            for _ in range(count):
                meter.record(service_ms)
        # A reported speed within the hysteresis of the speed needs no change.
        self.assertTrue(speed / 1.3 <= meter.reported_speed <= speed * 1.3)


class DrainTest(unittest.TestCase):
    """Guards against new shards on a draining upstream (R6)."""

    def test_no_shard_is_assigned(self):
        cluster = _Cluster(2)
        record = replace(make_upstream('up-9'), draining=True)
        cluster.apply(AnnounceUpstream(record))
        cluster.lost = frozenset({'up-0'})
        cluster.settle()
        self.assertEqual(set(cluster.counts()), {'up-1'})
