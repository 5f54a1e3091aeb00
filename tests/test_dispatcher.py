"""Tests of the dispatcher of one upstream."""

import unittest
from dataclasses import replace

from parameterized import parameterized

from ibisjunction.dispatch.dispatcher import Dispatcher
from ibisjunction.dispatch.messages import (
    GrantsInForce,
    ResultKind,
    TicketDone,
    TicketGranted,
    TicketRefused,
    TicketRequest,
    TicketResult,
)
from ibisjunction.outcomes import Reason
from ibisjunction.services import Rank

_REQUEST = TicketRequest(
    ticket_id='t-1',
    upstream='up-1',
    service='mail-log',
    shard=0,
    rank=Rank.STANDARD,
    client='tenant-a',
    weight=1.0,
    max_in_flight=3,
    remaining_ms=1000,
    idempotent=True,
)


def _make_dispatcher(slots=2) -> Dispatcher:
    dispatcher = Dispatcher('up-1', epoch=4, slots=slots)
    grants = GrantsInForce('up-1', 4, {0: 10, 1: 11}, until_ms=5000)
    dispatcher.confirm_grants(grants, 0)
    return dispatcher


def _ask(dispatcher, ticket_id, now=0, **fields):
    request = replace(_REQUEST, ticket_id=ticket_id, **fields)
    return [
        effect.message for effect in dispatcher.request('vm-1', request, now)
    ]


class IssueTest(unittest.TestCase):
    """Guards against more requests at an upstream than it has slots."""

    def test_waits_for_a_free_slot(self):
        dispatcher = _make_dispatcher(slots=1)
        self.assertIsInstance(_ask(dispatcher, 't-1')[0], TicketGranted)
        self.assertEqual(_ask(dispatcher, 't-2'), [])
        effects = dispatcher.finish(
            TicketDone('t-1', 'up-1', TicketResult(ResultKind.SUCCEEDED, 5)), 1
        )
        self.assertEqual(effects[0].message.ticket_id, 't-2')

    def test_second_return_of_a_ticket_frees_nothing(self):
        dispatcher = _make_dispatcher(slots=1)
        done = TicketDone('t-1', 'up-1', TicketResult(ResultKind.SUCCEEDED, 5))
        for ticket_id in ('t-1', 't-2', 't-3'):
            _ask(dispatcher, ticket_id)
        self.assertEqual(len(dispatcher.finish(done, 1)), 1)
        self.assertEqual(dispatcher.finish(done, 2), [])


class GrantTest(unittest.TestCase):
    """Guards against a request that runs without a grant in force."""

    def test_no_ticket_after_the_grant_lease(self):
        self.assertEqual(_ask(_make_dispatcher(), 't-1', now=5000), [])

    def test_grants_of_another_epoch_are_ignored(self):
        dispatcher = Dispatcher('up-1', epoch=4, slots=2)
        grants = GrantsInForce('up-1', 3, {0: 10}, until_ms=5000)
        dispatcher.confirm_grants(grants, 0)
        self.assertEqual(_ask(dispatcher, 't-1'), [])

    def test_held_shard_waits(self):
        dispatcher = _make_dispatcher()
        dispatcher.hold_shards(frozenset({0}))
        self.assertEqual(_ask(dispatcher, 't-1'), [])
        self.assertIsInstance(
            _ask(dispatcher, 't-2', shard=1)[0],
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
        message = _ask(_make_dispatcher(), 't-1', **fields)[0]
        self.assertEqual(message, TicketRefused('t-1', reason))


class LostVmTest(unittest.TestCase):
    """Guards against slots that stay taken after a VM is lost."""

    def test_slots_are_free_again(self):
        dispatcher = _make_dispatcher(slots=1)
        _ask(dispatcher, 't-1')
        dispatcher.drop_vm('vm-1', 1)
        self.assertIsInstance(_ask(dispatcher, 't-2')[0], TicketGranted)
