"""Tests of classification of attempts, retries and final outcomes."""

import unittest

from parameterized import parameterized
from tornado.httputil import HTTPHeaders

from ibisjunction.entry.model import (
    Answered,
    Failed,
    HeaderNames,
    Reason,
    Refused,
)
from ibisjunction.entry.serving.attempts import (
    Declined,
    Lost,
    Progress,
    Ran,
    Unsent,
    classify,
    make_outcome,
    may_retry,
)
from ibisjunction.entry.upstream_calls.exchange import (
    NoAnswer,
    NotSent,
    UpstreamAnswer,
)
from ibisjunction.verdict import Verdict

NAMES = HeaderNames('Id', 'Left', 'Key', 'Expect', 'Not-Run', 'Receipt')


def make_answer(status, **headers):
    """Return an answer; underscores in header names become hyphens."""
    fields = HTTPHeaders()
    for name, text in headers.items():
        fields.add(name.replace('_', '-'), text)
    return UpstreamAnswer(status, fields, b'body', 1000)


GOOD = make_answer(200, Receipt='1')
ERROR = make_answer(500, Receipt='1')


class ClassifyTest(unittest.TestCase):
    """Guards against a wrong conclusion on whether a request has run."""

    @parameterized.expand(
        [
            ('success', GOOD, Ran(GOOD, is_success=True)),
            ('success without receipt', make_answer(200), Lost()),
            (
                'encoded',
                make_answer(200, Receipt='1', Content_Encoding='gzip'),
                Lost(),
            ),
            ('error', ERROR, Ran(ERROR, is_success=False)),
            ('full', make_answer(503, Not_Run='1'), Declined(False)),
            ('other process', make_answer(421), Declined(True)),
            ('no answer', NoAnswer('x'), Lost()),
            ('not sent', NotSent('x'), Unsent()),
            ('held back', NotSent('x', is_held_back=True), Unsent(True)),
        ]
    )
    def test_classify(self, _name, result, expected):
        self.assertEqual(classify(result, NAMES), expected)


class RetryTest(unittest.TestCase):
    """Guards against a non-idempotent request that runs twice."""

    @parameterized.expand(
        [
            ('lost, idempotent', Lost(), True, Verdict.MAY_HAVE_RUN, True),
            (
                'lost, non-idempotent',
                Lost(),
                False,
                Verdict.MAY_HAVE_RUN,
                False,
            ),
            (
                'full, non-idempotent',
                Declined(False),
                False,
                Verdict.NOT_RUN,
                True,
            ),
            (
                'full after lost, non-idempotent',
                Declined(False),
                False,
                Verdict.MAY_HAVE_RUN,
                False,
            ),
            ('unsent, non-idempotent', Unsent(), False, Verdict.NOT_RUN, True),
            ('error, idempotent', Ran(ERROR, False), True, Verdict.RAN, True),
            (
                'error, non-idempotent',
                Ran(ERROR, False),
                False,
                Verdict.RAN,
                False,
            ),
            ('success', Ran(GOOD, True), True, Verdict.RAN, False),
        ]
    )
    def test_decision(self, _name, result, idempotent, verdict, expected):
        progress = Progress(1, 2, idempotent, has_time=True, verdict=verdict)
        self.assertEqual(may_retry(result, progress), expected)

    @parameterized.expand([('attempts', 2, True), ('time', 1, False)])
    def test_limits(self, _name, attempts, has_time):
        """Guards against too many attempts, and retries without time left."""
        progress = Progress(attempts, 2, True, has_time, Verdict.NOT_RUN)
        self.assertFalse(may_retry(Unsent(), progress))


class OutcomeTest(unittest.TestCase):
    """Guards against a request that may have run but is reported as not run."""

    @parameterized.expand(
        [
            ('full', Declined(False), Verdict.NOT_RUN, Refused),
            (
                'full after lost',
                Declined(False),
                Verdict.MAY_HAVE_RUN,
                Failed,
            ),
            ('unsent', Unsent(), Verdict.NOT_RUN, Refused),
            ('lost', Lost(), Verdict.MAY_HAVE_RUN, Failed),
            ('success', Ran(GOOD, True), Verdict.RAN, Answered),
            ('error', Ran(ERROR, False), Verdict.RAN, Answered),
            (
                '503 from an upstream that ran it',
                Ran(make_answer(503, Receipt='1'), False),
                Verdict.RAN,
                Failed,
            ),
        ]
    )
    def test_outcome(self, _name, result, verdict, expected):
        self.assertIsInstance(make_outcome(result, verdict), expected)

    def test_hop_by_hop_headers_are_not_forwarded(self):
        answer = make_answer(200, Receipt='1', Connection='close', X='y')
        forwarded = make_outcome(Ran(answer, is_success=True), Verdict.RAN)
        self.assertEqual(
            forwarded,
            Answered(200, (('Receipt', '1'), ('X', 'y')), b'body'),
        )

    def test_refusal_has_a_retry_time(self):
        refused = make_outcome(Unsent(), Verdict.NOT_RUN)
        self.assertEqual(refused.reason, Reason.NOT_ACCEPTED)
        self.assertGreater(refused.retry_after_ms, 0)
