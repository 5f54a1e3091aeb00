"""Tests of the changes of voters."""

import unittest

from parameterized import parameterized

from ibisjunction.control.records import VoterRecord
from ibisjunction.coordination.voters import Joiner, plan_voters


def make_voters(*nodes):
    """Return voters whose names start with the names of their VMs."""
    return tuple(
        VoterRecord(node, node.partition('/')[0], node.partition('/')[0])
        for node in nodes
    )


class PlanVotersTest(unittest.TestCase):
    """Guards against a lost quorum and votes of replicas without their disk."""

    @parameterized.expand(
        [
            ('too few voters', 'a b c', 'd', '', 'a b c d'),
            ('enough', 'a b c d e', '', '', None),
            ('spare waits', 'a b c d e', 'f', '', None),
            (
                'spare replaces unresponsive voter',
                'a b c d e',
                'f',
                'b',
                'a c d e',
            ),
            ('unresponsive voter without spare', 'a b c d e', '', 'b', None),
            (
                'voter with lost disk is removed',
                'a b c d e',
                'b/1',
                '',
                'a c d e',
            ),
            (
                'replica on new disk is added',
                'a c d e',
                'b/1',
                '',
                'a c d e b/1',
            ),
            (
                'two lost disks, one voter at a time',
                'a b c d e',
                'b/1 c/1',
                '',
                'a c d e',
            ),
            (
                'voter with second lost disk waits',
                'a c d e',
                'b/1 c/1',
                '',
                'a c d e b/1',
            ),
            (
                'a voter that has just joined stays',
                'a c d e b/1',
                'b/1',
                '',
                None,
            ),
            ('only voter stays', 'a', 'a/1', '', None),
        ]
    )
    def test_plan(self, _name, voters, joiners, unresponsive, expected):
        planned = plan_voters(
            make_voters(*voters.split()),
            [Joiner(node, node.partition('/')[0]) for node in joiners.split()],
            unresponsive.split(),
            5,
        )
        if expected is None:
            self.assertIsNone(planned)
        else:
            self.assertEqual(planned, make_voters(*expected.split()))
