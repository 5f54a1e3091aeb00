"""Tests of how a daemon finds the control leader."""

import unittest

from ibisjunction.membership.leader import LeaderTracker

_VOTERS = ('a', 'b', 'c', 'd', 'e')


class LeaderTrackerTest(unittest.TestCase):
    """Guards against heartbeats to all voters at once, or to a lost leader."""

    def setUp(self):
        self.tracker = LeaderTracker(100)

    def test_heartbeats_go_to_the_leader_only(self):
        self.tracker.record_leader('b', 1, 1000)
        self.assertEqual(self.tracker.choose_targets(_VOTERS, 1299), {'b'})

    def test_all_voters_are_tried_after_the_timeout(self):
        self.tracker.record_leader('b', 1, 1000)
        receivers = set()
        for _ in range(3):
            targets = self.tracker.choose_targets(_VOTERS, 1300)
            self.assertEqual(len(targets), 2)
            receivers |= targets
        self.assertEqual(receivers, set(_VOTERS))

    def test_named_leader_gets_the_next_heartbeat(self):
        self.tracker.record_hint('e', 1)
        self.assertIn('e', self.tracker.choose_targets(_VOTERS, 0))

    def test_leader_of_earlier_term_is_ignored(self):
        self.tracker.record_leader('b', 2, 1000)
        self.tracker.record_leader('a', 1, 1001)
        self.tracker.record_hint('a', 1)
        self.assertEqual(self.tracker.find_leader(1002), 'b')
