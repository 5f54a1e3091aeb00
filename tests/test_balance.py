"""Tests of which upstream takes which shards."""

import unittest

from parameterized import parameterized

from ibisjunction.coordination.balance import choose_free, find_large
from ibisjunction.coordination.moves import plan_moves
from ibisjunction.coordination.service_view import Member, ServiceView
from ibisjunction.fleet.model import Shard, Upstream

NOW = 1000
SOON = NOW + 300
LATER = NOW + 900


def make_view(owners, rates, next_times=None, **fields):
    """Return a view: a shard of 10 keys for each letter of ``owners``.

    A dot is a shard without an owner; members are ``a``, ``b`` and ``c``.
    """
    times = next_times or {'a': LATER, 'b': SOON, 'c': LATER}
    members = tuple(
        Member(Upstream(name, 1, 's', f'{name}:1', 'z', 3), 10, next_ms)
        for name, next_ms in times.items()
    )
    shards = tuple(
        Shard(
            position * 10,
            position * 10 + 9,
            owner='' if owner == '.' else owner,
            born=0 if owner == '.' else 1,
        )
        for position, owner in enumerate(owners)
    )
    return ServiceView('s', shards, list(map(float, rates)), members, **fields)


class MoveTest(unittest.TestCase):
    """Guards against an uneven load that stays, and against flapping."""

    @parameterized.expand(
        [
            ('even', 'abc', (4, 4, 4), []),
            ('calm', 'aabc', (1, 1, 0.5, 0.5), []),
            ('busy', 'aaaabc', (2, 2, 2, 2, 1, 1), [('b', (0,))]),
            ('would only change places', 'abc', (8, 1, 1), []),
            ('taker without keys', 'aac', (1, 1, 1), [('b', (0, 10))]),
        ]
    )
    def test_move(self, _name, owners, rates, expected):
        view = make_view(owners, rates)
        self.assertEqual(self._find_moves(view), expected)

    def test_taker_checks_in_soon(self):
        """Guards against keys that wait for a check-in after they are free."""
        times = {'a': LATER, 'b': LATER, 'c': LATER}
        view = make_view('aaaabc', (2, 2, 2, 2, 1, 1), times)
        self.assertEqual(plan_moves(view, view.members[0], NOW), [])

    @parameterized.expand(
        [
            ('none', {}, [('b', (0,))]),
            ('a taker is promised another', {90: ('b', 1)}, [('c', (0,))]),
            ('the shard moved just before', {0: None}, [('b', (10,))]),
        ]
    )
    def test_moves_under_way(self, _name, under_way, expected):
        """Guards against shards that several owners give to an idle one.

        Seen on cdcg-ibis quiet-1: 11 shards went to one upstream at once, and
        a busy range changed hands six times in six seconds.
        """
        view = make_view(
            'aaaaaaaab.c',
            (2,) * 8 + (1, 4, 1),
            {'a': LATER, 'b': SOON, 'c': SOON},
            promised={first: to for first, to in under_way.items() if to},
            resting=frozenset(one for one, to in under_way.items() if not to),
        )
        self.assertEqual(self._find_moves(view), expected)

    @parameterized.expand(
        [
            ('beside others', 'aaabc', (9, 2, 2, 1, 1), [('b', (10, 20))]),
            (
                'on a slow owner',
                'aaabc',
                (14, 1, 1, 1, 1),
                [('b', (10, 20))],
            ),
        ]
    )
    def test_busy_shard_stays(self, _name, owners, rates, expected):
        """Guards against a wait of many requests where others can move."""
        view = make_view(owners, rates)
        self.assertEqual(self._find_moves(view), expected)

    def test_finely_divided_excess_moves(self):
        """Guards against an owner whose shards are each too small to move.

        Seen on cdcg-ibis trouble-2: the owner of a busy range was divided for
        12 s and gave away one shard, while a fifth of all reads was late.
        """
        view = make_view('a' * 20 + 'bc', (0.8,) * 20 + (1, 1))
        self.assertGreater(len(self._find_moves(view)), 0)

    def test_several_takers(self):
        """Guards against an excess that takes several check-ins to give up."""
        times = {'a': LATER, 'b': SOON, 'c': SOON}
        view = make_view('aaaaaabc', (1.5,) * 6 + (3, 3), times)
        takers = {taker for taker, _ in self._find_moves(view)}
        self.assertEqual(takers, {'b', 'c'})

    @parameterized.expand([(100, [('b', (0,))]), (0.1, [])])
    def test_chance_moves_nothing(self, weight_s, expected):
        """Guards against moves because of a few requests."""
        view = make_view('aaaabc', (2, 2, 2, 2, 1, 1), weight_s=weight_s)
        self.assertEqual(self._find_moves(view), expected)

    def _find_moves(self, view):
        return [
            (move.taker.upstream.upstream, move.firsts)
            for move in plan_moves(view, view.members[0], NOW)
        ]

    def test_busy_shard_is_divided(self):
        """Guards against a busy range that no upstream can take whole."""
        view = make_view('abc', (8, 1, 1))
        found = find_large(view, view.members[0])
        self.assertEqual([shard.first for shard in found], [0])


class TakeTest(unittest.TestCase):
    """Guards against free keys that nobody takes, or one takes all."""

    @parameterized.expand(
        [
            ('its share', '....', (), (), 0, 2),
            ('promised to it', '....', (), (0, 10, 20, 30), 0, 4),
            ('promised to others', '....', (0, 10, 20, 30), (), 0, 0),
            ('nobody else came', '....', (), (), 9, 4),
        ]
    )
    def test_taken(self, _name, owners, reserved, promised, waited, count):
        view = make_view(owners, (3, 3, 3, 3))
        taken = choose_free(view, view.members[0], reserved, promised, waited)
        self.assertEqual(len(taken), count)

    def test_neighbouring_shards_go_to_several_upstreams(self):
        """Guards against a busy region of keys that one upstream takes whole.

        Busy keys are close to one another, and nothing is known of them when
        the first upstream checks in.
        """
        view = make_view('.' * 60, (0.01,) * 60)
        taken = choose_free(view, view.members[0], (), (), 0)
        regions = {first // 100 for first in taken}
        self.assertEqual(regions, set(range(6)))
