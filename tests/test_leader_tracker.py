"""Tests of how a daemon finds the control leader."""

import unittest

from ibisjunction.membership.leader import LeaderTracker

_VOTERS = ('a', 'b', 'c', 'd', 'e')


class LeaderTrackerTest(unittest.TestCase):
    """Guards against heartbeats to all voters, and to a lost leader."""

    def setUp(self):
        self.tracker = LeaderTracker(100)

    def test_known_leader_alone_is_asked(self):
        self.tracker.hear('b', 1, 1000)
        self.assertEqual(self.tracker.choose_targets(_VOTERS, 1299), {'b'})

    def test_silent_leader_is_looked_for_at_all_voters(self):
        self.tracker.hear('b', 1, 1000)
        asked = set()
        for _ in range(3):
            targets = self.tracker.choose_targets(_VOTERS, 1300)
            self.assertEqual(len(targets), 2)
            asked |= targets
        self.assertEqual(asked, set(_VOTERS))

    def test_named_leader_is_asked_at_once(self):
        self.tracker.take_hint('e', 1)
        self.assertIn('e', self.tracker.choose_targets(_VOTERS, 0))

    def test_leader_of_earlier_term_is_ignored(self):
        self.tracker.hear('b', 2, 1000)
        self.tracker.hear('a', 1, 1001)
        self.tracker.take_hint('a', 1)
        self.assertEqual(self.tracker.find(1002), 'b')
