"""Tests of the comparisons of dispatch policies and breakers."""

import unittest

from parameterized import parameterized

from ibisjunction.bench.outage import Outage
from ibisjunction.bench.policy import (
    PolicyScenario,
    make_arrivals,
    make_dispatcher,
    read_service,
)
from ibisjunction.bench.replay import (
    FirstComeFirstServed,
    Replay,
    UpstreamPhase,
)
from ibisjunction.bench.sharing import SlotLending
from ibisjunction.dispatch.breaker import BreakerPolicy
from ibisjunction.services import Rank

_SPEC = read_service('consorcio', 'mail-log')
_FLOOD = PolicyScenario('flood', 20, dict.fromkeys(Rank, 1.0))
_SLOTS = 3


class ReplayTest(unittest.TestCase):
    """Guards against lost or repeated results, and more runs than slots."""

    @parameterized.expand(
        [
            ('policy', lambda: make_dispatcher(_SPEC, _SLOTS)),
            ('fixed limit', lambda: FirstComeFirstServed(_SLOTS)),
            ('lending', lambda: SlotLending(_SPEC)),
        ]
    )
    def test_each_arrival_ends_once(self, _name, make_scheme):
        arrivals = make_arrivals(_SPEC, _FLOOD, _SLOTS / 20, seed=1)[:900]
        replay = Replay(make_scheme(), [UpstreamPhase(0, _SLOTS, 1000, 20)])
        ended = replay.run(arrivals, 30_000)
        ids = [item.arrival.request.ticket_id for item in ended]
        expected = [arrival.request.ticket_id for arrival in arrivals]
        self.assertEqual(sorted(ids), sorted(expected))
        self.assertLessEqual(replay.peak_in_flight, _SLOTS)


class OutageTest(unittest.TestCase):
    """Guards against retries that bypass the breaker during an outage."""

    def test_breaker_before_each_attempt_reduces_attempts(self):
        outages = [
            Outage(scope, BreakerPolicy())
            for scope in ('each attempt', 'around the retries', 'none')
        ]
        for outage in outages:
            outage.run()
            self.assertEqual(len(outage.failed_after_ms), 1000)
        attempts = [outage.attempts for outage in outages]
        self.assertEqual(attempts, sorted(attempts))
        self.assertLess(attempts[0], 1000 // 10)
