"""Tests of the metrics of completed requests."""

import unittest

from parameterized import parameterized

from ibisjunction.mailbox import Mailbox
from ibisjunction.metrics import RequestMeasured
from ibisjunction.outcomes import Answered, Failed, Reason, Refused
from ibisjunction.routing.body import CopiedBody
from ibisjunction.routing.model import CallerRequest
from ibisjunction.routing.reporting import measure_outcome
from ibisjunction.services import RequestHead, RouteMatch
from tests.samples import WRITE, make_spec


class MeasureTest(unittest.TestCase):
    """Guards against requests that are counted under the wrong labels."""

    @parameterized.expand(
        [
            ('answered', Answered(200, 1), 'answered'),
            ('refused', Refused(Reason.QUEUE_FULL), 'QUEUE_FULL'),
            ('failed', Failed(Reason.CONNECTION_LOST), 'CONNECTION_LOST'),
        ]
    )
    def test_labels(self, _name, outcome, expected):
        request = _make_request()
        request.route = RouteMatch(make_spec(), WRITE, 'key', 0)
        request.upstream = 'up-1'
        self.assertEqual(
            measure_outcome(request, outcome, 7),
            RequestMeasured('mail-log', 'urgent', 'up-1', expected, 7),
        )

    def test_without_route(self):
        measured = measure_outcome(
            _make_request(), Refused(Reason.MISSING_KEY), 0
        )
        self.assertEqual((measured.service, measured.rank), ('', ''))


def _make_request() -> CallerRequest:
    return CallerRequest(
        request_id='request-1',
        head=RequestHead('POST', '/mail-log/key', {}),
        headers=(),
        has_body=False,
        body=CopiedBody(Mailbox()),
        caller=None,
    )
