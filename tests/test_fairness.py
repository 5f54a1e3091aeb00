"""Tests of the queue that is weighted fair between clients."""

import sys
import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from ibisjunction.dispatch.dispatcher import Dispatcher
from ibisjunction.dispatch.fairness import FairQueue, QueuedRequest
from ibisjunction.dispatch.messages import GrantsInForce, TicketCancel
from ibisjunction.services import Rank
from tests.samples import make_ticket_request


def _make_queued(ticket_id, latest_start_ms=100, **fields):
    request = make_ticket_request(ticket_id=ticket_id, **fields)
    return QueuedRequest('vm-1', request, latest_start_ms, 1000)


def _never_blocked(_client, _max_in_flight):
    return False


class FairnessTest(unittest.TestCase):
    """Guards against a client that crowds others out of a rank."""

    @parameterized.expand(
        [
            ('equal', {'a': 1.0, 'b': 1.0}, {'a': 20, 'b': 20}),
            ('weighted', {'a': 1.0, 'b': 3.0}, {'a': 10, 'b': 30}),
            ('three', {'a': 1.0, 'b': 1.0, 'c': 2.0}, {'a': 10, 'c': 20}),
        ]
    )
    def test_served_by_weight(self, _name, weights, expected):
        queue = FairQueue()
        for number in range(60):
            for client, weight in weights.items():
                queued = _make_queued(
                    f'{client}-{number}', client=client, weight=weight
                )
                queue.add(queued, number)
        served = Counter(
            queue.take(_never_blocked).request.client for _ in range(40)
        )
        for client, count in expected.items():
            self.assertAlmostEqual(served[client], count, delta=1)

    def test_earliest_expiry_is_served_first_in_a_client(self):
        queue = FairQueue()
        for expires_ms in (30, 10, 20):
            queue.add(_make_queued(f't-{expires_ms}'), expires_ms)
        for expected in ('t-10', 't-20', 't-30'):
            self.assertEqual(
                queue.take(_never_blocked).request.ticket_id, expected
            )

    def test_idle_client_accumulates_no_turns(self):
        queue = FairQueue()
        for number in range(20):
            queue.add(_make_queued(f'a-{number}', client='a'), number)
        for _turn in range(10):
            queue.take(_never_blocked)
        for number in range(10):
            queue.add(_make_queued(f'b-{number}', client='b'), number)
        served = Counter(
            queue.take(_never_blocked).request.client for _ in range(8)
        )
        self.assertEqual(served, {'a': 4, 'b': 4})

    def test_blocked_client_waits_for_unblock(self):
        queue = FairQueue()
        queue.add(_make_queued('a-1', client='a'), 1)
        queue.add(_make_queued('b-1', client='b'), 2)
        queued = queue.take(lambda client, _max_in_flight: client == 'a')
        self.assertEqual(queued.request.ticket_id, 'b-1')
        self.assertIsNone(queue.take(_never_blocked))
        queue.unblock('a')
        self.assertEqual(queue.take(_never_blocked).request.ticket_id, 'a-1')

    def test_blocked_client_accumulates_no_turns(self):
        queue = FairQueue()
        for number in range(20):
            queue.add(_make_queued(f'a-{number}', client='a'), number)
            queue.add(_make_queued(f'b-{number}', client='b'), number)
        for _turn in range(10):
            queue.take(lambda client, _max_in_flight: client == 'b')
        queue.unblock('b')
        served = Counter(
            queue.take(_never_blocked).request.client for _ in range(8)
        )
        self.assertEqual(served, {'a': 4, 'b': 4})

    def test_evicts_from_the_client_with_most_queued(self):
        queue = FairQueue()
        for number in range(3):
            queue.add(_make_queued(f'a-{number}', client='a'), number)
        for number in range(2):
            queue.add(_make_queued(f'b-{number}', client='b'), number)
        for number in range(2):
            queue.remove(f'a-{number}')
        self.assertEqual(queue.evict_newest().request.ticket_id, 'b-1')

    def test_evicts_from_the_client_with_most_for_its_weight(self):
        queue = FairQueue()
        for number in range(4):
            queue.add(
                _make_queued(f'a-{number}', client='a', weight=4.0), number
            )
        for number in range(2):
            queue.add(
                _make_queued(f'b-{number}', client='b', weight=1.0), number
            )
        self.assertEqual(queue.evict_newest().request.ticket_id, 'b-1')


_STEPS = st.lists(
    st.tuples(
        st.sampled_from(['add', 'add', 'take', 'remove', 'evict', 'expire']),
        st.integers(0, 5),
        st.integers(0, 40),
    ),
    max_size=120,
)


class ConservationTest(unittest.TestCase):
    """Guards against requests that are lost or removed from a queue twice."""

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(_STEPS)
    def test_each_request_is_removed_once(self, steps):
        queue = FairQueue()
        expiries = {}
        for number, (step, client, expires_ms) in enumerate(steps):
            removed = self._step(queue, expiries, step, expires_ms)
            if step == 'add':
                queued = _make_queued(
                    f't-{number}',
                    client=str(client),
                    weight=1 + client / 3,
                )
                queue.add(queued, expires_ms)
                expiries[queued.request.ticket_id] = expires_ms
            if removed is not None:
                expiries.pop(removed.request.ticket_id)
            self.assertEqual(len(queue), len(expiries))
        ids = {queued.request.ticket_id for queued in queue}
        self.assertEqual(ids, set(expiries))

    def _step(self, queue, expiries, step, expires_ms):
        match step:
            case 'take' | 'evict':
                evict = queue.evict_newest
                removed = (
                    evict() if step == 'evict' else queue.take(_never_blocked)
                )
                self.assertEqual(removed is None, not expiries)
                return removed
            case 'remove':
                return queue.remove(next(iter(expiries), ''))
            case 'expire':
                removed = queue.take_expired(expires_ms)
                is_none = all(other > expires_ms for other in expiries.values())
                self.assertEqual(removed is None, is_none)
                return removed


def _count_lines(run) -> int:
    """Return the number of lines of Python that a call executes."""
    lines = Counter()

    def trace(_frame, event, _argument):
        lines[event] += 1
        return trace

    sys.settrace(trace)
    try:
        run()
    finally:
        sys.settrace(None)
    return lines['line']


class CostTest(unittest.TestCase):
    """Guards against a scan of the queue for each event.

    A scan executes at least one line for each queued request.
    """

    @parameterized.expand([('issue',), ('request',), ('cancel',)])
    def test_lines_do_not_grow_with_the_queue(self, step):
        short, long = (self._measure(step, length) for length in (10, 200))
        self.assertLess(long - short, 40)

    def _measure(self, step, length):
        dispatcher = Dispatcher('up-1', epoch=4, slots=1)
        grants = GrantsInForce('up-1', 4, {0: 10}, until_ms=5000)
        dispatcher.set_confirmed_grants(grants, 0)
        for number in range(length):
            request = make_ticket_request(ticket_id=f't-{number}')
            dispatcher.request('vm-1', request, 0)
        cancel = TicketCancel(f't-{length - 1}', 'up-1')
        events = {
            'issue': lambda: dispatcher.issue(1),
            'request': lambda: dispatcher.request(
                'vm-1',
                make_ticket_request(ticket_id='new', rank=Rank.URGENT),
                1,
            ),
            'cancel': lambda: dispatcher.cancel(cancel, 1),
        }
        return _count_lines(events[step])
