"""Explores the specification of grants by check-in."""

import unittest

from minicheck import check_safety
from parameterized import parameterized
from specs.check_in_grants import PARTS, Mistake, make_protocol

#: Above the size of each part; a part that outgrows it fails the test. Each
#: mistake shows within as many states.
_MAX_STATES = 100_000


class CheckInGrantsSpecTest(unittest.TestCase):
    """Guards against rules under which two upstreams hold a key (R1)."""

    @parameterized.expand([(part,) for part in PARTS])
    def test_rules_hold_in_every_state(self, part):
        found = check_safety(make_protocol(part), max_states=_MAX_STATES)
        self.assertTrue(found['exhaustive'])
        for name, outcome in found['properties'].items():
            self.assertTrue(outcome['holds'], name)

    @parameterized.expand(
        [
            (Mistake.CLOCK_TRUSTED, 'election', 'one holder'),
            (Mistake.HOLD_NOT_EXTENDED, 'division', 'one holder'),
            (Mistake.HOLDS_FORGOTTEN, 'election', 'one holder'),
            (Mistake.OLD_LEADER_ACTS, 'election', 'one holder'),
            (Mistake.SILENCE_IS_RELEASE, 'election', 'one holder'),
            (Mistake.FENCE_REUSED, 'election', 'fences grow'),
            (Mistake.FREED_BELIEVED, 'return', 'one holder'),
            (Mistake.PART_TOO_EARLY, 'division', 'one holder'),
        ]
    )
    def test_finds_mistake(self, mistake, part, invariant):
        """Guards against a specification that cannot fail."""
        protocol = make_protocol(part, mistake)
        found = check_safety(protocol, max_states=_MAX_STATES)
        self.assertIs(found['properties'][invariant]['holds'], False)


if __name__ == '__main__':
    unittest.main()
