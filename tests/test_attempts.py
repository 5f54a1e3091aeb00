"""Tests of the decision to retry a request."""

import unittest

from parameterized import parameterized

from ibisjunction.outcomes import Answered, Failed, Reason, Refused
from ibisjunction.routing.attempts import (
    AttemptState,
    GiveUp,
    RetryAfter,
    combine_outcome,
    compute_attempt_timeout,
    decide_retry,
)
from ibisjunction.routing.exchange import read_refusal
from ibisjunction.upstreams.messages import AnswerHead
from ibisjunction.verdict import Verdict

_LOST = Failed(Reason.CONNECTION_LOST)
_NOT_RUN = Failed(Reason.CONNECTION_LOST, verdict=Verdict.NOT_RUN)
_NO_OWNER = Refused(Reason.NO_OWNER)
_QUEUE_FULL = Refused(Reason.QUEUE_FULL)
_BREAKER_OPEN = Refused(Reason.BREAKER_OPEN)


class DecideRetryTest(unittest.TestCase):
    """Guards against a second run of a non-idempotent request.

    The other rows guard against a retry that cannot succeed, and against an
    error that the caller gets although a retry would avoid it.
    """

    @parameterized.expand(
        [
            ('lost idempotent', _LOST, 0, True, True, 1000, True),
            ('lost non-idempotent', _LOST, 0, False, True, 1000, False),
            ('not run non-idempotent', _NOT_RUN, 0, False, True, 1000, True),
            ('no owner', _NO_OWNER, 0, False, True, 1000, True),
            ('breaker open', _BREAKER_OPEN, 0, False, True, 1000, True),
            ('queue full', _QUEUE_FULL, 0, True, True, 1000, False),
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

    @parameterized.expand(
        [
            ('shorter than the backoff', 5, 20),
            ('longer than the backoff', 300, 300),
            ('longer than the deadline', 1000, None),
        ]
    )
    def test_retry_after(self, _name, retry_after_ms, delay_ms):
        """Guards against a retry before the delay that a refusal requires."""
        refused = Refused(Reason.UPSTREAM_SHED, retry_after_ms=retry_after_ms)
        decision = decide_retry(
            refused,
            AttemptState(0, False, True, 1000, 0.5),
        )
        expected = RetryAfter(delay_ms) if delay_ms else GiveUp(refused)
        self.assertEqual(decision, expected)


class CombineOutcomeTest(unittest.TestCase):
    """Guards against the verdict not-run if an earlier attempt may have run."""

    @parameterized.expand(
        [
            (Answered(200, 1), Verdict.MAY_HAVE_RUN, Answered(200, 1)),
            (_NO_OWNER, Verdict.NOT_RUN, _NO_OWNER),
            (_NO_OWNER, Verdict.MAY_HAVE_RUN, Failed(Reason.NO_OWNER)),
            (
                _NO_OWNER,
                Verdict.RAN,
                Failed(Reason.NO_OWNER, verdict=Verdict.RAN),
            ),
            (_LOST, Verdict.NOT_RUN, _LOST),
            (_NOT_RUN, Verdict.MAY_HAVE_RUN, _LOST),
        ]
    )
    def test_combination(self, outcome, earlier_verdict, expected):
        self.assertEqual(combine_outcome(outcome, earlier_verdict), expected)

    def test_decision_combines(self):
        state = AttemptState(3, True, True, 9, 0.5, Verdict.MAY_HAVE_RUN)
        self.assertEqual(
            decide_retry(_NO_OWNER, state),
            GiveUp(Failed(Reason.NO_OWNER)),
        )


class AttemptTimeoutTest(unittest.TestCase):
    """Guards against a silent connection that uses up the whole deadline."""

    @parameterized.expand(
        [
            ('may retry', 2000, True, 1000),
            ('may not retry', 2000, False, 2000),
            ('too little time', 199, True, 199),
            ('nothing left', 0, True, 0),
        ]
    )
    def test_timeout(self, _name, remaining_ms, can_retry, expected):
        self.assertEqual(
            compute_attempt_timeout(remaining_ms, can_retry), expected
        )


class ReadRefusalTest(unittest.TestCase):
    """Guards against an answer wrongly taken as proof that nothing ran."""

    @parameterized.expand(
        [
            ('fenced', 409, 'not-run', None, Reason.UPSTREAM_FENCED, None),
            ('shed', 503, 'not-run', '2', Reason.UPSTREAM_SHED, 2000),
            ('date', 503, 'not-run', 'Fri', Reason.UPSTREAM_SHED, None),
            ('no verdict', 503, None, '2', None, None),
            ('other verdict', 503, 'may-have-run', '2', None, None),
            ('contradiction', 200, 'not-run', None, None, None),
        ]
    )
    def test_refusal(
        self, _name, status, verdict, retry_after, reason, delay_ms
    ):
        fields = {'ibis-verdict': verdict, 'Retry-After': retry_after}
        head = AnswerHead(
            status,
            tuple((name, text) for name, text in fields.items() if text),
        )
        expected = reason and Refused(reason, retry_after_ms=delay_ms)
        self.assertEqual(read_refusal(head), expected)
