"""Tests of upstreams and key ranges as replicated state."""

import unittest
from dataclasses import replace
from unittest.mock import Mock, patch

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from ibisjunction.fleet.codec import decode_fleet, encode_fleet
from ibisjunction.fleet.commands import (
    AdmitUpstream,
    AdmitUpstreams,
    AssignShards,
    DivideKeys,
    ForgetUpstream,
    FreedShard,
    FreeShards,
    MarkDraining,
    ReleaseShards,
    SplitShard,
)
from ibisjunction.fleet.model import (
    BUCKET_KEYS,
    LAST_KEY,
    FleetState,
    Shard,
    Upstream,
)
from ibisjunction.fleet.rules import apply_fleet_command

FIRST = Upstream('u1', 10, 'reads', '10.0.0.1:80', 'a', 3)
SECOND = Upstream('u2', 20, 'reads', '10.0.0.2:80', 'b', 3)


def run(state, *commands):
    """Return the state after commands."""
    for command in commands:
        state = apply_fleet_command(state, command)[0]
    return state


def make_state():
    """Return two upstreams; the first owns both halves of the keys."""
    return run(
        FleetState(),
        AdmitUpstream(FIRST),
        AdmitUpstream(SECOND),
        DivideKeys('reads', 2),
        AssignShards('reads', 'u1', 10, (0, 32_768)),
    )


class OwnershipTest(unittest.TestCase):
    """Guards against a second or absent owner, and one without a new fence.

    Only a free shard may be assigned, and each assignment issues a new fence.
    """

    @parameterized.expand(
        [
            ('owned', (), 'u1'),
            ('releasing', (ReleaseShards('reads', (0,)),), 'u1'),
            ('freed', (FreeShards('reads', (FreedShard(0, 1),)),), 'u2'),
            (
                'freed under an older fence',
                (FreeShards('reads', (FreedShard(0, 0),)),),
                'u1',
            ),
            ('owner removed', (ForgetUpstream('u1', 10),), 'u2'),
            ('earlier process removed', (ForgetUpstream('u1', 9),), 'u1'),
        ]
    )
    def test_only_free_shards_are_assigned(self, _name, commands, owner):
        state = run(
            make_state(),
            *commands,
            AssignShards('reads', 'u2', 20, (0,)),
        )
        self.assertEqual(state.shards['reads'][0].owner, owner)

    @parameterized.expand(
        [
            ('draining', MarkDraining('u2', 20)),
            ('restarted', AdmitUpstream(replace(SECOND, born=30))),
            ('removed', ForgetUpstream('u2', 20)),
        ]
    )
    def test_no_shard_for_an_absent_process(self, _name, change):
        """Guards against shards assigned to a process that has left."""
        state = run(
            make_state(),
            FreeShards('reads', (FreedShard(0, 1),)),
            change,
            AssignShards('reads', 'u2', 20, (0,)),
        )
        self.assertEqual(state.shards['reads'][0].owner, '')

    @parameterized.expand(
        [
            ('same name', replace(FIRST, born=11, address='10.0.0.9:80')),
            (
                'same address',
                replace(SECOND, upstream='u9', address=FIRST.address),
            ),
        ]
    )
    def test_later_process_replaces(self, _name, later):
        """Guards against shards that stay with a process that has ended."""
        state = run(make_state(), AdmitUpstream(later))
        self.assertEqual(
            [shard.owner for shard in state.shards['reads']],
            ['', ''],
        )

    def test_earlier_process_does_not_return(self):
        """Guards against a delayed check-in of an earlier process."""
        state = run(make_state(), AdmitUpstream(replace(FIRST, born=5)))
        self.assertEqual(state.upstreams['u1'].born, 10)

    @parameterized.expand([(1,), (3,), (140,), (8192,)])
    def test_shards_begin_at_whole_buckets(self, count):
        """Guards against load that is attributed to a neighbouring shard.

        Load is measured per bucket. Scenario quiet-1 of cdcg-ibis: a bucket
        spanned two shards, so the owner of a key with a third of all requests
        appeared idle.
        """
        state = apply_fleet_command(
            FleetState(),
            DivideKeys('reads', count),
        )[0]
        firsts = [shard.first for shard in state.shards['reads']]
        self.assertEqual(len(firsts), count)
        self.assertEqual({first % BUCKET_KEYS for first in firsts}, {0})

    def test_split_keeps_owner_and_fence(self):
        """Guards against keys that are lost or change owner by a split."""
        state = run(make_state(), SplitShard('reads', 0, (100, 200)))
        rows = [
            (shard.first, shard.last, shard.owner, shard.fence)
            for shard in state.shards['reads']
        ]
        self.assertEqual(
            rows,
            [
                (0, 99, 'u1', 1),
                (100, 199, 'u1', 1),
                (200, 32_767, 'u1', 1),
                (32_768, LAST_KEY, 'u1', 1),
            ],
        )

    @parameterized.expand(
        [
            ('split', SplitShard('reads', 0, (8,)), 2),
            ('split in four', SplitShard('reads', 0, (8, 16, 24)), 4),
            ('split of no shard', SplitShard('reads', 4, (8,)), 0),
            ('release', ReleaseShards('reads', (0,)), 1),
            ('free', FreeShards('reads', (FreedShard(0, 1),)), 1),
            ('assignment', AssignShards('reads', 'u1', 10, (1024,)), 1),
        ],
    )
    def test_other_shards_are_kept(self, _name, command, made):
        """Guards against entries that take as long as there are shards.

        Each entry VM and each replica applies every entry, so one copy of each
        shard of a large service for every split occupied all of them.
        """
        state = run(
            FleetState(),
            AdmitUpstream(FIRST),
            DivideKeys('reads', 64),
            AssignShards('reads', 'u1', 10, (0,)),
        )
        kept = {id(shard) for shard in state.shards['reads']}
        after = run(state, command).shards['reads']
        self.assertEqual(sum(id(shard) not in kept for shard in after), made)

    @parameterized.expand(
        [
            ('split', SplitShard('reads', 0, (8,))),
            ('release', ReleaseShards('reads', (0,))),
            ('free', FreeShards('reads', (FreedShard(0, 1),))),
            ('assignment', AssignShards('reads', 'u1', 10, (1024,))),
        ],
    )
    def test_other_shards_are_not_examined(self, _name, command):
        """Guards against entries that look at each shard of a large service."""
        state = run(
            FleetState(),
            AdmitUpstream(FIRST),
            DivideKeys('reads', 1024),
            AssignShards('reads', 'u1', 10, (0,)),
        )
        field = Shard.__dict__['first']
        read = Mock(side_effect=field.__get__)
        counted = property(read, field.__set__)
        with patch.object(Shard, 'first', counted):
            run(state, command)
        self.assertLess(read.call_count, 64)


class LeavingTest(unittest.TestCase):
    """Guards against requests to a process that leaves, by a late admission."""

    @parameterized.expand(
        [
            ('same process', AdmitUpstream(replace(FIRST, slots=4)), True),
            ('in a batch', AdmitUpstreams((replace(FIRST, slots=4),)), True),
            (
                'in a batch with itself',
                AdmitUpstreams((FIRST, replace(FIRST, slots=4))),
                True,
            ),
            ('later process', AdmitUpstream(replace(FIRST, born=11)), False),
        ]
    )
    def test_mark_is_kept(self, _name, command, is_draining):
        state = run(make_state(), MarkDraining('u1', 10), command)
        self.assertEqual(state.upstreams['u1'].is_draining, is_draining)


class GeneratedTest(unittest.TestCase):
    """Guards against gaps, new owners with an old fence, and decode errors."""

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(
        st.lists(
            st.one_of(
                st.builds(
                    AssignShards,
                    st.just('reads'),
                    st.sampled_from(['u1', 'u2']),
                    st.sampled_from([10, 20]),
                    st.tuples(st.sampled_from([0, 500, 32_768])),
                ),
                st.builds(
                    SplitShard,
                    st.just('reads'),
                    st.sampled_from([0, 500]),
                    st.tuples(st.sampled_from([500, 900, 40_000])),
                ),
                st.builds(
                    ReleaseShards,
                    st.just('reads'),
                    st.tuples(st.sampled_from([0, 500])),
                ),
                st.builds(
                    FreeShards,
                    st.just('reads'),
                    st.tuples(
                        st.builds(
                            FreedShard,
                            st.sampled_from([0, 500, 32_768]),
                            st.integers(0, 5),
                        ),
                    ),
                ),
                st.builds(
                    ForgetUpstream,
                    st.sampled_from(['u1', 'u2']),
                    st.sampled_from([10, 20]),
                ),
                st.just(AdmitUpstream(FIRST)),
            ),
            max_size=20,
        ),
    )
    def test_invariants(self, commands):
        state = make_state()
        for command in commands:
            before = {shard.first: shard for shard in state.shards['reads']}
            state = run(state, command)
            shards = state.shards['reads']
            self.assertEqual(shards[0].first, 0)
            self.assertEqual(shards[-1].last, LAST_KEY)
            for left, right in zip(shards, shards[1:], strict=False):
                self.assertEqual(left.last + 1, right.first)
            for shard in shards:
                previous = before.get(shard.first)
                if previous and shard.owner and previous.owner != shard.owner:
                    self.assertGreater(shard.fence, previous.fence)
        self.assertEqual(decode_fleet(encode_fleet(state)), state)
