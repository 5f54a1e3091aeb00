"""Tests of the take-over by a new dispatcher and of tickets at a VM."""

import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from ibisjunction.clock import ManualClock
from ibisjunction.control.commands import (
    AnnounceUpstream,
    AssignDispatcher,
    AssignShards,
    BeginMove,
    CompleteMove,
    RegisterVm,
    RemoveVm,
)
from ibisjunction.control.messages import ControlView
from ibisjunction.control.state import ControlState, apply_command
from ibisjunction.dispatch.handover import DispatchedUpstream
from ibisjunction.dispatch.messages import (
    CheckTickets,
    GrantsInForce,
    HeldTicket,
    ResultKind,
    SurveyTickets,
    TicketCancel,
    TicketDone,
    TicketGranted,
    TicketRequest,
    TicketResult,
    TicketsHeld,
)
from ibisjunction.mailbox import Mailbox
from ibisjunction.membership.messages import LeaseExtended
from ibisjunction.outcomes import Reason, Refused
from ibisjunction.ownership.messages import ShardsIdle
from ibisjunction.peers.link import Received
from ibisjunction.routing.messages import ObtainTicket, TicketHeld
from ibisjunction.routing.task import RoutingTask
from ibisjunction.services import Rank
from ibisjunction.services.catalogue import RouteMatch
from tests.samples import READ, make_spec, make_upstream, make_vm

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
_SUCCESS = TicketResult(ResultKind.SUCCEEDED, 5)
#: A ticket of an earlier dispatcher. It occupies the only slot that may be
#: used, since the limit of an upstream that was taken over starts at one.
_HELD = HeldTicket('old-0', 0, 500)
_GRANTS = GrantsInForce('up-1', 1, {0: 1, 1: 2}, until_ms=5000)
_MOVE = BeginMove('mail-log', 0, 1, 'up-2')


def _build_state(*commands) -> ControlState:
    state = ControlState()
    for command in (
        RegisterVm(make_vm('vm-1')),
        RegisterVm(make_vm('vm-2')),
        AnnounceUpstream(make_upstream('up-1')),
        AnnounceUpstream(make_upstream('up-2')),
        AssignDispatcher('up-1', 'vm-1'),
        AssignShards('mail-log', 'up-1', (0, 1)),
        *commands,
    ):
        state, _ = apply_command(state, command)
    return state


def _take_over(
    answering_vms=('vm-1', 'vm-2'), tickets=()
) -> DispatchedUpstream:
    """Return an upstream that was taken over, with confirmed grants.

    ``tickets`` are those that ``vm-2`` reports as in use.
    """
    state = _build_state()
    dispatched = DispatchedUpstream(make_upstream(), 1, state.vms)
    dispatched.set_leased(is_leased=True)
    dispatched.apply_state(state, 0)
    for vm in answering_vms:
        held = list(tickets) if vm == 'vm-2' else []
        dispatched.record_survey_answer(vm, TicketsHeld('up-1', 1, held), 0)
    dispatched.set_confirmed_grants(_GRANTS, 0)
    return dispatched


def _granted(effects) -> list[str]:
    return [
        effect.message.ticket_id
        for effect in effects
        if isinstance(effect.message, TicketGranted)
    ]


class SurveyTest(unittest.TestCase):
    """Guards against tickets while those of an earlier epoch are in use."""

    def test_issues_once_every_vm_has_answered(self):
        dispatched = _take_over(answering_vms=('vm-1',))
        first_effects = dispatched.dispatcher.request('vm-1', _REQUEST, 1)
        self.assertEqual(first_effects, [])
        effects = dispatched.record_survey_answer(
            'vm-2', TicketsHeld('up-1', 1, []), 2
        )
        self.assertEqual(_granted(effects), ['t-1'])

    @parameterized.expand(
        [
            ('earlier epoch', 'vm-2', 0),
            ('repeated answer', 'vm-1', 1),
            ('unknown VM', 'vm-9', 1),
        ]
    )
    def test_other_answers_do_not_count(self, _name, vm, epoch):
        dispatched = _take_over(answering_vms=('vm-1',))
        dispatched.record_survey_answer(vm, TicketsHeld('up-1', epoch, []), 1)
        self.assertFalse(dispatched.survey.is_complete)

    @parameterized.expand(
        [
            ('removed', RemoveVm('vm-2', 1)),
            ('restarted', RegisterVm(replace(make_vm('vm-2'), incarnation=2))),
        ]
    )
    def test_process_that_is_gone_is_not_awaited(self, _name, command):
        dispatched = _take_over(answering_vms=('vm-1',))
        dispatched.dispatcher.request('vm-1', _REQUEST, 1)
        effects = dispatched.apply_state(_build_state(command), 2)
        self.assertEqual(_granted(effects), ['t-1'])

    def test_tickets_in_use_take_their_slots(self):
        dispatched = _take_over(tickets=[_HELD])
        self.assertEqual(dispatched.dispatcher.request('vm-1', _REQUEST, 1), [])
        done = TicketDone('old-0', 'up-1', _SUCCESS)
        self.assertEqual(
            _granted(dispatched.dispatcher.finish(done, 2)),
            ['t-1'],
        )

    def test_tickets_of_a_lost_vm_are_dropped(self):
        dispatched = _take_over(tickets=[_HELD])
        dispatched.dispatcher.request('vm-1', _REQUEST, 1)
        effects = dispatched.apply_state(_build_state(RemoveVm('vm-2', 1)), 2)
        self.assertEqual(_granted(effects), ['t-1'])


_ACTIONS = ('request', 'finish', 'begin', 'confirm', 'unlease', 'lease')


def _act(dispatched, action, tickets, number):
    """Perform one action; ``tickets`` are those in use."""
    match action:
        case 'request':
            request = replace(_REQUEST, ticket_id=f't-{number}')
            return dispatched.dispatcher.request('vm-1', request, number)
        case 'finish' if tickets:
            done = TicketDone(tickets.pop(), 'up-1', _SUCCESS)
            return dispatched.dispatcher.finish(done, number)
        case 'begin':
            return dispatched.apply_state(_build_state(_MOVE), number)
        case 'confirm':
            return dispatched.set_confirmed_grants(_GRANTS, number)
        case 'unlease' | 'lease':
            dispatched.set_leased(is_leased=action == 'lease')
    return []


class SuspensionTest(unittest.TestCase):
    """Guards against a ticket for a shard that may have another owner."""

    @parameterized.expand(
        [
            ('owned', (), True, _GRANTS, True),
            ('moving', (_MOVE,), True, _GRANTS, False),
            ('no lease', (), False, _GRANTS, False),
            ('grant not confirmed', (), True, None, False),
            (
                'other fence confirmed',
                (),
                True,
                replace(_GRANTS, fences={0: 9}),
                False,
            ),
            ('other epoch', (), True, replace(_GRANTS, epoch=2), False),
        ]
    )
    def test_issues(self, _name, commands, is_leased, confirmed, is_issued):
        """A request that gets no ticket waits and is not refused."""
        state = _build_state(*commands)
        dispatched = DispatchedUpstream(make_upstream(), 1, state.vms)
        dispatched.set_leased(is_leased=is_leased)
        for vm in state.vms:
            dispatched.record_survey_answer(vm, TicketsHeld('up-1', 1, []), 0)
        if confirmed is not None:
            dispatched.set_confirmed_grants(confirmed, 0)
        effects = dispatched.apply_state(state, 0)
        effects += dispatched.dispatcher.request('vm-1', _REQUEST, 1)
        self.assertEqual(_granted(effects), ['t-1'] if is_issued else [])
        self.assertEqual(len(effects), int(is_issued))

    def test_idle_once_tickets_are_back(self):
        dispatched = _take_over()
        dispatched.dispatcher.request('vm-1', _REQUEST, 1)
        dispatched.apply_state(_build_state(_MOVE), 2)
        self.assertIsNone(dispatched.find_idle_shards())
        dispatched.dispatcher.finish(TicketDone('t-1', 'up-1', _SUCCESS), 3)
        idle = ShardsIdle('up-1', 1, frozenset({1}))
        self.assertEqual(dispatched.find_idle_shards(), idle)
        self.assertIsNone(dispatched.find_idle_shards())

    def test_not_idle_before_the_survey_is_complete(self):
        dispatched = _take_over(answering_vms=('vm-1',))
        dispatched.apply_state(_build_state(_MOVE), 2)
        self.assertIsNone(dispatched.find_idle_shards())

    def test_queued_request_is_refused_after_the_move(self):
        """Its VM can then request a ticket from the new owner's dispatcher."""
        dispatched = _take_over()
        dispatched.apply_state(_build_state(_MOVE), 1)
        dispatched.dispatcher.request('vm-1', _REQUEST, 2)
        state = _build_state(_MOVE, CompleteMove('mail-log', 0, 1))
        dispatched.set_confirmed_grants(replace(_GRANTS, fences={1: 2}), 3)
        effects = dispatched.apply_state(state, 3)
        self.assertEqual(
            [effect.message.reason for effect in effects],
            [Reason.NO_OWNER],
        )

    @settings(max_examples=200, derandomize=True, database=None)
    @given(st.lists(st.sampled_from(_ACTIONS), max_size=30))
    def test_no_ticket_once_idle(self, actions):
        """A shard reported idle gets no ticket under the same grant."""
        dispatched = _take_over()
        tickets, is_idle = [], False
        for number, action in enumerate(actions):
            granted = _granted(_act(dispatched, action, tickets, number))
            self.assertFalse(is_idle and granted)
            tickets += granted
            is_idle = is_idle or dispatched.find_idle_shards() is not None
            self.assertFalse(is_idle and tickets)


class _Network:
    """Records the messages that a task sends."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, object]] = []

    def send(self, vm, message) -> None:
        self.sent.append((vm, message))

    def subscribe(self, mailbox, *message_types) -> None:
        """Do nothing; the test calls the task."""

    def set_address(self, vm, address) -> None:
        """Do nothing."""


class _Vm:
    """The routing task of one VM, which has requested one ticket."""

    def __init__(self) -> None:
        self.clock = ManualClock(0)
        self.network = _Network()
        self.task = RoutingTask('vm-2', self.clock, self.network)
        self.reply: Mailbox = Mailbox()
        self.task.handle(ControlView(1, _build_state()))
        self.task.handle(LeaseExtended(600))
        self.request_ticket('t-1')

    def request_ticket(self, ticket_id) -> None:
        route = RouteMatch(make_spec(), READ, 'key', 0)
        message = ObtainTicket(ticket_id, 'print', route, '', 2000, self.reply)
        self.task.handle(message)

    def receive(self, message, sender='vm-1') -> None:
        self.task.handle(Received(sender, message))

    def answers(self) -> list:
        queue = self.reply._queue
        return [queue.get_nowait() for _ in range(queue.qsize())]

    def sent(self, kind) -> list:
        return [
            (vm, message)
            for vm, message in self.network.sent
            if isinstance(message, kind)
        ]


_TICKET = TicketGranted('t-1', 'up-1', 1, 1)


class TicketTest(unittest.TestCase):
    """Guards against the use of a ticket that no dispatcher counts."""

    @parameterized.expand(
        [
            ('valid', (), _TICKET, None),
            (
                'earlier epoch',
                (AssignDispatcher('up-1', 'vm-2', 1),),
                _TICKET,
                Reason.NOT_DISPATCHER,
            ),
            ('moving', (_MOVE,), _TICKET, Reason.SHARD_MOVING),
            (
                'moved',
                (_MOVE, CompleteMove('mail-log', 0, 1)),
                _TICKET,
                Reason.NO_OWNER,
            ),
            ('view is behind', (), replace(_TICKET, epoch=2, fence=3), None),
        ]
    )
    def test_use(self, _name, commands, ticket, reason):
        vm = _Vm()
        vm.task.handle(ControlView(2, _build_state(*commands)))
        vm.receive(ticket)
        answers = vm.answers()
        self.assertEqual(len(answers), 1)
        if reason is None:
            self.assertIsInstance(answers[0], TicketHeld)
        else:
            self.assertEqual(answers[0], Refused(reason, 'up-1'))
            cancel = ('vm-1', TicketCancel('t-1', 'up-1'))
            self.assertEqual(vm.sent(TicketCancel), [cancel])

    def test_ticket_of_an_earlier_epoch_than_asked_for(self):
        """The dispatcher VM may be behind the VM that asks."""
        vm = _Vm()
        state = _build_state(AssignDispatcher('up-1', 'vm-1', 1))
        vm.task.handle(ControlView(2, state))
        vm.answers()
        vm.request_ticket('t-2')
        vm.receive(replace(_TICKET, ticket_id='t-2'))
        self.assertEqual(
            vm.answers(),
            [Refused(Reason.NOT_DISPATCHER, 'up-1')],
        )

    @parameterized.expand([('held', 't-1', 0), ('returned', 't-9', 1)])
    def test_check_cancels_tickets_not_held(self, _name, ticket_id, count):
        vm = _Vm()
        vm.receive(_TICKET)
        vm.receive(CheckTickets('up-1', [ticket_id]))
        cancel = ('vm-1', TicketCancel(ticket_id, 'up-1'))
        self.assertEqual(vm.sent(TicketCancel), [cancel][:count])

    def test_survey_drops_tickets_of_earlier_epochs(self):
        """The answer to the survey counts the ticket as not in use."""
        vm = _Vm()
        vm.receive(SurveyTickets('up-1', 2), 'vm-3')
        vm.receive(_TICKET)
        self.assertEqual(
            vm.answers(),
            [Refused(Reason.NOT_DISPATCHER, 'up-1')],
        )
        held = ('vm-3', TicketsHeld('up-1', 2, []))
        self.assertEqual(vm.sent(TicketsHeld), [held])

    def test_survey_reports_a_ticket_in_use(self):
        vm = _Vm()
        vm.receive(_TICKET)
        vm.clock.advance(100)
        vm.receive(SurveyTickets('up-1', 2), 'vm-3')
        tickets = [HeldTicket('t-1', 0, 1900)]
        held = ('vm-3', TicketsHeld('up-1', 2, tickets))
        self.assertEqual(vm.sent(TicketsHeld), [held])

    def test_older_survey_is_not_answered(self):
        vm = _Vm()
        vm.receive(SurveyTickets('up-1', 5), 'vm-3')
        vm.receive(SurveyTickets('up-1', 4), 'vm-4')
        self.assertEqual(len(vm.sent(TicketsHeld)), 1)

    @parameterized.expand(
        [('renewed in time', 599, True), ('after a gap', 600, False)]
    )
    def test_ticket_over_a_gap_in_the_lease(self, _name, now, is_used):
        """Dispatchers discard the tickets of a VM whose lease ran out."""
        vm = _Vm()
        vm.clock.advance(now)
        vm.task.handle(LeaseExtended(1200))
        vm.receive(_TICKET)
        answer = vm.answers()[0]
        self.assertEqual(isinstance(answer, TicketHeld), is_used)
