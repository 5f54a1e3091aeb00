"""Tests of the control state."""

import unittest
from dataclasses import replace

from hypothesis import given, seed, settings
from hypothesis import strategies as st
from parameterized import parameterized

from ibisjunction.control.codec import (
    decode_command,
    decode_state,
    encode_command,
    encode_state,
)
from ibisjunction.control.commands import (
    Accepted,
    AnnounceUpstream,
    AssignDispatcher,
    AssignShards,
    BeginMove,
    CompleteMove,
    DrainUpstream,
    PublishRevision,
    RegisterVm,
    Rejected,
    RemoveUpstream,
    RemoveVm,
)
from ibisjunction.control.state import ControlState, apply_command
from tests.samples import make_upstream, make_vm


def _apply_all(*commands):
    state = ControlState()
    for command in commands:
        state, _ = apply_command(state, command)
    return state


_BASE = (
    RegisterVm(make_vm()),
    AnnounceUpstream(make_upstream('up-1')),
    AnnounceUpstream(make_upstream('up-2')),
    AssignShards('mail-log', 'up-1', (0, 1)),
)


class ApplyCommandTest(unittest.TestCase):
    """Guards against a second owner and against reverted service files."""

    @parameterized.expand(
        [
            ('owned shard', AssignShards('mail-log', 'up-2', (1, 2))),
            ('unknown upstream', AssignShards('mail-log', 'up-9', (5,))),
            ('old fence', BeginMove('mail-log', 0, 99, 'up-2')),
            ('not owned', CompleteMove('mail-log', 7, 1)),
            ('owner removed', RemoveUpstream('up-1')),
            ('unknown VM', AssignDispatcher('up-1', 'vm-9')),
            ('drain of unknown upstream', DrainUpstream('up-9')),
            ('restarted VM', RemoveVm('vm-1', 7)),
            ('other epoch', AssignDispatcher('up-2', 'vm-1', 5)),
            ('old process', AnnounceUpstream(make_upstream(incarnation=0))),
        ]
    )
    def test_rejects_without_change(self, _name, command):
        state = _apply_all(*_BASE)
        after, outcome = apply_command(state, command)
        self.assertIsInstance(outcome, Rejected)
        self.assertEqual(after, state)

    @parameterized.expand(
        [
            ('removed', RemoveVm('vm-1', 1)),
            ('restarted', RegisterVm(replace(make_vm(), incarnation=2))),
        ]
    )
    def test_lost_vm_is_no_longer_dispatcher(self, _name, command):
        """Its tickets are lost, so a new epoch must start."""
        state = _apply_all(*_BASE, AssignDispatcher('up-1', 'vm-1'), command)
        self.assertEqual(state.dispatchers, {})

    @parameterized.expand(
        [
            ('same process', 1, False),
            ('new process', 2, True),
        ]
    )
    def test_drained_upstream_stays_removed(self, _name, incarnation, is_added):
        """Guards against requests to a process that keeps announcing itself."""
        record = make_upstream('up-2', incarnation=incarnation)
        state = _apply_all(
            *_BASE,
            DrainUpstream('up-2'),
            AnnounceUpstream(make_upstream('up-2')),
            RemoveUpstream('up-2'),
            AnnounceUpstream(record),
        )
        self.assertEqual('up-2' in state.upstreams, is_added)

    def test_renewed_announcement_does_not_end_a_drain(self):
        state = _apply_all(
            *_BASE,
            DrainUpstream('up-2'),
            AnnounceUpstream(make_upstream('up-2')),
        )
        self.assertTrue(state.upstreams['up-2'].draining)

    def test_move_gives_new_fence(self):
        state = _apply_all(
            *_BASE,
            BeginMove('mail-log', 0, 1, 'up-2'),
            CompleteMove('mail-log', 0, 1),
        )
        grant = state.grant_of('mail-log', 0)
        self.assertEqual((grant.upstream, grant.fence), ('up-2', 3))

    def test_one_of_two_racing_publications_wins(self):
        state = _apply_all(PublishRevision(0, 'first', {'a': '1'}))
        after, outcome = apply_command(
            state,
            PublishRevision(0, 'second', {'a': '2'}),
        )
        self.assertIsInstance(outcome, Rejected)
        self.assertIn('revision 1', outcome.detail)
        self.assertEqual(after.files, {'a': '1'})

    def test_resent_rejected_publication_stays_rejected(self):
        """A resend must not be accepted once its base revision exists."""
        early = PublishRevision(1, 'early', {'a': '0'})
        state, first = apply_command(ControlState(), early)
        self.assertIsInstance(first, Rejected)
        self.assertEqual((state.revision, state.files), (0, {}))
        state, _ = apply_command(state, PublishRevision(0, 'p', {'a': '1'}))
        after, resent = apply_command(state, early)
        self.assertEqual(resent, first)
        self.assertEqual(after, state)

    def test_resent_publication_gets_first_outcome(self):
        state = _apply_all(
            PublishRevision(0, 'first', {'a': '1'}),
            PublishRevision(1, 'second', {'a': '2'}),
        )
        after, outcome = apply_command(
            state,
            PublishRevision(0, 'first', {'a': '1'}),
        )
        self.assertEqual(outcome, Accepted(1))
        self.assertEqual(after.files, {'a': '2'})

    def test_latest_publications_are_stored(self):
        """The state must not grow with the number of publications."""
        commands = [
            PublishRevision(number, f'p-{number}', {}) for number in range(1100)
        ]
        state = _apply_all(*commands)
        self.assertEqual(len(state.publications), 1000)
        after, outcome = apply_command(state, commands[100])
        self.assertEqual((after, outcome), (state, Accepted(101)))
        after, outcome = apply_command(state, commands[99])
        self.assertIsInstance(outcome, Rejected)
        self.assertEqual(after.revision, state.revision)
        self.assertEqual(len(after.publications), 1000)


_upstreams = st.sampled_from(['up-1', 'up-2', 'up-3'])
_shards = st.integers(0, 3)
_commands = st.one_of(
    st.builds(AnnounceUpstream, st.builds(make_upstream, _upstreams)),
    st.builds(RemoveUpstream, _upstreams),
    st.builds(
        AssignShards,
        st.just('mail-log'),
        _upstreams,
        st.tuples(_shards),
    ),
    st.builds(
        BeginMove,
        st.just('mail-log'),
        _shards,
        st.integers(1, 12),
        _upstreams,
    ),
    st.builds(
        CompleteMove,
        st.just('mail-log'),
        _shards,
        st.integers(1, 12),
    ),
)


class FenceTest(unittest.TestCase):
    """Guards against fences that are issued twice or decrease."""

    @seed(1)
    @settings(max_examples=300, derandomize=True, database=None)
    @given(st.lists(_commands, max_size=30))
    def test_each_change_of_owner_has_a_higher_fence(self, commands):
        state = ControlState()
        for command in commands:
            before = state
            decoded = decode_command(encode_command(command))
            state, _ = apply_command(state, decoded)
            state = decode_state(encode_state(state))
            for shard in range(4):
                self._check_shard(before, state, shard)

    def _check_shard(self, before, after, shard):
        old = before.grant_of('mail-log', shard)
        new = after.grant_of('mail-log', shard)
        if new is None or (old is not None and old.fence == new.fence):
            return
        self.assertGreater(new.fence, before.last_fence)
        self.assertLessEqual(new.fence, after.last_fence)
