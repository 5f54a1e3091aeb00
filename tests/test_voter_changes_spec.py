"""Explores the specification of the replacement of a voter exhaustively."""

import unittest

from minicheck import check_safety
from parameterized import parameterized
from specs.voter_changes import Mistake, make_protocol

#: More states than the rules have without a mistake; with more the test fails.
_MAX_STATES = 400_000

_LOSS = 'no committed entry is lost'
_QUORUM = 'a quorum is left'


class VoterChangesTest(unittest.TestCase):
    """Guards against a replacement that is unsafe when it is cut short."""

    def test_invariants_hold(self):
        result = check_safety(make_protocol(), _MAX_STATES)
        self.assertTrue(result['exhaustive'])
        for name, outcome in result['properties'].items():
            self.assertTrue(outcome['holds'], name)

    @parameterized.expand(
        [
            (Mistake.REMOVED_FIRST, _QUORUM),
            (Mistake.STOPPED_EARLY, _QUORUM),
            (Mistake.CHANGES_OVERLAP, _LOSS),
            (Mistake.TWO_AT_ONCE, _QUORUM),
            (Mistake.LOG_NOT_COMPARED, _QUORUM),
        ]
    )
    def test_mistake_is_found(self, mistake, invariant):
        """Guards against an invariant that no mistake can break."""
        result = check_safety(make_protocol(mistake), _MAX_STATES)
        self.assertIs(result['properties'][invariant]['holds'], False)


if __name__ == '__main__':
    unittest.main()
