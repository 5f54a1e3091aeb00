"""Tests of the records of non-idempotent requests."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from ibisjunction.ledger.holders import choose_holders
from ibisjunction.ledger.messages import (
    ConcludeRecord,
    Holder,
    OpenRecord,
    RecordHeld,
    RecordReserved,
    RecordUnavailable,
    ReportCrash,
    ReserveRecord,
    SuspectFinished,
)
from ibisjunction.ledger.records import BUCKETS, RETENTION_MS, RecordTable
from ibisjunction.ledger.reservation import MayRun, Reservation
from ibisjunction.mailbox import Mailbox
from ibisjunction.outcomes import Failed, Reason, Refused
from ibisjunction.verdict import Verdict
from tests.ledger_world import LedgerWorld
from tests.samples import make_vm

_THREE_VMS = {'a': 'fd-1', 'b': 'fd-2', 'c': 'fd-3'}
_FIVE_VMS = {**_THREE_VMS, 'd': 'fd-4', 'e': 'fd-1'}
_HOLDERS = tuple(Holder(vm, 1) for vm in _THREE_VMS)
_RESERVED = RecordReserved('r', 1)
_OLD_INCARNATION = RecordReserved('r', 0)
_HELD_IN_PROGRESS = RecordHeld('r', 'd', None, 0)
_HELD_RAN = RecordHeld('r', 'd', Verdict.RAN, 201)
_HELD_MAY_HAVE_RUN = RecordHeld('r', 'd', Verdict.MAY_HAVE_RUN, 0)
_HELD_OTHER = RecordHeld('r', 'other', Verdict.RAN, 200)
_UNAVAILABLE = RecordUnavailable('r', 'records are being pulled')

_IN_PROGRESS = Failed(Reason.ALREADY_RECORDED, 'it is in progress')
_ALREADY_RAN = Failed(
    Reason.ALREADY_RECORDED,
    'it ran with status 201',
    Verdict.RAN,
)
_MAY_HAVE_RUN = Failed(Reason.ALREADY_RECORDED)
_REUSED = Refused(Reason.KEY_REUSED)


def _unreachable(detail='no answer') -> Refused:
    return Refused(Reason.RECORD_UNREACHABLE, detail)


class ReservationTest(unittest.TestCase):
    """Guards against a run without two records, and an unfounded refusal.

    The columns are the votes of three holders, the decision before the time
    for votes has run out, and the one after it.
    """

    @parameterized.expand(
        [
            ('two', (_RESERVED, _RESERVED, None), MayRun(), MayRun()),
            ('three', (_RESERVED, _RESERVED, _RESERVED), MayRun(), MayRun()),
            ('one', (_RESERVED, None, None), None, _unreachable()),
            ('none', (None, None, None), None, _unreachable()),
            ('old incarnation', (_RESERVED, _OLD_INCARNATION, None), None,
             _unreachable()),
            ('one pulls', (_RESERVED, _UNAVAILABLE, _RESERVED), MayRun(),
             MayRun()),
            ('two pull', (_RESERVED, _UNAVAILABLE, _UNAVAILABLE), None,
             _unreachable('records are being pulled')),
            ('in progress at one', (_HELD_IN_PROGRESS, None, None), None,
             _IN_PROGRESS),
            ('in progress at two',
             (_HELD_IN_PROGRESS, _HELD_IN_PROGRESS, None),
             _IN_PROGRESS, _IN_PROGRESS),
            ('in progress at one, reserved at two',
             (_HELD_IN_PROGRESS, _RESERVED, _RESERVED), MayRun(), MayRun()),
            ('ran', (_HELD_RAN, None, None), _ALREADY_RAN, _ALREADY_RAN),
            ('ran at one', (_RESERVED, _HELD_RAN, None), _ALREADY_RAN,
             _ALREADY_RAN),
            ('may have run', (_HELD_MAY_HAVE_RUN, None, None), _MAY_HAVE_RUN,
             _MAY_HAVE_RUN),
            ('other request', (_HELD_OTHER, None, None), _REUSED, _REUSED),
        ]
    )  # fmt: skip
    def test_votes(self, _name, votes, early, late):
        request = OpenRecord('r', 'k', 'd', Mailbox())
        reservation = Reservation(request, _HOLDERS, 0)
        decisions = [
            reservation.add_vote(holder.vm, vote)
            for holder, vote in zip(_HOLDERS, votes, strict=True)
            if vote is not None
        ]
        reached = [decision for decision in decisions if decision is not None]
        self.assertEqual(reached[0] if reached else None, early)
        self.assertEqual(reservation.decide_if_late(300), late)
        self.assertIsNone(reservation.decide_if_late(299))


class RecordTableTest(unittest.TestCase):
    """Guards against a record that another request removes or changes."""

    @parameterized.expand(
        [
            ('first', [], 'r1', 0, None),
            ('repeated message', ['reserve r1'], 'r1', 1, None),
            ('second request', ['reserve r1'], 'r2', 1, None),
            ('not run', ['reserve r1', 'not-run r1'], 'r2', 1, None),
            ('ran', ['reserve r1', 'ran r1'], 'r2', 1, Verdict.RAN),
            ('ran, repeated', ['reserve r1', 'ran r1'], 'r1', 1, Verdict.RAN),
            ('foreign end', ['reserve r1', 'not-run r0'], 'r2', 1, None),
            ('kept', ['reserve r1', 'ran r1'], 'r2', RETENTION_MS - 1,
             Verdict.RAN),
        ]
    )  # fmt: skip
    def test_reserve(self, _name, events, request_id, now, verdict):
        table = RecordTable()
        for event in events:
            kind, _, name = event.partition(' ')
            if kind == 'reserve':
                table.reserve(ReserveRecord(name, 'k', 'd', _HOLDERS), 0)
            else:
                table.conclude(ConcludeRecord(name, 'k', Verdict(kind), 200))
        request = ReserveRecord(request_id, 'k', 'd', _HOLDERS)
        existing = table.reserve(request, now)
        is_blocked = _name in {
            'second request', 'ran', 'ran, repeated', 'foreign end', 'kept',
        }  # fmt: skip
        self.assertEqual(existing is not None, is_blocked)
        self.assertEqual(existing.verdict if existing else None, verdict)

    def test_expiry(self):
        table = RecordTable()
        table.reserve(ReserveRecord('r1', 'k', 'd', _HOLDERS), 0)
        for _ in range(BUCKETS):
            table.expire(RETENTION_MS - 1)
        self.assertEqual(len(table), 1)
        for _ in range(BUCKETS):
            table.expire(RETENTION_MS)
        self.assertEqual(len(table), 0)


class ChooseHoldersTest(unittest.TestCase):
    """Guards against copies in one failure domain and needless new holders."""

    def test_distinct_domains(self):
        vms = {vm: make_vm(vm, domain) for vm, domain in _FIVE_VMS.items()}
        for number in range(200):
            holders = choose_holders(f'k{number}', vms)
            domains = {vms[holder.vm].failure_domain for holder in holders}
            self.assertEqual(len(domains), 3)

    @parameterized.expand([(1, 1), (2, 2), (3, 3), (5, 3)])
    def test_count_in_one_domain(self, count, expected):
        vms = {f'v{number}': make_vm(f'v{number}') for number in range(count)}
        self.assertEqual(len(set(choose_holders('k', vms))), expected)

    def test_a_joining_vm_makes_no_other_vm_a_holder(self):
        vms = {vm: make_vm(vm, domain) for vm, domain in _FIVE_VMS.items()}
        for domain in ('fd-1', 'fd-5'):
            more = {**vms, 'f': make_vm('f', domain)}
            for number in range(200):
                before = set(choose_holders(f'k{number}', vms))
                after = set(choose_holders(f'k{number}', more))
                added = {holder.vm for holder in after - before}
                self.assertLessEqual(added, {'f'})


class ResendTest(unittest.TestCase):
    """Guards against a second run of one key, through any VM."""

    @parameterized.expand(
        [
            ('in progress', None, 'd', _IN_PROGRESS),
            ('ran', Verdict.RAN, 'd', _ALREADY_RAN),
            ('may have run', Verdict.MAY_HAVE_RUN, 'd', _MAY_HAVE_RUN),
            ('not run', Verdict.NOT_RUN, 'd', MayRun()),
            ('other request', Verdict.RAN, 'other', _REUSED),
        ]
    )
    def test_resend(self, _name, verdict, digest, expected):
        for vm in _FIVE_VMS:
            world = LedgerWorld(_FIVE_VMS)
            first = world.open('a', 'k')
            world.settle()
            self.assertTrue(world.may_run(first))
            if verdict is not None:
                world.close('a', first, verdict, 201)
                world.settle()
            second = world.open(vm, 'k', digest)
            world.settle()
            self.assertEqual(world.decisions[second], expected)

    @parameterized.expand(
        [
            ('one VM', {'a': 'fd-1'}),
            ('two VMs', {'a': 'fd-1', 'b': 'fd-1'}),
            ('three', _THREE_VMS),
        ]
    )
    def test_small_systems(self, _name, domains):
        world = LedgerWorld(domains)
        first = world.open('a', 'k')
        world.settle()
        second = world.open('a', 'k')
        world.settle()
        self.assertTrue(world.may_run(first))
        self.assertEqual(world.decisions[second], _IN_PROGRESS)

    @parameterized.expand([('three senders', 3), ('five senders', 5)])
    def test_one_of_several_senders_runs(self, _name, count):
        """Guards against senders that block each other."""
        for number in range(10):
            world = LedgerWorld(_FIVE_VMS)
            request_ids = [
                world.open(vm, f'k{number}') for vm in 'abcde'[:count]
            ]
            # A VM's messages to itself arrive first.
            for vm in _FIVE_VMS:
                if (vm, vm) in world.links:
                    world.deliver((vm, vm))
            world.settle(8)
            self.assertEqual(sum(map(world.may_run, request_ids)), 1)

    def test_unreachable_records(self):
        world = LedgerWorld(_THREE_VMS)
        world.stop('b')
        world.stop('c')
        request = world.open('a', 'k')
        world.settle(8)
        self.assertEqual(world.decisions[request], _unreachable())

    @parameterized.expand(_THREE_VMS.items())
    def test_record_survives_one_loss_and_a_replacement(self, lost, _domain):
        """Guards against a replacement that reserves before it has records.

        The record is kept on two holders only; one of them is replaced.
        """
        for missing in _THREE_VMS.keys() - {lost}:
            world = LedgerWorld(_THREE_VMS)
            world.disconnected = {missing}
            sender = min(_THREE_VMS.keys() - {missing})
            first = world.open(sender, 'k')
            world.settle(2)
            self.assertTrue(world.may_run(first))
            world.disconnected = set()
            world.stop(lost)
            world.start(lost)
            world.settle()
            for vm in _THREE_VMS:
                resent = world.open(vm, 'k')
                world.settle()
                self.assertEqual(world.decisions[resent], _IN_PROGRESS)

    def test_removed_holder(self):
        """Guards against a new holder that has not pulled the records."""
        for number in range(20):
            world = LedgerWorld(_FIVE_VMS)
            key = f'k{number}'
            first = world.open('a', key)
            world.settle()
            self.assertTrue(world.may_run(first))
            for lost in ('b', 'c'):
                world.stop(lost)
                world.remove(lost)
                world.settle()
            resent = world.open('d', key)
            world.settle()
            self.assertEqual(world.decisions[resent], _IN_PROGRESS)

    def test_staggered_start(self):
        """Guards against VMs that wait for each other at the first start.

        The first VM starts alone; each other VM first receives a control state
        that already lists all of them.
        """
        world = LedgerWorld({'a': 'fd-1'})
        world.domains.update(_FIVE_VMS)
        for vm in 'bcde':
            world.start(vm, sends_view=False)
            world.send_view('a')
        for vm in 'bcde':
            world.send_view(vm)
            world.settle()
        for vm in 'bcde':
            self.assertTrue(world.ledgers[vm].held_records.is_current)

    def test_two_restarted_vms_are_not_complete(self):
        """Guards against an empty ledger that answers like a complete one."""
        world = LedgerWorld(_FIVE_VMS)
        for vm in ('a', 'b'):
            world.stop(vm)
        for vm in ('a', 'b'):
            world.start(vm)
        world.settle()
        completed = {
            vm: world.ledgers[vm].held_records.is_current
            for vm in world.ledgers
        }
        self.assertEqual(
            completed,
            {'a': False, 'b': False, 'c': True, 'd': True, 'e': True},
        )
        world.tick(RETENTION_MS + 2000)
        self.assertTrue(world.ledgers['a'].held_records.is_current)


class StaleViewTest(unittest.TestCase):
    """Guards against votes of holders from different control states."""

    def test_restarted_holder_without_its_records(self):
        """Guards against the vote of a holder that lost the record of a run.

        Of the two holders with the record, one restarts and the other is
        disconnected.
        """
        world = LedgerWorld(_THREE_VMS)
        world.disconnected = {'c'}
        first = world.open('a', 'k')
        world.settle(2)
        self.assertTrue(world.may_run(first))
        world.disconnected = {'a'}
        world.stop('b')
        world.start('b')
        second = world.open('c', 'k')
        world.settle(8)
        self.assertEqual(
            world.decisions[second],
            _unreachable('records are being pulled'),
        )

    def test_pull_from_a_vm_that_accepts_earlier_reservations(self):
        """Guards against a new holder that pulled records too early.

        A VM that still has the earlier view accepts a reservation afterwards.
        """
        key = _find_key_moved_to_d()
        world = LedgerWorld(_THREE_VMS)
        world.domains['d'] = 'fd-4'
        world.start('d', sends_view=False)
        world.send_view('d')
        world.send_view('c')
        world.settle()
        first = world.open('a', key)
        world.settle()
        self.assertTrue(world.may_run(first))
        world.send_view('a')
        world.send_view('b')
        world.disconnected = {'a'}
        second = world.open('d', key)
        world.settle(8)
        self.assertFalse(world.may_run(second))

    def test_delayed_reservation_for_earlier_holders(self):
        """Guards against a record that the new holder cannot pull any more.

        Reservations arrive late, after the new holder has pulled all records.
        """
        key = _find_key_moved_to_d()
        world = LedgerWorld(_THREE_VMS)
        first = world.open('a', key)
        world.tick()  # sends the reservation to all holders
        delayed = dict(world.links)
        world.links.clear()
        world.domains['d'] = 'fd-4'
        world.start('d')
        world.settle(0)
        self.assertTrue(world.ledgers['d'].held_records.is_current)
        world.links = {
            link: messages
            for link, messages in delayed.items()
            if link[1] in {'a', 'b'}
        }
        world.settle(0)
        self.assertFalse(world.may_run(first))


def _find_key_moved_to_d() -> str:
    """Return a key whose holders change from a, b, c to a, c, d."""
    domains = {**_THREE_VMS, 'd': 'fd-4'}
    vms = {vm: make_vm(vm, domain) for vm, domain in domains.items()}
    return next(
        f'k{number}'
        for number in range(1000)
        if {holder.vm for holder in choose_holders(f'k{number}', vms)}
        == set('acd')
    )


class CrashTest(unittest.TestCase):
    """Guards against a request that crashes one upstream after the other."""

    @parameterized.expand(
        [
            ('one loss', [ReportCrash('f', 't1')], True, False),
            ('same loss', [ReportCrash('f', 't1'), ReportCrash('f', 't1')],
             True, False),
            ('two', [ReportCrash('f', 't1'), ReportCrash('f', 't2')],
             True, True),
            ('two requests', [ReportCrash('f', 't1'), ReportCrash('g', 't2')],
             True, False),
            ('finished', [ReportCrash('f', 't1'), SuspectFinished('f')],
             False, False),
            ('finished between', [ReportCrash('f', 't1'), SuspectFinished('f'),
             ReportCrash('f', 't2')], True, False),
        ]
    )  # fmt: skip
    def test_limit(self, _name, reports, is_suspected, is_blocked):
        world = LedgerWorld(_FIVE_VMS)
        for vm, report in zip(_FIVE_VMS, reports, strict=False):
            world.post(vm, report)
            world.settle(1)
        world.settle()
        for vm in _FIVE_VMS:
            suspects = world.suspects[vm]
            self.assertEqual('f' in suspects.suspected, is_suspected)
            self.assertEqual('f' in suspects.blocked, is_blocked)

    def test_expiry(self):
        world = LedgerWorld(_THREE_VMS)
        world.post('a', ReportCrash('f', 't1'))
        world.settle()
        world.tick(RETENTION_MS)
        self.assertEqual(world.suspects['b'].suspected, frozenset())


_EVENTS = st.one_of(
    st.tuples(st.just('open'), st.sampled_from(sorted(_FIVE_VMS))),
    st.tuples(st.just('deliver'), st.integers(0, 40)),
    st.tuples(st.just('drop'), st.integers(0, 40)),
    st.tuples(st.just('tick'), st.just(50)),
    st.tuples(st.just('restart'), st.sampled_from(sorted(_FIVE_VMS))),
    st.tuples(st.just('remove'), st.sampled_from(sorted(_FIVE_VMS))),
    st.tuples(st.just('send view'), st.sampled_from(sorted(_FIVE_VMS))),
    st.tuples(st.just('not run'), st.integers(0, 9)),
)


class AtMostOnceTest(unittest.TestCase):
    """Guards against two runs of one key under any order of events.

    Messages are delayed or lost, and VMs receive control states late. One VM
    at a time loses its memory; the next one only after the records are copied.
    """

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.lists(_EVENTS, max_size=60))
    def test_one_run(self, events):
        world = LedgerWorld(_FIVE_VMS)
        opened: list[tuple[str, str]] = []
        closed: set[str] = set()
        for event, argument in events:
            _apply(world, event, argument, opened, closed)
            running = [
                request_id
                for _, request_id in opened
                if world.may_run(request_id) and request_id not in closed
            ]
            self.assertLessEqual(len(running), 1)


def _apply(world, event, argument, opened, closed) -> None:
    links = sorted(world.links)
    match event:
        case 'open' if argument in world.ledgers:
            opened.append((argument, world.open(argument, 'k')))
        case 'deliver' if links:
            world.deliver(links[argument % len(links)])
        case 'drop' if links:
            world.links.pop(links[argument % len(links)])
        case 'tick':
            world.tick(argument)
        case 'restart' if _are_complete(world) and argument in world.ledgers:
            world.start(argument, sends_view=False)
        case 'remove' if _are_complete(world) and len(world.ledgers) > 3:
            world.stop(argument)
            world.remove(argument)
        case 'send view' if argument in world.ledgers:
            world.send_view(argument)
        case 'not run' if argument < len(opened):
            _close_not_run(world, *opened[argument], closed)


def _close_not_run(world, vm, request_id, closed) -> None:
    if world.may_run(request_id) and vm in world.ledgers:
        world.close(vm, request_id, Verdict.NOT_RUN)
        closed.add(request_id)


def _are_complete(world) -> bool:
    return all(
        ledger.held_records.is_current for ledger in world.ledgers.values()
    )
