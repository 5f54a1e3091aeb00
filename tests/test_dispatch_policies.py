"""Decision tables of the policies of the dispatcher."""

import unittest
from collections import Counter
from dataclasses import replace
from itertools import chain, repeat

from parameterized import parameterized

from ibisjunction.dispatch.admission import (
    Late,
    OnTime,
    QueuePosition,
    Unmeetable,
    decide_admission,
)
from ibisjunction.dispatch.breaker import (
    Closed,
    HalfOpen,
    Open,
    advance_time,
    apply_result,
    start_probe,
)
from ibisjunction.dispatch.limits import (
    AdaptiveLimit,
    ServiceTimes,
    adjust_limit,
    apply_load_report,
    reset_limit,
)
from ibisjunction.dispatch.messages import ResultKind
from ibisjunction.dispatch.retries import RetryBudget, charge_attempt
from ibisjunction.dispatch.shares import RankShares
from ibisjunction.services import Rank, RankPolicy


def _repeat(count, *steps):
    return list(chain.from_iterable(repeat(steps, count)))


_POLICIES = {
    Rank.URGENT: RankPolicy(50, 20, 0.3),
    Rank.STANDARD: RankPolicy(500, 4, 0.15),
    Rank.DEFERRABLE: RankPolicy(5000, 1, 0.05),
}
_OK = ResultKind.SUCCEEDED
_SHED = ResultKind.SHED
_FAILED = ResultKind.FAILED
_TIMED_OUT = ResultKind.TIMED_OUT
_UNREACHED = ResultKind.UNREACHED
_CANCELLED = ResultKind.CANCELLED
_SILENT = ResultKind.SILENT


class SharesTest(unittest.TestCase):
    """Guards against an overload of one rank that starves the others."""

    @parameterized.expand(
        [
            ('all overloaded', tuple(Rank), (80, 15, 5)),
            ('two overloaded', (Rank.URGENT, Rank.DEFERRABLE), (95, 0, 5)),
            ('low ranks', (Rank.STANDARD, Rank.DEFERRABLE), (0, 95, 5)),
            ('alone', (Rank.DEFERRABLE,), (0, 0, 100)),
        ]
    )
    def test_tickets_of_a_hundred(self, _name, waiting_ranks, expected):
        shares = RankShares(_POLICIES)
        issued = Counter()
        for _turn in range(100):
            rank = shares.order_ranks(waiting_ranks)[0]
            issued[rank] += 1
            shares.record_ticket(rank, waiting_ranks)
        for rank, count in zip(Rank, expected, strict=True):
            self.assertAlmostEqual(issued[rank], count, delta=2)

    @parameterized.expand(
        [
            ('urgent beside others', Rank.URGENT, tuple(Rank), 0.8),
            ('urgent alone', Rank.URGENT, (), 1.0),
            ('low rank has its minimum', Rank.DEFERRABLE, tuple(Rank), 0.05),
        ]
    )
    def test_expected_share(self, _name, rank, waiting_ranks, expected):
        shares = RankShares(_POLICIES)
        shares.recent_share[Rank.URGENT] = 1.0
        self.assertAlmostEqual(
            shares.expected_share(rank, waiting_ranks), expected
        )


class ReserveTest(unittest.TestCase):
    """Guards against urgent requests that wait for a slow deferrable one."""

    @parameterized.expand(
        [
            ('slow', 3, 26, 0.2, 1),
            ('fast enough', 3, 25, 0.2, 0),
            ('no urgent work', 3, 26, 0, 0),
            ('only slot', 1, 26, 0.2, 0),
        ]
    )
    def test_reserved(self, _name, limit, service_ms, recent_share, expected):
        shares = RankShares(_POLICIES)
        shares.recent_share[Rank.URGENT] = recent_share
        self.assertEqual(shares.reserved_slots(limit, service_ms), expected)

    @parameterized.expand(
        [
            ('urgent only', 0, [Rank.URGENT]),
            ('earned credit', 1, [Rank.STANDARD, Rank.URGENT]),
        ]
    )
    def test_last_slot(self, _name, credit, expected):
        shares = RankShares(_POLICIES)
        shares.credit[Rank.STANDARD] = credit
        self.assertEqual(
            shares.order_ranks(tuple(Rank), is_reserved_slot=True), expected
        )


_POSITION = QueuePosition(
    is_slot_free=False,
    service_ms=10,
    limit=2,
    share=1.0,
    rank_queued=9,
    client_queued=9,
    client_in_flight=1,
    client_weight=1.0,
    active_weight=1.0,
    max_in_flight=3,
)


class AdmissionTest(unittest.TestCase):
    """Guards against work that is queued and can't be served in time."""

    @parameterized.expand(
        [
            ('in time', {}, 50, 100, OnTime()),
            ('late', {}, 49, 100, Late(50)),
            ('unmeetable', {}, 20, 40, Unmeetable(10)),
            ('small share', {'share': 0.25}, 50, 100, Unmeetable(100)),
            ('free slot', {'is_slot_free': True, 'rank_queued': 0}, 0, 0, None),
            ('no measurements', {'service_ms': 0}, 0, 0, None),
            ('own queue is short', {'client_queued': 0}, 5, 9, None),
            (
                'light client among heavy ones',
                {'client_queued': 1, 'active_weight': 4.0},
                24,
                100,
                Late(25),
            ),
            (
                'client at its maximum',
                {'client_in_flight': 1, 'max_in_flight': 1},
                50,
                99,
                Unmeetable(1),
            ),
        ]
    )
    def test_decision(
        self, _name, fields, target_slack_ms, deadline_slack_ms, expected
    ):
        position = replace(_POSITION, **fields)
        decision = decide_admission(
            position, target_slack_ms, deadline_slack_ms
        )
        self.assertEqual(decision, expected or OnTime())


def _adjust_all(limit, kinds, issued_ms=None):
    for now, kind in enumerate(kinds, start=1):
        limit = adjust_limit(
            limit, kind, now if issued_ms is None else issued_ms, now
        )
    return limit


class LimitTest(unittest.TestCase):
    """Guards against load that an upstream has shed before."""

    @parameterized.expand(
        [
            ('cold', [], 1),
            ('first rise', _repeat(3, _OK), 2),
            ('ramped up', _repeat(30, _OK), 4),
            ('a shed lowers', _repeat(30, _OK) + [_SHED], 3),
            (
                'no rise at once',
                _repeat(30, _OK) + [_SHED] + _repeat(15, _OK),
                3,
            ),
            ('rises again', _repeat(30, _OK) + [_SHED] + _repeat(16, _OK), 4),
            (
                'failures lower nothing',
                _repeat(30, _OK) + [_FAILED, _TIMED_OUT],
                4,
            ),
            ('never below one', _repeat(5, _SHED), 1),
        ]
    )
    def test_limit(self, _name, kinds, expected):
        limit = _adjust_all(AdaptiveLimit(4), kinds)
        self.assertEqual(limit.current, expected)

    def test_sheds_of_one_moment_count_once(self):
        limit = _adjust_all(AdaptiveLimit(4), _repeat(30, _OK))
        limit = _adjust_all(limit, _repeat(4, _SHED), issued_ms=1)
        self.assertEqual(limit.current, 3)

    def test_shed_of_the_only_request_pauses(self):
        limit = adjust_limit(AdaptiveLimit(4), _SHED, 1, 1)
        self.assertEqual(
            (limit.max_outstanding(2), limit.max_outstanding(11)), (0, 1)
        )
        longer = adjust_limit(limit, _SHED, 12, 12)
        self.assertEqual(
            (longer.max_outstanding(31), longer.max_outstanding(32)), (0, 1)
        )

    @parameterized.expand([('busy', True, 1), ('idle', False, 2)])
    def test_report_is_a_hint(self, _name, is_busy, expected):
        limit = apply_load_report(AdaptiveLimit(4), is_busy, 0)
        self.assertEqual(limit.max_outstanding(0), 1)
        self.assertEqual(_adjust_all(limit, _repeat(3, _OK)).current, expected)

    def test_restart_is_cold(self):
        limit = reset_limit(_adjust_all(AdaptiveLimit(4), _repeat(30, _OK)))
        self.assertEqual(limit.current, 1)


class ServiceTimesTest(unittest.TestCase):
    """Guards against estimates that a few slow requests distort."""

    @parameterized.expand(
        [
            ('no samples', [], 0, 0),
            ('outliers', _repeat(60, 10) + _repeat(4, 30_000), 10, 10),
            ('old samples dropped', _repeat(64, 50) + _repeat(64, 10), 10, 10),
            ('tail', _repeat(50, 10) + _repeat(14, 40), 10, 40),
        ]
    )
    def test_estimate(self, _name, samples, median_ms, tail_ms):
        times = ServiceTimes()
        for sample in samples:
            times.add(sample)
        self.assertEqual((times.median_ms, times.tail_ms), (median_ms, tail_ms))


def _apply_all(steps):
    breaker = Closed()
    for kind, origin in steps:
        breaker = apply_result(breaker, kind, origin, 0, 0)
    return breaker


class BreakerTest(unittest.TestCase):
    """Guards against requests to a dead upstream or none to a live one."""

    @parameterized.expand(
        [
            ('dead', [(_FAILED, name) for name in 'abcde'], True),
            ('too few', [(_FAILED, name) for name in 'abcd'], False),
            ('one request that crashes it', _repeat(50, (_FAILED, 'a')), False),
            ('one slow request', _repeat(50, (_TIMED_OUT, 'a')), False),
            (
                'two crashing requests',
                _repeat(9, (_FAILED, 'a'), (_TIMED_OUT, 'b')),
                False,
            ),
            ('refuses connections', _repeat(5, (_UNREACHED, 'a')), True),
            (
                'mostly works',
                _repeat(
                    9, (_FAILED, 'a'), (_OK, 'b'), (_FAILED, 'c'), (_OK, 'd')
                ),
                False,
            ),
            ('sheds', [(_SHED, name) for name in 'abcdefgh'], False),
            ('cancelled', [(_CANCELLED, name) for name in 'abcdefgh'], False),
            ('silent', [(_SILENT, name) for name in 'abcdefgh'], False),
        ]
    )
    def test_opens(self, _name, steps, is_open):
        self.assertEqual(isinstance(_apply_all(steps), Open), is_open)

    @parameterized.expand(
        [
            ('success', _OK, 100, Closed()),
            ('shed', _SHED, 100, Closed()),
            ('failure', _FAILED, 100, Open(700, 500)),
            ('unreached', _UNREACHED, 100, Open(700, 500)),
            ('cancelled', _CANCELLED, 100, HalfOpen(250, 100)),
            ('silent', _SILENT, 100, HalfOpen(250, 100)),
            ('issued before', _FAILED, 99, HalfOpen(250, 100, has_probe=True)),
        ]
    )
    def test_probe_decides(self, _name, kind, issued_ms, expected):
        breaker = start_probe(HalfOpen(250, 100))
        self.assertEqual(
            apply_result(breaker, kind, 'a', issued_ms, 200),
            expected,
        )

    @parameterized.expand(
        [(99, Open(100, 250)), (100, HalfOpen(250, 100))],
    )
    def test_half_opens(self, now, expected):
        self.assertEqual(advance_time(Open(100, 250), now), expected)

    def test_opening_is_bounded(self):
        breaker = Open(0, 4000)
        breaker = apply_result(HalfOpen(4000, 0), _FAILED, 'a', 0, 0)
        self.assertEqual(breaker, Open(5000, 5000))


class RetryBudgetTest(unittest.TestCase):
    """Guards against retries that multiply the load of a failing upstream."""

    def test_retries_stay_a_tenth(self):
        budget = RetryBudget()
        retries = 0
        for _request in range(1000):
            budget = charge_attempt(budget, 0)
            charged = charge_attempt(budget, 1)
            if charged is not None:
                budget = charged
                retries += 1
        self.assertLessEqual(retries, 10 + 1000 // 10)

    @parameterized.expand([(0, True), (1, False), (3, False)])
    def test_empty_budget(self, attempt, is_allowed):
        self.assertEqual(
            charge_attempt(RetryBudget(0), attempt) is not None, is_allowed
        )
