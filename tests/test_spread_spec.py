"""Explores the specification of confirmed changes."""

import unittest

from minicheck import check_safety
from parameterized import parameterized
from specs.spread import Mistake, make_protocol

#: More states than the specification has; with more the test fails.
_MAX_STATES = 100_000
_INVARIANT = 'confirmed changes are in force'


class SpreadSpecTest(unittest.TestCase):
    """Guards against requests to an upstream that was allowed to leave (R5).

    The same rules prevent an entry VM from using items that were replaced.
    """

    def test_invariants_hold(self):
        result = check_safety(make_protocol(), max_states=_MAX_STATES)
        self.assertTrue(result['exhaustive'])
        self.assertTrue(result['properties'][_INVARIANT]['holds'])

    @parameterized.expand(
        [(mistake,) for mistake in Mistake if mistake is not Mistake.NONE]
    )
    def test_mistake_is_found(self, mistake):
        """Guards against an invariant that no mistake can break."""
        protocol = make_protocol(mistake)
        result = check_safety(protocol, max_states=_MAX_STATES)
        self.assertIs(result['properties'][_INVARIANT]['holds'], False)


if __name__ == '__main__':
    unittest.main()
