"""Tests of the policy measurements."""

import unittest

from parameterized import parameterized

from ibisjunction.bench.outage import Outage
from ibisjunction.bench.policy import (
    Scenario,
    make_arrivals,
    make_dispatcher,
    read_service,
)
from ibisjunction.bench.replay import (
    FirstComeFirstServed,
    Replay,
    UpstreamPhase,
)
from ibisjunction.bench.sharing import ByLending
from ibisjunction.dispatch.breaker import BreakerPolicy
from ibisjunction.services import Rank

_SPEC = read_service('consorcio', 'mail-log')
_FLOOD = Scenario('flood', 20, dict.fromkeys(Rank, 1.0))
_SLOTS = 3


class ReplayTest(unittest.TestCase):
    """Guards against figures that miss requests or exceed the slots."""

    @parameterized.expand(
        [
            ('policy', lambda: make_dispatcher(_SPEC, _SLOTS)),
            ('fixed limit', lambda: FirstComeFirstServed(_SLOTS)),
            ('lending', lambda: ByLending(_SPEC)),
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
    """Guards against retries that reach a dead upstream past the breaker."""

    def test_breaker_before_each_attempt_spares_the_upstream(self):
        outages = [
            Outage(place, BreakerPolicy())
            for place in ('each attempt', 'around the retries', 'none')
        ]
        for outage in outages:
            outage.run()
            self.assertEqual(len(outage.failed_after_ms), 1000)
        attempts = [outage.attempts for outage in outages]
        self.assertEqual(attempts, sorted(attempts))
        self.assertLess(attempts[0], 1000 // 10)
