"""Tests of the decision to try a request again."""

import unittest

from parameterized import parameterized

from ibisjunction.outcomes import Answered, Failed, Reason, Refused
from ibisjunction.routing.attempts import (
    AttemptState,
    GiveUp,
    RetryAfter,
    decide_retry,
)
from ibisjunction.verdict import Verdict

_LOST = Failed(Reason.CONNECTION_LOST)
_SAFE = Failed(Reason.CONNECTION_LOST, verdict=Verdict.NOT_RUN)
_MOVED = Refused(Reason.NO_OWNER)
_FULL = Refused(Reason.QUEUE_FULL)


class DecideRetryTest(unittest.TestCase):
    """Guards against a second run of a non-idempotent request."""

    @parameterized.expand(
        [
            ('lost idempotent', _LOST, 0, True, True, 1000, True),
            ('lost non-idempotent', _LOST, 0, False, True, 1000, False),
            ('safe non-idempotent', _SAFE, 0, False, True, 1000, True),
            ('moved', _MOVED, 0, False, True, 1000, True),
            ('overload', _FULL, 0, True, True, 1000, False),
            ('answered', Answered(200, 1), 0, True, True, 1000, False),
            ('last attempt', _LOST, 3, True, True, 1000, False),
            ('body sent', _LOST, 0, True, False, 1000, False),
            ('no time left', _LOST, 0, True, True, 20, False),
        ]
    )
    def test_decision(
        self,
        _name,
        outcome,
        attempt,
        idempotent,
        can_repeat,
        remaining_ms,
        retried,
    ):
        state = AttemptState(attempt, idempotent, can_repeat, remaining_ms, 0.5)
        expected = RetryAfter(20) if retried else GiveUp(outcome)
        self.assertEqual(decide_retry(outcome, state), expected)
