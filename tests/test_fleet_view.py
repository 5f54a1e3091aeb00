"""Tests of what a new view of the fleet costs an entry VM."""

import unittest

from parameterized import parameterized

from ibisjunction.catalogue.model import Item, ItemType, ItemUpdate, Service
from ibisjunction.entry.following.view import FleetView
from ibisjunction.entry.tickets.cold_changes import find_cold_changes
from ibisjunction.fleet.commands import (
    AdmitUpstream,
    AssignShards,
    DivideKeys,
    ForgetUpstream,
    FreedShard,
    FreeShards,
    MarkCold,
    MarkDraining,
    ReleaseShards,
    SplitShard,
    UpdateItems,
)
from ibisjunction.fleet.evacuations import EvacuateDomain, RestoreDomain
from ibisjunction.fleet.model import FleetState, Upstream
from ibisjunction.fleet.rules import apply_fleet_command

_UPSTREAMS = tuple(
    Upstream(f'u{one}', 1, 'reads', f'10.0.0.{one}:80', 'ab'[one % 2], 3)
    for one in range(40)
)


def run(state, *commands):
    """Return the state after commands."""
    for command in commands:
        state = apply_fleet_command(state, command)[0]
    return state


def make_state():
    """Return upstreams in several groups, of which the first owns a shard."""
    return run(
        FleetState(),
        *map(AdmitUpstream, _UPSTREAMS),
        DivideKeys('reads', 64),
        AssignShards('reads', 'u0', 1, (0,)),
        EvacuateDomain('c', 'order-1'),
    )


class SharedIndexTest(unittest.TestCase):
    """Guards against an index of all upstreams for each committed entry.

    Most entries move keys. Each entry VM applies each of them, so what one
    costs is taken from requests on all VMs.
    """

    @parameterized.expand(
        [
            ('assignment', AssignShards('reads', 'u1', 1, (1024,)), True),
            ('release', ReleaseShards('reads', (0,)), True),
            ('free', FreeShards('reads', (FreedShard(0, 1),)), True),
            ('split', SplitShard('reads', 0, (8,)), True),
            ('departure', MarkDraining('u0', 1), False),
            ('cold', MarkCold((('u0', 1),)), False),
            ('forgotten', ForgetUpstream('u0', 1), False),
            ('admission', AdmitUpstream(_UPSTREAMS[0]), False),
            ('evacuation', EvacuateDomain('a', 'order-2'), False),
            ('return', RestoreDomain('c', 'order-3'), False),
        ]
    )
    def test_index(self, _name, command, is_shared):
        before = FleetView(make_state(), 1)
        state = run(before.state, command)
        after = FleetView(state, 2, before)
        index = after.upstream_index
        self.assertEqual(index is before.upstream_index, is_shared)
        self.assertEqual(index, FleetView(state, 2).upstream_index)

    @parameterized.expand(
        [
            ('cold', MarkCold((('u0', 1),)), ['u0']),
            ('assignment', AssignShards('reads', 'u1', 1, (1024,)), []),
        ]
    )
    def test_cold_changes(self, _name, command, expected):
        """Guards against a cold upstream that is overlooked."""
        service = Item(
            ItemType.SERVICE,
            'reads',
            1,
            '{}',
            service=Service('/health', 100, is_sharded=True, warmup_ms=0),
        )
        state = run(make_state(), UpdateItems(ItemUpdate((service,))))
        before = FleetView(state, 1)
        after = FleetView(run(state, command), 2, before)
        changed = [
            change.upstream.upstream
            for change in find_cold_changes(before, after)
        ]
        self.assertEqual(changed, expected)
