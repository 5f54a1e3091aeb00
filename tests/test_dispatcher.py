"""Tests of the dispatcher of one upstream."""

import unittest
from dataclasses import replace

from parameterized import parameterized

from ibisjunction.dispatch.dispatcher import Dispatcher, SendToVm
from ibisjunction.dispatch.messages import (
    GrantsInForce,
    ResultKind,
    TicketDone,
    TicketGranted,
    TicketRefused,
    TicketResult,
)
from ibisjunction.outcomes import Reason
from ibisjunction.services import Rank
from tests.samples import make_ticket_request

_SUCCESS = TicketResult(ResultKind.SUCCEEDED, 5)


def _make_dispatcher(slots=2) -> Dispatcher:
    dispatcher = Dispatcher('up-1', epoch=4, slots=slots)
    grants = GrantsInForce('up-1', 4, {0: 10, 1: 11}, until_ms=5000)
    dispatcher.set_confirmed_grants(grants, 0)
    return dispatcher


def _request_ticket(dispatcher, ticket_id, now=0, **fields):
    request = make_ticket_request(ticket_id=ticket_id, **fields)
    return [
        effect.message for effect in dispatcher.request('vm-1', request, now)
    ]


class IssueTest(unittest.TestCase):
    """Guards against more requests at an upstream than it has slots."""

    def test_waits_for_a_free_slot(self):
        dispatcher = _make_dispatcher(slots=1)
        self.assertIsInstance(
            _request_ticket(dispatcher, 't-1')[0], TicketGranted
        )
        self.assertEqual(_request_ticket(dispatcher, 't-2'), [])
        effects = dispatcher.finish(TicketDone('t-1', 'up-1', _SUCCESS), 1)
        self.assertEqual(effects[0].message.ticket_id, 't-2')

    def test_second_return_of_a_ticket_frees_nothing(self):
        dispatcher = _make_dispatcher(slots=1)
        done = TicketDone('t-1', 'up-1', _SUCCESS)
        for ticket_id in ('t-1', 't-2', 't-3'):
            _request_ticket(dispatcher, ticket_id)
        self.assertEqual(len(dispatcher.finish(done, 1)), 1)
        self.assertEqual(dispatcher.finish(done, 2), [])


class GrantTest(unittest.TestCase):
    """Guards against a request that runs without a grant in force."""

    def test_no_ticket_after_the_grant_lease(self):
        self.assertEqual(
            _request_ticket(_make_dispatcher(), 't-1', now=5000), []
        )

    def test_grants_of_another_epoch_are_ignored(self):
        dispatcher = Dispatcher('up-1', epoch=4, slots=2)
        grants = GrantsInForce('up-1', 3, {0: 10}, until_ms=5000)
        dispatcher.set_confirmed_grants(grants, 0)
        self.assertEqual(_request_ticket(dispatcher, 't-1'), [])

    def test_suspended_shard_waits(self):
        dispatcher = _make_dispatcher()
        dispatcher.replace_suspended_shards(frozenset({0}))
        self.assertEqual(_request_ticket(dispatcher, 't-1'), [])
        self.assertIsInstance(
            _request_ticket(dispatcher, 't-2', shard=1)[0],
            TicketGranted,
        )
        self.assertTrue(dispatcher.is_idle(0))
        self.assertFalse(dispatcher.is_idle(1))


class RefuseTest(unittest.TestCase):
    """Guards against a refusal for the wrong reason."""

    @parameterized.expand(
        [
            ('no grant', {'shard': 7}, Reason.NO_OWNER),
            ('no time', {'remaining_ms': 0}, Reason.DEADLINE_PASSED),
        ]
    )
    def test_reason(self, _name, fields, reason):
        message = _request_ticket(_make_dispatcher(), 't-1', **fields)[0]
        self.assertEqual(message, TicketRefused('t-1', reason))


class OverdueTest(unittest.TestCase):
    """Guards against slots that stay occupied because a message was lost."""

    @parameterized.expand(
        [
            ('before the deadline', 999, {}),
            ('return may be delayed', 1999, {}),
            ('overdue', 2000, {'vm-1': ['t-1']}),
        ]
    )
    def test_finds_overdue_tickets(self, _name, now, expected):
        dispatcher = _make_dispatcher()
        _request_ticket(dispatcher, 't-1')
        self.assertEqual(dispatcher.tickets.find_overdue(now), expected)


class LostVmTest(unittest.TestCase):
    """Guards against slots that stay occupied after a VM is lost."""

    def test_slots_are_free_again(self):
        dispatcher = _make_dispatcher(slots=1)
        _request_ticket(dispatcher, 't-1')
        dispatcher.discard_vm('vm-1', 1)
        self.assertIsInstance(
            _request_ticket(dispatcher, 't-2')[0], TicketGranted
        )


def _outcomes(effects):
    return [
        (effect.message.ticket_id, getattr(effect.message, 'reason', None))
        for effect in effects
        if isinstance(effect, SendToVm)
    ]


def _fail(dispatcher, ticket_id, now):
    result = TicketResult(ResultKind.FAILED, 5)
    return dispatcher.finish(TicketDone(ticket_id, 'up-1', result), now)


class LoadTest(unittest.TestCase):
    """Guards against an overload that keeps out more valuable requests."""

    def test_full_queue_evicts_for_more_urgent_requests(self):
        """One of the 257 requests runs and 256 fill the queue."""
        dispatcher = _make_dispatcher(slots=1)
        for number in range(257):
            _request_ticket(dispatcher, f't-{number}', rank=Rank.DEFERRABLE)
        request = make_ticket_request(ticket_id='urgent', rank=Rank.URGENT)
        effects = dispatcher.request('vm-1', request, 0)
        self.assertEqual(_outcomes(effects), [('t-256', Reason.QUEUE_FULL)])
        effects = dispatcher.finish(TicketDone('t-0', 'up-1', _SUCCESS), 1)
        self.assertEqual(_outcomes(effects)[0], ('urgent', None))

    def test_ranks_keep_their_share_of_a_full_queue(self):
        """Deferrable requests keep a tenth of the 256 places.

        One of the 26 runs and 25 are queued, so 231 places are left.
        """
        dispatcher = _make_dispatcher(slots=1)
        for number in range(26):
            _request_ticket(dispatcher, f't-{number}', rank=Rank.DEFERRABLE)
        answers = []
        for number in range(232):
            answers += _request_ticket(
                dispatcher, f'u-{number}', rank=Rank.URGENT
            )
        refused = [(answer.ticket_id, answer.reason) for answer in answers]
        self.assertEqual(refused, [('u-231', Reason.QUEUE_FULL)])

    def test_client_tickets_are_limited_by_its_terms(self):
        request = make_ticket_request(client='b', max_in_flight=1)
        dispatcher = _make_dispatcher(slots=2)
        _warm_up(dispatcher, slots=2)
        for ticket_id in ('b-1', 'b-2'):
            dispatcher.request(
                'vm-1',
                replace(request, ticket_id=ticket_id),
                9,
            )
        self.assertEqual(len(_request_ticket(dispatcher, 'a-1', now=9)), 1)
        effects = dispatcher.finish(TicketDone('b-1', 'up-1', _SUCCESS), 9)
        self.assertEqual(_outcomes(effects), [('b-2', None)])

    def test_unmeetable_deadline_is_refused_early(self):
        dispatcher = _make_dispatcher(slots=1)
        _warm_up(dispatcher, slots=1)
        for number in range(10):
            _request_ticket(dispatcher, f't-{number}', now=9)
        refused = _request_ticket(dispatcher, 'late', now=9, remaining_ms=20)[0]
        self.assertIs(refused.reason, Reason.DEADLINE_UNMEETABLE)
        self.assertGreater(refused.retry_after_ms, 0)

    @parameterized.expand([('usual', 5), ('tail over target', 1200)])
    def test_late_request_is_served_after_those_in_time(self, _name, tail_ms):
        dispatcher = _make_dispatcher(slots=1)
        _warm_up(dispatcher, slots=1)
        _request_ticket(dispatcher, 'slow')
        slow = TicketResult(ResultKind.SUCCEEDED, tail_ms)
        dispatcher.finish(TicketDone('slow', 'up-1', slow), 0)
        _request_ticket(dispatcher, 'running', now=9, remaining_ms=4000)
        _request_ticket(dispatcher, 'late', now=9, remaining_ms=4000)
        _request_ticket(dispatcher, 'in time', now=1100, remaining_ms=4000)
        dispatcher.issue(1100)
        answers = []
        for ticket_id in ('running', 'in time'):
            done = TicketDone(ticket_id, 'up-1', _SUCCESS)
            answers += _outcomes(dispatcher.finish(done, 1101))
        self.assertEqual(answers, [('in time', None), ('late', None)])

    def test_late_request_is_refused_before_its_deadline(self):
        """The deadline is at 1509 ms and the service takes 5 ms."""
        dispatcher = _make_dispatcher(slots=1)
        _warm_up(dispatcher, slots=1)
        _request_ticket(dispatcher, 'running', now=9, remaining_ms=4000)
        _request_ticket(dispatcher, 'late', now=9, remaining_ms=1500)
        self.assertEqual(_outcomes(dispatcher.issue(1503)), [])
        self.assertEqual(
            _outcomes(dispatcher.issue(1504)),
            [('late', Reason.DEADLINE_UNMEETABLE)],
        )


def _warm_up(dispatcher, slots):
    """Raise the limit to the slots, with service times of 5 ms."""
    for number in range(3 * slots):
        _request_ticket(dispatcher, f'warm-{number}')
        done = TicketDone(f'warm-{number}', 'up-1', _SUCCESS)
        dispatcher.finish(done, 0)


class BreakerTest(unittest.TestCase):
    """Guards against requests that are sent to a dead upstream."""

    def test_open_breaker_refuses_and_probes_once(self):
        """The breaker opens at 10 ms, for 250 ms."""
        dispatcher = _make_dispatcher(slots=2)
        for number in range(5):
            _request_ticket(
                dispatcher, f't-{number}', shard=number % 2, client=f'c{number}'
            )
        _request_ticket(dispatcher, 'queued')
        effects = []
        for number in range(5):
            effects += _fail(dispatcher, f't-{number}', 10)
        self.assertIn(('queued', Reason.BREAKER_OPEN), _outcomes(effects))
        refused = _request_ticket(dispatcher, 'early', now=100)[0]
        self.assertEqual(
            refused,
            TicketRefused('early', Reason.BREAKER_OPEN, 160),
        )
        self.assertIsInstance(
            _request_ticket(dispatcher, 'probe', now=260)[0],
            TicketGranted,
        )
        self.assertEqual(_request_ticket(dispatcher, 'waits', now=260), [])
        done = TicketDone('probe', 'up-1', _SUCCESS)
        effects = dispatcher.finish(done, 270)
        self.assertEqual(_outcomes(effects), [('waits', None)])

    def test_short_caller_timeouts_do_not_open_it(self):
        dispatcher = _make_dispatcher(slots=2)
        _warm_up(dispatcher, slots=2)
        result = TicketResult(ResultKind.TIMED_OUT, 4)
        for number in range(9):
            ticket_id = f't-{number}'
            answers = _request_ticket(
                dispatcher, ticket_id, client=f'c{number}'
            )
            self.assertIsInstance(answers[0], TicketGranted)
            dispatcher.finish(TicketDone(ticket_id, 'up-1', result), 10)

    def test_retries_have_a_budget(self):
        dispatcher = _make_dispatcher(slots=1)
        answers = [
            _request_ticket(dispatcher, f't-{number}', attempt=1)
            for number in range(11)
        ]
        self.assertIs(answers[-1][0].reason, Reason.RETRY_BUDGET)


class RestartTest(unittest.TestCase):
    """Guards against a cold upstream that gets the load of a warm one."""

    def test_restarted_upstream_is_ramped_up(self):
        dispatcher = _make_dispatcher(slots=2)
        _warm_up(dispatcher, slots=2)
        dispatcher.reset_after_restart(0)
        self.assertEqual(len(_request_ticket(dispatcher, 'a')), 1)
        self.assertEqual(_request_ticket(dispatcher, 'b'), [])
