"""Tests of what follows a send, and of what a caller is told."""

import unittest

from parameterized import parameterized
from tornado.httputil import HTTPHeaders

from ibisjunction.entry.attempts import (
    Declined,
    Lost,
    Progress,
    Ran,
    Unsent,
    conclude,
    judge,
    may_send_again,
)
from ibisjunction.entry.exchange import Answer, NoAnswer, NotConnected
from ibisjunction.entry.model import (
    Failed,
    HeaderNames,
    Passed,
    Refused,
    Why,
)
from ibisjunction.verdict import Verdict

NAMES = HeaderNames('Id', 'Left', 'Key', 'Expect', 'Not-Run', 'Receipt')


def make_answer(status, **headers):
    """Return an answer; underscores in names of headers are hyphens."""
    fields = HTTPHeaders()
    for name, text in headers.items():
        fields.add(name.replace('_', '-'), text)
    return Answer(status, fields, b'body', 1000)


GOOD = make_answer(200, Receipt='1')
ERROR = make_answer(500, Receipt='1')


class JudgeTest(unittest.TestCase):
    """Guards against an answer that is taken for what it is not."""

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
            ('broken off', NoAnswer('x'), Lost()),
            ('not connected', NotConnected('x'), Unsent()),
        ]
    )
    def test_judge(self, _name, result, expected):
        self.assertEqual(judge(result, NAMES), expected)


class SendAgainTest(unittest.TestCase):
    """Guards against a second run of what must run once."""

    @parameterized.expand(
        [
            ('broken, idempotent', Lost(), True, Verdict.MAY_HAVE_RUN, True),
            ('broken, once', Lost(), False, Verdict.MAY_HAVE_RUN, False),
            ('full, once', Declined(False), False, Verdict.NOT_RUN, True),
            (
                'full after it was broken, once',
                Declined(False),
                False,
                Verdict.MAY_HAVE_RUN,
                False,
            ),
            ('unsent, once', Unsent(), False, Verdict.NOT_RUN, True),
            ('error, idempotent', Ran(ERROR, False), True, Verdict.RAN, True),
            ('error, once', Ran(ERROR, False), False, Verdict.RAN, False),
            ('success', Ran(GOOD, True), True, Verdict.RAN, False),
        ]
    )
    def test_decision(self, _name, judgement, idempotent, verdict, expected):
        progress = Progress(1, 2, idempotent, has_time=True, verdict=verdict)
        self.assertEqual(may_send_again(judgement, progress), expected)

    @parameterized.expand([('attempts', 2, True), ('time', 1, False)])
    def test_limits(self, _name, sends, has_time):
        """Guards against more attempts than the route allows."""
        progress = Progress(sends, 2, True, has_time, Verdict.NOT_RUN)
        self.assertFalse(may_send_again(Unsent(), progress))


class ConcludeTest(unittest.TestCase):
    """Guards against a promise that a request has not run."""

    @parameterized.expand(
        [
            ('full', Declined(False), Verdict.NOT_RUN, Refused),
            (
                'full after it was broken',
                Declined(False),
                Verdict.MAY_HAVE_RUN,
                Failed,
            ),
            ('unsent', Unsent(), Verdict.NOT_RUN, Refused),
            ('broken', Lost(), Verdict.MAY_HAVE_RUN, Failed),
            ('success', Ran(GOOD, True), Verdict.RAN, Passed),
            ('error', Ran(ERROR, False), Verdict.RAN, Passed),
            (
                'an upstream that ran it and answers 503',
                Ran(make_answer(503, Receipt='1'), False),
                Verdict.RAN,
                Failed,
            ),
        ]
    )
    def test_outcome(self, _name, judgement, verdict, expected):
        self.assertIsInstance(conclude(judgement, verdict), expected)

    def test_headers_of_one_connection_are_not_passed_on(self):
        answer = make_answer(200, Receipt='1', Connection='close', X='y')
        passed = conclude(Ran(answer, is_success=True), Verdict.RAN)
        self.assertEqual(
            passed,
            Passed(200, (('Receipt', '1'), ('X', 'y')), b'body'),
        )

    def test_refusal_says_when_to_come_back(self):
        refused = conclude(Unsent(), Verdict.NOT_RUN)
        self.assertEqual(refused.why, Why.NOT_ACCEPTED)
        self.assertGreater(refused.retry_after_ms, 0)
