"""Explores the specification of publications and compares the code to it."""

import itertools
import unittest

from minicheck import check_safety
from parameterized import parameterized
from specs.publication import BASES, Mistake, assign_revisions, make_protocol

from ibisjunction.control.commands import Accepted, PublishRevision
from ibisjunction.control.state import ControlState, apply_command

#: More states than the specification has; with more the test fails.
_MAX_STATES = 100_000


class PublicationSpecTest(unittest.TestCase):
    """Guards against a protocol under which a revision is lost or reverted."""

    def test_invariants_hold(self):
        result = check_safety(make_protocol(), max_states=_MAX_STATES)
        self.assertTrue(result['exhaustive'])
        for name, outcome in result['properties'].items():
            self.assertTrue(outcome['holds'], name)

    @parameterized.expand(
        [
            (Mistake.BASE_IGNORED, 'one publication per base is accepted'),
            (Mistake.ID_IGNORED, 'a resend gets the first outcome'),
            (Mistake.OLDER_SNAPSHOT_INSTALLED, 'a serving VM never reverts'),
            (Mistake.INDEX_IGNORED, 'in force after one lease'),
            (Mistake.LEASE_END_IGNORED, 'in force after one lease'),
        ]
    )
    def test_mistake_is_found(self, mistake, invariant):
        """Guards against an invariant that no mistake can break."""
        result = check_safety(make_protocol(mistake), max_states=_MAX_STATES)
        self.assertIs(result['properties'][invariant]['holds'], False)


class PublicationRefinementTest(unittest.TestCase):
    """Guards against code whose outcomes differ from the specification."""

    @parameterized.expand(
        [
            (''.join(ids),)
            for length in (1, 2, 3, 4)
            for ids in itertools.product(BASES, repeat=length)
        ]
    )
    def test_same_outcomes(self, ids):
        state = ControlState()
        outcomes = []
        for publication_id in ids:
            command = PublishRevision(
                BASES[publication_id], publication_id, {publication_id: ''}
            )
            state, outcome = apply_command(state, command)
            is_accepted = isinstance(outcome, Accepted)
            outcomes.append(outcome.revision if is_accepted else 0)
        self.assertEqual(outcomes, assign_revisions(ids))
