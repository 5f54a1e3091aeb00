"""Tests of the records of non-idempotent requests."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from ibisjunction.ledger.holders import choose_holders
from ibisjunction.ledger.messages import (
    ConcludeRecord,
    Holder,
    NoteFinished,
    OpenRecord,
    RecordHeld,
    RecordReserved,
    RecordUnavailable,
    ReportCrash,
    ReserveRecord,
)
from ibisjunction.ledger.records import BUCKETS, RETENTION_MS, RecordTable
from ibisjunction.ledger.reservation import MayRun, Reservation
from ibisjunction.mailbox import Mailbox
from ibisjunction.outcomes import Failed, Reason, Refused
from ibisjunction.verdict import Verdict
from tests.ledger_world import LedgerWorld
from tests.samples import make_vm

_THREE = {'a': 'fd-1', 'b': 'fd-2', 'c': 'fd-3'}
_FIVE = {**_THREE, 'd': 'fd-4', 'e': 'fd-1'}
_HOLDERS = tuple(Holder(vm, 1) for vm in _THREE)
_YES = RecordReserved('r', 1)
_OLD_LIFE = RecordReserved('r', 0)
_BUSY = RecordHeld('r', 'd', None, 0)
_RAN = RecordHeld('r', 'd', Verdict.RAN, 201)
_MAYBE = RecordHeld('r', 'd', Verdict.MAY_HAVE_RUN, 0)
_OTHER = RecordHeld('r', 'other', Verdict.RAN, 200)
_GONE = RecordUnavailable('r', 'records are being pulled')

_IN_PROGRESS = Failed(Reason.ALREADY_RECORDED, 'it is in progress')
_DID_RUN = Failed(
    Reason.ALREADY_RECORDED,
    'it ran with status 201',
    Verdict.RAN,
)
_MAY_HAVE_RUN = Failed(Reason.ALREADY_RECORDED)
_REUSED = Refused(Reason.KEY_REUSED)


def _unreachable(detail='no answer') -> Refused:
    return Refused(Reason.RECORD_UNREACHABLE, detail)


class ReservationTest(unittest.TestCase):
    """Guards against a run without two records, and a guessed refusal.

    The columns are the votes of three holders, the decision before the time
    for votes has run out, and the one after it.
    """

    @parameterized.expand(
        [
            ('two', (_YES, _YES, None), MayRun(), MayRun()),
            ('three', (_YES, _YES, _YES), MayRun(), MayRun()),
            ('one', (_YES, None, None), None, _unreachable()),
            ('none', (None, None, None), None, _unreachable()),
            ('old life', (_YES, _OLD_LIFE, None), None, _unreachable()),
            ('one pulls', (_YES, _GONE, _YES), MayRun(), MayRun()),
            ('two pull', (_YES, _GONE, _GONE), None,
             _unreachable('records are being pulled')),
            ('busy at one', (_BUSY, None, None), None, _IN_PROGRESS),
            ('busy at two', (_BUSY, _BUSY, None), _IN_PROGRESS, _IN_PROGRESS),
            ('stale at one', (_BUSY, _YES, _YES), MayRun(), MayRun()),
            ('ran', (_RAN, None, None), _DID_RUN, _DID_RUN),
            ('ran at one', (_YES, _RAN, None), _DID_RUN, _DID_RUN),
            ('may have run', (_MAYBE, None, None), _MAY_HAVE_RUN,
             _MAY_HAVE_RUN),
            ('other request', (_OTHER, None, None), _REUSED, _REUSED),
        ]
    )  # fmt: skip
    def test_votes(self, _name, votes, early, late):
        ask = OpenRecord('r', 'k', 'd', Mailbox())
        reservation = Reservation(ask, _HOLDERS, 0)
        decisions = [
            reservation.vote(holder.vm, vote)
            for holder, vote in zip(_HOLDERS, votes, strict=True)
            if vote is not None
        ]
        found = [one for one in decisions if one is not None]
        self.assertEqual(found[0] if found else None, early)
        self.assertEqual(reservation.end(300), late)
        self.assertIsNone(reservation.end(299))


class RecordTableTest(unittest.TestCase):
    """Guards against a record that is forgotten or changed by another."""

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
        ask = ReserveRecord(request_id, 'k', 'd', _HOLDERS)
        held = table.reserve(ask, now)
        is_blocked = _name in {
            'second request', 'ran', 'ran, repeated', 'foreign end', 'kept',
        }  # fmt: skip
        self.assertEqual(held is not None, is_blocked)
        self.assertEqual(held.verdict if held else None, verdict)

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
    """Guards against copies that one failure takes, and against churn."""

    def test_distinct_domains(self):
        vms = {vm: make_vm(vm, domain) for vm, domain in _FIVE.items()}
        for number in range(200):
            holders = choose_holders(f'k{number}', vms)
            domains = {vms[holder.vm].failure_domain for holder in holders}
            self.assertEqual(len(domains), 3)

    @parameterized.expand([(1, 1), (2, 2), (3, 3), (5, 3)])
    def test_count_in_one_domain(self, count, expected):
        vms = {f'v{number}': make_vm(f'v{number}') for number in range(count)}
        self.assertEqual(len(set(choose_holders('k', vms))), expected)

    def test_a_joining_vm_makes_no_other_vm_a_holder(self):
        vms = {vm: make_vm(vm, domain) for vm, domain in _FIVE.items()}
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
            ('ran', Verdict.RAN, 'd', _DID_RUN),
            ('may have run', Verdict.MAY_HAVE_RUN, 'd', _MAY_HAVE_RUN),
            ('not run', Verdict.NOT_RUN, 'd', MayRun()),
            ('other request', Verdict.RAN, 'other', _REUSED),
        ]
    )
    def test_resend(self, _name, verdict, digest, expected):
        for vm in _FIVE:
            world = LedgerWorld(_FIVE)
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
            ('three', _THREE),
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
            world = LedgerWorld(_FIVE)
            opened = [world.open(vm, f'k{number}') for vm in 'abcde'[:count]]
            # A VM's messages to itself arrive first.
            for vm in _FIVE:
                if (vm, vm) in world.links:
                    world.deliver((vm, vm))
            world.settle(8)
            self.assertEqual(sum(map(world.may_run, opened)), 1)

    def test_unreachable_records(self):
        world = LedgerWorld(_THREE)
        world.stop('b')
        world.stop('c')
        request = world.open('a', 'k')
        world.settle(8)
        self.assertEqual(world.decisions[request], _unreachable())

    @parameterized.expand(_THREE.items())
    def test_record_survives_one_loss_and_a_replacement(self, lost, _domain):
        """Guards against a replacement that counts before it has the records.

        The record is kept on two holders only; one of them is replaced.
        """
        for missing in _THREE.keys() - {lost}:
            world = LedgerWorld(_THREE)
            world.cut = {missing}
            sender = min(_THREE.keys() - {missing})
            first = world.open(sender, 'k')
            world.settle(2)
            self.assertTrue(world.may_run(first))
            world.cut = set()
            world.stop(lost)
            world.start(lost)
            world.settle()
            for vm in _THREE:
                resent = world.open(vm, 'k')
                world.settle()
                self.assertEqual(world.decisions[resent], _IN_PROGRESS)

    def test_removed_holder(self):
        """Guards against a new holder that has not pulled the records."""
        for number in range(20):
            world = LedgerWorld(_FIVE)
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

        The first VM starts alone; the second sees the others already there.
        """
        world = LedgerWorld({'a': 'fd-1'})
        world.domains.update(_FIVE)
        for vm in 'bcde':
            world.start(vm, told=False)
            world.tell('a')
        for vm in 'bcde':
            world.tell(vm)
            world.settle()
        for vm in 'bcde':
            self.assertTrue(world.ledgers[vm].holding.is_complete)

    def test_two_lost_memories_are_not_trusted(self):
        """Guards against an empty ledger that answers as if it were whole."""
        world = LedgerWorld(_FIVE)
        for vm in ('a', 'b'):
            world.stop(vm)
        for vm in ('a', 'b'):
            world.start(vm)
        world.settle()
        held_by = {
            vm: world.ledgers[vm].holding.is_complete for vm in world.ledgers
        }
        self.assertEqual(
            held_by,
            {'a': False, 'b': False, 'c': True, 'd': True, 'e': True},
        )
        world.tick(RETENTION_MS + 2000)
        self.assertTrue(world.ledgers['a'].holding.is_complete)


class StaleViewTest(unittest.TestCase):
    """Guards against holders that count under different control states."""

    def test_restarted_holder_without_its_records(self):
        world = LedgerWorld(_THREE)
        world.cut = {'c'}
        first = world.open('a', 'k')
        world.settle(2)
        self.assertTrue(world.may_run(first))
        world.cut = {'a'}
        world.stop('b')
        world.start('b')
        second = world.open('c', 'k')
        world.settle(8)
        self.assertEqual(
            world.decisions[second],
            _unreachable('records are being pulled'),
        )

    def test_pull_from_a_vm_that_takes_earlier_reservations(self):
        key = _find_key_moved_to_d()
        world = LedgerWorld(_THREE)
        world.domains['d'] = 'fd-4'
        world.start('d', told=False)
        world.tell('d')
        world.tell('c')
        world.settle()
        first = world.open('a', key)
        world.settle()
        self.assertTrue(world.may_run(first))
        world.tell('a')
        world.tell('b')
        world.cut = {'a'}
        second = world.open('d', key)
        world.settle(8)
        self.assertFalse(world.may_run(second))

    def test_delayed_reservation_for_earlier_holders(self):
        key = _find_key_moved_to_d()
        world = LedgerWorld(_THREE)
        first = world.open('a', key)
        world.tick()  # asks all holders
        delayed = dict(world.links)
        world.links.clear()
        world.domains['d'] = 'fd-4'
        world.start('d')
        world.settle(0)
        self.assertTrue(world.ledgers['d'].holding.is_complete)
        world.links = {
            link: messages
            for link, messages in delayed.items()
            if link[1] in {'a', 'b'}
        }
        world.settle(0)
        self.assertFalse(world.may_run(first))


def _find_key_moved_to_d() -> str:
    """Return a key whose holders change from a, b, c to a, c, d."""
    domains = {**_THREE, 'd': 'fd-4'}
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
            ('finished', [ReportCrash('f', 't1'), NoteFinished('f')],
             False, False),
            ('finished between', [ReportCrash('f', 't1'), NoteFinished('f'),
             ReportCrash('f', 't2')], True, False),
        ]
    )  # fmt: skip
    def test_limit(self, _name, reports, is_suspected, is_blocked):
        world = LedgerWorld(_FIVE)
        for vm, report in zip(_FIVE, reports, strict=False):
            world.post(vm, report)
            world.settle(1)
        world.settle()
        for vm in _FIVE:
            suspects = world.suspects[vm]
            self.assertEqual('f' in suspects.suspected, is_suspected)
            self.assertEqual('f' in suspects.blocked, is_blocked)

    def test_expiry(self):
        world = LedgerWorld(_THREE)
        world.post('a', ReportCrash('f', 't1'))
        world.settle()
        world.tick(RETENTION_MS)
        self.assertEqual(world.suspects['b'].suspected, frozenset())


_EVENTS = st.one_of(
    st.tuples(st.just('open'), st.sampled_from(sorted(_FIVE))),
    st.tuples(st.just('deliver'), st.integers(0, 40)),
    st.tuples(st.just('drop'), st.integers(0, 40)),
    st.tuples(st.just('tick'), st.just(50)),
    st.tuples(st.just('restart'), st.sampled_from(sorted(_FIVE))),
    st.tuples(st.just('remove'), st.sampled_from(sorted(_FIVE))),
    st.tuples(st.just('tell'), st.sampled_from(sorted(_FIVE))),
    st.tuples(st.just('not run'), st.integers(0, 9)),
)


class AtMostOnceTest(unittest.TestCase):
    """Guards against two runs of one key under any order of events.

    Messages are delayed or lost and VMs learn of changes late. One VM at a
    time loses its memory; the next one only after the records are copied.
    """

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.lists(_EVENTS, max_size=60))
    def test_one_run(self, events):
        world = LedgerWorld(_FIVE)
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
        case 'restart' if _is_whole(world) and argument in world.ledgers:
            world.start(argument, told=False)
        case 'remove' if _is_whole(world) and len(world.ledgers) > 3:
            world.stop(argument)
            world.remove(argument)
        case 'tell' if argument in world.ledgers:
            world.tell(argument)
        case 'not run' if argument < len(opened):
            _close_not_run(world, *opened[argument], closed)


def _close_not_run(world, vm, request_id, closed) -> None:
    if world.may_run(request_id) and vm in world.ledgers:
        world.close(vm, request_id, Verdict.NOT_RUN)
        closed.add(request_id)


def _is_whole(world) -> bool:
    return all(one.holding.is_complete for one in world.ledgers.values())
