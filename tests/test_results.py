"""Tests of the classification of outcomes for the dispatcher."""

import unittest

from parameterized import parameterized

from ibisjunction.dispatch.messages import ResultKind
from ibisjunction.outcomes import Answered, Failed, Reason, Refused
from ibisjunction.routing.results import classify_outcome

_SUCCEEDED = ResultKind.SUCCEEDED
_SHED = ResultKind.SHED
_FAILED = ResultKind.FAILED
_TIMED_OUT = ResultKind.TIMED_OUT
_UNREACHED = ResultKind.UNREACHED
_CANCELLED = ResultKind.CANCELLED


class ClassifyOutcomeTest(unittest.TestCase):
    """Guards against counting the faults of others against an upstream."""

    @parameterized.expand(
        [
            ('answer', Answered(200, 1), _SUCCEEDED),
            ('caller error', Answered(404, 1), _SUCCEEDED),
            ('server error', Answered(500, 1), _FAILED),
            ('shed', Refused(Reason.UPSTREAM_SHED), _SHED),
            ('fenced', Refused(Reason.UPSTREAM_FENCED), _CANCELLED),
            ('lease lost', Refused(Reason.NOT_LEASED), _CANCELLED),
            ('no connection', Refused(Reason.CONNECT_FAILED), _UNREACHED),
            ('lost', Failed(Reason.CONNECTION_LOST), _FAILED),
            ('late', Failed(Reason.DEADLINE_PASSED), _TIMED_OUT),
            ('caller left', Failed(Reason.CALLER_GONE), _CANCELLED),
        ]
    )
    def test_kind(self, _name, outcome, expected):
        self.assertIs(classify_outcome(outcome), expected)
