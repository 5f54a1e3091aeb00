"""Tests of the terms that clients reach by renewals."""

import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from ibisjunction.bench.demo import read_profile
from ibisjunction.control.codec import decode_state, encode_state
from ibisjunction.control.commands import (
    Accepted,
    AnnounceUpstream,
    PublishRevision,
    Rejected,
    RenewTerms,
)
from ibisjunction.control.state import ControlState, apply_command
from ibisjunction.control.terms import (
    Renewal,
    apply_renewal,
    level_of,
    sum_reserved_slots,
)
from ibisjunction.services import TermsLevel, parse_service_file
from tests.samples import make_spec, make_upstream

_SPEC = replace(
    make_spec(),
    terms=(
        TermsLevel(1.0, 2, reserved_slots=0),
        TermsLevel(2.0, 3, reserved_slots=1),
        TermsLevel(4.0, 4, reserved_slots=2),
    ),
)
_FILE = read_profile('consorcio')['mail-log.toml']


class RenewTest(unittest.TestCase):
    """Guards against levels that rise twice, fall, or can't be met."""

    @parameterized.expand(
        [
            ('first', 'new', ['r1'], 9, 1),
            ('resent', 'new', ['r1', 'r1'], 9, 1),
            ('second', 'new', ['r1', 'r2'], 9, 2),
            ('at the highest level', 'new', ['r1', 'r2', 'r3'], 9, 2),
            ('from published level', 'tenant-a', ['r1'], 9, 2),
            ('fleet too small', 'new', ['r1', 'r2'], 1, 0),
            ('fleet too small for second', 'new', ['r1', 'r2'], 2, 1),
        ]
    )
    def test_level(self, _name, client, renewal_ids, fleet_slots, level):
        service_terms = {}
        for renewal_id in renewal_ids:
            renewal = Renewal('mail-log', client, renewal_id)
            service_terms = {
                **service_terms,
                client: apply_renewal(
                    _SPEC, service_terms, renewal, fleet_slots
                ),
            }
        self.assertEqual(level_of(_SPEC, service_terms, client), level)

    @settings(max_examples=200, derandomize=True, database=None)
    @given(
        st.lists(
            st.tuples(st.sampled_from('abcdef'), st.integers(0, 30)),
            max_size=40,
        ),
        st.integers(1, 8),
    )
    def test_reserved_slots_stay_within_the_fleet(self, renewals, fleet_slots):
        service_terms = {}
        for client, number in renewals:
            before = level_of(_SPEC, service_terms, client)
            renewal = Renewal('mail-log', client, str(number))
            service_terms = {
                **service_terms,
                client: apply_renewal(
                    _SPEC, service_terms, renewal, fleet_slots
                ),
            }
            self.assertGreaterEqual(
                level_of(_SPEC, service_terms, client), before
            )
        self.assertLessEqual(
            sum_reserved_slots(_SPEC, service_terms), fleet_slots
        )


class RenewTermsCommandTest(unittest.TestCase):
    """Guards against levels lost in a snapshot and against outdated terms."""

    def setUp(self):
        self.state = ControlState()
        self._apply(AnnounceUpstream(make_upstream(slots=9)))
        self._apply(PublishRevision(0, 'p', {'mail-log.toml': _FILE}))

    def _apply(self, command):
        self.state, outcome = apply_command(self.state, command)
        return outcome

    def test_renewal_survives_a_snapshot(self):
        self._apply(RenewTerms(Renewal('mail-log', 'c', 'r1')))
        self.state = decode_state(encode_state(self.state))
        outcome = self._apply(RenewTerms(Renewal('mail-log', 'c', 'r1')))
        self.assertEqual(outcome, Accepted(level=1))

    def test_new_terms_apply_at_once(self):
        for renewal_id in ('r1', 'r2'):
            self._apply(RenewTerms(Renewal('mail-log', 'c', renewal_id)))
        start = _FILE.rindex('[[terms]]')
        shorter = _FILE[:start] + '[clients]\n'
        self._apply(PublishRevision(1, 'q', {'mail-log.toml': shorter}))
        service_terms = self.state.terms['mail-log']
        spec = parse_service_file(shorter, 'mail-log.toml')
        self.assertEqual(level_of(spec, service_terms, 'c'), 1)

    def test_renewal_for_unknown_service_is_rejected(self):
        outcome = self._apply(RenewTerms(Renewal('other', 'c', 'r1')))
        self.assertIsInstance(outcome, Rejected)
