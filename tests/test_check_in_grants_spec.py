"""Explores the specification of grants in answers to check-ins."""

import unittest

from minicheck import check_safety
from parameterized import parameterized
from specs.check_in_grants import SCENARIOS, Mistake, make_protocol

#: More states than each scenario has; a scenario with more fails the test. Each
#: mistake breaks its invariant within as many states.
_MAX_STATES = 100_000


class CheckInGrantsSpecTest(unittest.TestCase):
    """Guards against rules under which two upstreams hold a key (R1)."""

    @parameterized.expand([(scenario,) for scenario in SCENARIOS])
    def test_invariants_hold(self, scenario):
        result = check_safety(make_protocol(scenario), max_states=_MAX_STATES)
        self.assertTrue(result['exhaustive'])
        for name, outcome in result['properties'].items():
            self.assertTrue(outcome['holds'], name)

    @parameterized.expand(
        [
            (Mistake.CLOCK_ERROR_IGNORED, 'election', 'one holder'),
            (Mistake.HOLD_NOT_EXTENDED, 'division', 'one holder'),
            (Mistake.EARLIER_HOLDS_IGNORED, 'election', 'one holder'),
            (Mistake.OLD_LEADER_ANSWERS, 'election', 'one holder'),
            (Mistake.FREED_UNREPORTED, 'election', 'one holder'),
            (Mistake.FENCE_REUSED, 'election', 'fences grow'),
            (Mistake.DELAYED_REPORT_ACCEPTED, 'return', 'one holder'),
            (Mistake.PART_HOLD_STALE, 'division', 'one holder'),
        ]
    )
    def test_mistake_is_found(self, mistake, scenario, invariant):
        """Guards against invariants that no mistake can break."""
        protocol = make_protocol(scenario, mistake)
        result = check_safety(protocol, max_states=_MAX_STATES)
        self.assertIs(result['properties'][invariant]['holds'], False)


if __name__ == '__main__':
    unittest.main()
