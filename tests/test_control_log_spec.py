"""Explores the specification of the control log exhaustively."""

import unittest

from minicheck import check_safety
from parameterized import parameterized
from specs.control_log import Bounds, Mistake, make_protocol

#: More states than the rules have without a mistake; with more the test fails.
_MAX_STATES = 200_000
_TWO_TERMS = Bounds(terms=2, entries=1, crashes=1)
_THREE_TERMS = Bounds(terms=3, entries=1, crashes=1)
_THREE_TERMS_WITH_STOPS = Bounds(terms=3, entries=1, crashes=0, has_stops=True)
_FOUR_TERMS_WITH_STOPS = Bounds(terms=4, entries=1, crashes=0, has_stops=True)
_FENCES = Bounds(terms=2, entries=2, crashes=1, has_fences=True)

_ELECTION = 'election safety'
_LOSS = 'no committed entry is lost'
_FENCE = 'fences never repeat'


class ControlLogTest(unittest.TestCase):
    """Guards against a protocol that breaks an invariant in some step order."""

    @parameterized.expand(
        [('three terms', _THREE_TERMS), ('fences', _FENCES)],
    )
    def test_invariants_hold(self, _name, bounds):
        result = check_safety(make_protocol(bounds), _MAX_STATES)
        self.assertTrue(result['exhaustive'])
        for name, outcome in result['properties'].items():
            self.assertTrue(outcome['holds'], name)

    @parameterized.expand(
        [
            (Mistake.VOTE_TWICE, _TWO_TERMS, _ELECTION),
            (Mistake.VOTE_NOT_SYNCED, _TWO_TERMS, _ELECTION),
            (Mistake.MINORITY_LEADS, _TWO_TERMS, _ELECTION),
            (Mistake.LOG_NOT_COMPARED, _THREE_TERMS_WITH_STOPS, _LOSS),
            (Mistake.ENTRY_NOT_SYNCED, _TWO_TERMS, _LOSS),
            (Mistake.OLD_TERM_COMMITTED, _FOUR_TERMS_WITH_STOPS, _LOSS),
            (Mistake.COUNTER_NOT_SAVED, _FENCES, _FENCE),
        ]
    )
    def test_mistake_is_found(self, mistake, bounds, invariant):
        """Guards against an invariant that no mistake can break."""
        protocol = make_protocol(bounds, mistake)
        result = check_safety(protocol, _MAX_STATES)
        self.assertIs(result['properties'][invariant]['holds'], False)
