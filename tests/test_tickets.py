"""Tests of dispatching and of tickets between entry VMs."""

import random
import unittest

from parameterized import parameterized

from ibisjunction.catalogue.model import Item, ItemType, ItemUpdate, Service
from ibisjunction.clock import ManualClock
from ibisjunction.control.effects import Tick
from ibisjunction.entry.dispatch import Ask, Dispatcher, Grant, Refuse, Wait
from ibisjunction.entry.health import Report, Result
from ibisjunction.entry.messages import (
    DispatchersKnown,
    LocalAsk,
    LocalDone,
)
from ibisjunction.entry.model import Why
from ibisjunction.entry.tickets import TicketTask
from ibisjunction.entry.view import FleetView
from ibisjunction.fleet.commands import (
    AdmitUpstream,
    AssignShards,
    DivideKeys,
    MarkDraining,
    ReleaseShards,
    UpdateItems,
)
from ibisjunction.fleet.model import FleetState, Upstream
from ibisjunction.fleet.rules import apply_fleet_command
from ibisjunction.mailbox import Mailbox
from ibisjunction.peers.link import Received

UPSTREAMS = (
    Upstream('u1', 1, 'reads', '10.0.0.1:80', 'a', 1),
    Upstream('u2', 1, 'reads', '10.0.0.2:80', 'b', 1),
)
_SERVICE = Item(
    ItemType.SERVICE,
    'reads',
    1,
    service=Service('/h', 10, is_sharded=True, warmup_ms=0),
)


def make_view(*commands):
    """Return a view of two upstreams; the first owns all keys."""
    state = FleetState()
    for command in (
        UpdateItems(ItemUpdate((_SERVICE,))),
        *map(AdmitUpstream, UPSTREAMS),
        DivideKeys('reads', 1),
        AssignShards('reads', 'u1', 1, (0,)),
        *commands,
    ):
        state = apply_fleet_command(state, command)[0]
    return FleetView(state, 1)


def make_ask(number, **changes):
    """Return an ask of a request that has one second."""
    fields = {
        'vm': 'e1',
        'service': 'reads',
        'key': None,
        'rank': 0,
        'failure_domain': 'a',
        'asked_ms': 0,
        'target_ms': 500,
        'give_up_ms': 1000,
        **changes,
    }
    return Ask(number=number, **fields)


def make_dispatcher(*commands):
    """Return a dispatcher that knows two upstreams with a slot each."""
    dispatcher = Dispatcher(random.Random(1))
    dispatcher.update_view(make_view(*commands))
    return dispatcher


class DispatcherTest(unittest.TestCase):
    """Guards against a full upstream beside an idle one."""

    def test_each_slot_is_used_once(self):
        dispatcher = make_dispatcher()
        granted = {
            dispatcher.ask(make_ask(number), 0).upstream.upstream
            for number in (1, 2)
        }
        self.assertEqual(granted, {'u1', 'u2'})
        self.assertEqual(dispatcher.ask(make_ask(3), 0), Wait())

    def test_local_upstream_first(self):
        """Guards against traffic between failure domains that gains nothing."""
        dispatcher = make_dispatcher()
        for domain, name in (('b', 'u2'), ('a', 'u1')):
            decision = dispatcher.ask(make_ask(1, failure_domain=domain), 0)
            self.assertEqual(decision.upstream.upstream, name)

    def test_only_the_owner_of_a_key(self):
        dispatcher = make_dispatcher()
        decision = dispatcher.ask(make_ask(1, key=7), 0)
        self.assertEqual(decision.upstream.upstream, 'u1')
        self.assertEqual(dispatcher.ask(make_ask(2, key=8), 0), Wait())

    def test_moving_key_waits_and_is_given_up(self):
        """Guards against a request that waits for an owner without end."""
        dispatcher = make_dispatcher(ReleaseShards('reads', (0,)))
        ask = make_ask(1, key=7, give_up_ms=9000)
        self.assertEqual(dispatcher.ask(ask, 0), Wait())
        self.assertEqual(dispatcher.decide_waiting(1000), [])
        self.assertEqual(
            dispatcher.decide_waiting(1500),
            [(ask, Refuse(Why.NO_OWNER))],
        )

    def test_leaving_upstream_gets_nothing(self):
        dispatcher = make_dispatcher(MarkDraining('u1', 1))
        first = dispatcher.ask(make_ask(1), 0)
        self.assertEqual(first.upstream.upstream, 'u2')
        self.assertEqual(dispatcher.ask(make_ask(2), 0), Wait())

    def test_avoided_upstream_is_the_last_choice(self):
        dispatcher = make_dispatcher()
        ask = make_ask(1, avoided=frozenset([('u1', 1)]))
        self.assertEqual(dispatcher.ask(ask, 0).upstream.upstream, 'u2')

    @parameterized.expand(
        [
            ('rank', {'rank': 2}, {'rank': 0}),
            ('late', {'target_ms': 100}, {'target_ms': 700}),
            ('target', {'target_ms': 600}, {'target_ms': 500}),
        ]
    )
    def test_order_of_turns(self, _name, second, first):
        """Guards against urgent requests behind those of a flood."""
        dispatcher = make_dispatcher()
        grants = [dispatcher.ask(make_ask(number), 0) for number in (1, 2)]
        for number, changes in ((3, second), (4, first)):
            waiting = make_ask(number, **changes)
            self.assertEqual(dispatcher.ask(waiting, 0), Wait())
        report = Report(Result.ANSWERED, 100)
        dispatcher.finish(grants[0].upstream, report, 100)
        decided = dispatcher.decide_waiting(100)
        self.assertEqual([ask.number for ask, _ in decided], [4])

    def test_hopeless_request_is_refused_at_once(self):
        """Guards against a refusal that comes only at the deadline."""
        dispatcher = make_dispatcher()
        decisions = [
            dispatcher.ask(make_ask(number), 0) for number in range(20)
        ]
        self.assertEqual(decisions[-1], Refuse(Why.OVERLOADED))

    @parameterized.expand(
        [
            ('after less urgent ones', {'rank': 2}, {'rank': 0}, Wait()),
            ('after as urgent ones', {}, {}, Refuse(Why.OVERLOADED)),
        ]
    )
    def test_only_those_before_it_count(self, _name, others, own, expected):
        """Guards against urgent requests refused because of a flood."""
        dispatcher = make_dispatcher()
        for number in range(20):
            dispatcher.ask(make_ask(number, **others), 0)
        last = make_ask(20, target_ms=600, **own)
        self.assertEqual(dispatcher.ask(last, 0), expected)

    def test_order_expects_more_than_a_usual_service_time(self):
        """Guards against sends that are just too late, one after another."""
        dispatcher = make_dispatcher()
        for number in range(12):
            grant = dispatcher.ask(make_ask(number, key=1), 0)
            latency_ms = 300 if number % 2 else 100
            report = Report(Result.ANSWERED, latency_ms)
            dispatcher.finish(grant.upstream, report, 0)
        grant = dispatcher.ask(make_ask(20, key=1), 0)
        for number, target_ms in ((21, 500), (22, 700)):
            ask = make_ask(number, key=1, target_ms=target_ms)
            self.assertEqual(dispatcher.ask(ask, 0), Wait())
        report = Report(Result.ANSWERED, 100)
        dispatcher.finish(grant.upstream, report, 250)
        decided = dispatcher.decide_waiting(250)
        self.assertEqual([ask.number for ask, _ in decided], [22])

    def test_upstream_that_was_slow_is_tried_again(self):
        """Guards against keys that are refused for good after a slow spell.

        Seen on incident inc-7041 of cdcg-ibis: after the final fault answers
        took longer than the route's timeout, and no request followed them.
        """
        dispatcher = make_dispatcher()
        for number in range(20):
            ask = make_ask(number, key=1, give_up_ms=90_000)
            grant = dispatcher.ask(ask, 0)
            report = Report(Result.ANSWERED, 5000)
            dispatcher.finish(grant.upstream, report, 0)
        refused = dispatcher.ask(make_ask(30, key=1), 0)
        self.assertEqual(refused, Refuse(Why.TIMED_OUT))
        ask = make_ask(31, key=1, asked_ms=2100, give_up_ms=3100)
        self.assertIsInstance(dispatcher.ask(ask, 2100), Grant)

    def test_failing_upstream_is_left_alone(self):
        dispatcher = make_dispatcher()
        for number in (1, 2):
            grant = dispatcher.ask(make_ask(number, key=1), 0)
            report = Report(Result.BROKEN, 1)
            dispatcher.finish(grant.upstream, report, 0)
        self.assertEqual(dispatcher.ask(make_ask(3, key=1), 0), Wait())
        decided = dispatcher.decide_waiting(300)
        self.assertIsInstance(decided[0][1], Grant)


class _Network:
    """Delivers messages between ticket tasks unless a VM is lost."""

    def __init__(self):
        self.tasks = {}
        self.lost = set()
        self._sent = []

    def link(self, vm):
        """Return the peers of one VM."""
        return _Link(self, vm)

    def deliver(self):
        """Deliver all messages that were sent, and the answers to them."""
        while self._sent:
            sender, vm, message = self._sent.pop(0)
            if vm not in self.lost and sender not in self.lost:
                self.tasks[vm].handle(Received(sender, message))

    def post(self, sender, vm, message):
        """Send a message."""
        self._sent.append((sender, vm, message))


class _Link:
    def __init__(self, network, vm):
        self._network = network
        self._vm = vm

    def send(self, vm, message):
        self._network.post(self._vm, vm, message)

    def subscribe(self, mailbox, *types):
        """Need no mailbox: messages are handled at once."""


class TicketTest(unittest.TestCase):
    """Guards against requests that wait for a dispatcher which is lost."""

    def setUp(self):
        self.clock = ManualClock(1000)
        self.network = _Network()
        vms = ('e1', 'e2', 'e3')
        for vm in vms:
            task = TicketTask(
                vm,
                self.clock,
                self.network.link(vm),
                Dispatcher(random.Random(1)),
            )
            self.network.tasks[vm] = task
            task.handle(make_view())
            task.handle(DispatchersKnown(vms))

    def ask(self, vm, number):
        """Ask as a request of a VM; return the mailbox of the decision."""
        reply = Mailbox()
        ask = make_ask(
            number,
            vm=vm,
            asked_ms=self.clock.now(),
            target_ms=self.clock.now() + 500,
            give_up_ms=self.clock.now() + 1000,
        )
        self.network.tasks[vm].handle(LocalAsk(ask, reply))
        self.network.deliver()
        return reply

    def tick(self, delta_ms):
        """Let time pass on all VMs."""
        self.clock.advance(delta_ms)
        for task in self.network.tasks.values():
            task.handle(Tick())
        self.network.deliver()

    def test_slots_are_shared_by_all_vms(self):
        replies = [self.ask(vm, 1) for vm in ('e1', 'e2', 'e3')]
        granted = [not reply.is_empty for reply in replies]
        self.assertEqual(sum(granted), 2)
        holder = granted.index(True)
        vm = ('e1', 'e2', 'e3')[holder]
        report = Report(Result.ANSWERED, 10)
        self.network.tasks[vm].handle(LocalDone(1, report))
        self.network.deliver()
        waiting = replies[granted.index(False)]
        self.assertIsInstance(waiting.take_waiting()[0], Grant)

    @parameterized.expand([('e1',), ('e2',), ('e3',)])
    def test_lost_dispatcher(self, lost):
        self.network.lost.add(lost)
        asking = 'e2' if lost == 'e1' else 'e1'
        reply = self.ask(asking, 1)
        self.tick(100)
        self.assertIsInstance(reply.take_waiting()[0], Grant)

    def test_request_that_asks_again_keeps_its_place(self):
        """Guards against a refusal for the sake of those that came later.

        Seen on cdcg-ibis quiet-1: requests for a busy key were refused after
        300, 600 and 900 ms, each time they asked again.
        """
        replies = [self.ask(vm, 1) for vm in ('e1', 'e2', 'e3')]
        replies += [self.ask('e1', number) for number in range(2, 7)]
        waiting = [reply for reply in replies if reply.is_empty]
        for _ in range(30):
            self.tick(10)
        self.assertEqual(len(waiting), 6)
        self.assertTrue(all(reply.is_empty for reply in waiting))

    def test_ticket_that_is_not_returned(self):
        """Guards against a slot that a lost VM keeps for good."""
        for vm in ('e1', 'e2'):
            self.ask(vm, 1)
        self.tick(1500)
        reply = self.ask('e3', 1)
        self.assertFalse(reply.is_empty)
