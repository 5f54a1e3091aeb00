"""Tests of a leader's answers to check-ins, departures and item changes."""

import unittest
from dataclasses import replace
from unittest.mock import patch

from parameterized import parameterized

from ibisjunction.catalogue.model import (
    Item,
    ItemType,
    ItemUpdate,
    RequestKind,
    Route,
    Service,
    Target,
)
from ibisjunction.coordination.calls import (
    ChangeItems,
    CheckedIn,
    CheckIn,
    Confirmed,
    Depart,
    FreedRange,
    HeldRange,
    Invalid,
    ReadItems,
    Unavailable,
)
from ibisjunction.coordination.coordinator import Coordinator
from ibisjunction.coordination.effects import ConfirmationWait, Propose, Reply
from ibisjunction.coordination.spread import SlowVm
from ibisjunction.coordination.timing import FleetTiming
from ibisjunction.fleet.commands import (
    AssignShards,
    ReleaseShards,
    SplitShard,
    UpdateItems,
)
from ibisjunction.fleet.model import BUCKET_KEYS, LAST_KEY, FleetState
from ibisjunction.fleet.rules import apply_fleet_command
from ibisjunction.membership.leases import LeaseTable
from ibisjunction.membership.messages import Heartbeat

TIMING = FleetTiming(
    hold_ms=5000,
    lease_ms=5000,
    drain_ms=2000,
    check_in_ms=1000,
    catch_up_ms=4000,
    clock_error=0.02,
    tolerated_losses=2,
)
#: Longer than leases and holds that an earlier leader may have granted.
SETTLED_MS = 10_000
SERVICE = Service('/health', 100, is_sharded=True, warmup_ms=0)
ITEMS = ItemUpdate((Item(ItemType.SERVICE, 'reads', 1, '{}', service=SERVICE),))


def make_check_in(sequence, name='u1', **changes):
    """Return a check-in of an upstream; its address is made from its name."""
    check_in = CheckIn(
        upstream=name,
        born=10,
        service='reads',
        address=f'{name}:80',
        failure_domain='a',
        slots=3,
        is_draining=False,
        sequence=sequence,
    )
    return replace(check_in, **changes)


class Leader:
    """A coordinator whose proposals are committed at once."""

    def __init__(self):
        self.now = 0
        self.index = 0
        state, _ = apply_fleet_command(FleetState(), UpdateItems(ITEMS))
        self.coordinator = self.make_coordinator(state)
        self.answers = {}
        self.waits = {}
        self.proposed = []
        self.call_count = 0

    def make_coordinator(self, state):
        """Return the coordinator of a new term."""
        return Coordinator(
            'vm',
            'p',
            TIMING,
            state,
            self.index,
            self.now,
        )

    def elect(self):
        """Start a new term with the same state."""
        self.coordinator = self.make_coordinator(self.coordinator.state)

    def call(self, call):
        """Make a call and return its answer, if it has one yet."""
        self.call_count += 1
        call_id = f'c{self.call_count}'
        self.run(self.coordinator.handle_call(call_id, call, self.now))
        return self.answers.get(call_id)

    def run(self, effects):
        """Execute effects; proposed commands are committed at once."""
        pending = list(effects)
        while pending:
            effect = pending.pop(0)
            match effect:
                case Reply(call_id=call_id, answer=answer, wait=wait):
                    self.answers[call_id] = answer
                    self.waits[call_id] = wait
                case Propose(proposal_id=proposal_id, command=command):
                    self.proposed.append(command)
                    self.index += 1
                    state, outcome = apply_fleet_command(
                        self.coordinator.state,
                        command,
                    )
                    pending += self.coordinator.apply(
                        state,
                        self.index,
                        {proposal_id: outcome},
                        self.now,
                    )

    def wait(self, duration_ms):
        """Let time pass in steps of 100 ms."""
        for _ in range(duration_ms // 100):
            self.now += 100
            self.run(self.coordinator.handle_tick(self.now))

    def send_heartbeat(self, vm='e1', applied=None):
        """Process the heartbeat of an entry VM."""
        applied = self.index if applied is None else applied
        heartbeat = Heartbeat(vm, 1, self.now, applied, 0)
        self.coordinator.leases.record_heartbeat(
            heartbeat, self.now, 1, self.index
        )
        self.run(self.coordinator.answer_ready_calls(self.now))


def make_holds(state, name='u1'):
    """Return the holds that an upstream reports if it holds all its shards."""
    return tuple(
        HeldRange(shard.first, shard.last, shard.fence)
        for shard in state.list_owned(state.upstreams[name])
    )


def make_leader_with_owners(names=('u1',)):
    """Return a leader whose upstreams own all keys."""
    leader = Leader()
    leader.wait(SETTLED_MS)
    for sequence in range(1, 6):
        for name in names:
            leader.call(make_check_in(sequence, name))
        leader.wait(1000)
    return leader


class CheckInTest(unittest.TestCase):
    """Guards against grants to a process that another one has replaced."""

    def test_grants_cover_all_keys(self):
        leader = make_leader_with_owners()
        answer = leader.call(make_check_in(9))
        self.assertTrue(answer.is_renewal)
        self.assertEqual(answer.grants[0].first, 0)
        self.assertEqual(answer.grants[-1].last, LAST_KEY)

    @parameterized.expand(
        [
            ('late', make_check_in(2), CheckedIn('vm', is_renewal=False)),
            ('earlier process', make_check_in(9, born=9), Invalid),
            (
                'earlier process of the address',
                make_check_in(9, 'u0', born=9, address='u1:80'),
                Invalid,
            ),
            ('unknown service', make_check_in(9, service='x'), Invalid),
        ]
    )
    def test_check_in_is_refused(self, _name, check_in, expected):
        leader = make_leader_with_owners()
        answer = leader.call(check_in)
        if isinstance(expected, type):
            self.assertIsInstance(answer, expected)
        else:
            self.assertEqual(answer, expected)

    def test_later_process_gets_keys_with_a_higher_fence(self):
        """Guards against grants that an upstream refuses after a restart."""
        leader = make_leader_with_owners()
        before = leader.call(make_check_in(9))
        leader.call(make_check_in(1, born=11))
        leader.wait(1000)
        after = leader.call(make_check_in(2, born=11))
        self.assertGreater(after.grants[0].fence, before.grants[0].fence)


class HoldTest(unittest.TestCase):
    """Guards against two upstreams that hold the same keys."""

    @parameterized.expand(
        [
            ('while its hold may last', 5000, False),
            ('after its hold, with a slow clock', 5200, True),
        ]
    )
    def test_silent_owner(self, _name, silent_ms, is_reassigned):
        leader = make_leader_with_owners(('u1', 'u2'))
        before = len(leader.proposed)
        owned = leader.coordinator.state.list_owned(
            leader.coordinator.state.upstreams['u1'],
        )
        leader.call(make_check_in(20, 'u1'))
        granted_ms = leader.now
        sequence = 20
        while leader.now < granted_ms + silent_ms:
            sequence += 1
            leader.call(make_check_in(sequence, 'u2'))
            leader.wait(100)
        leader.call(make_check_in(sequence + 1, 'u2'))
        reassigned = {
            first
            for command in leader.proposed[before:]
            if isinstance(command, AssignShards)
            for first in command.firsts
        }
        firsts = {shard.first for shard in owned}
        self.assertEqual(bool(reassigned & firsts), is_reassigned)

    def test_new_leader_waits_out_holds(self):
        """Guards against a leader that ignores holds of its predecessor."""
        leader = make_leader_with_owners(('u1', 'u2'))
        leader.elect()
        for sequence in range(50, 55):
            leader.call(make_check_in(sequence, 'u2'))
            leader.wait(900)
        owned = leader.coordinator.state.list_owned(
            leader.coordinator.state.upstreams['u1'],
        )
        self.assertTrue(owned)

    def test_freed_keys_are_granted_with_their_token(self):
        """Guards against an owner that starts cold after a planned move."""
        leader = make_leader_with_owners(('u1', 'u2'))
        state = leader.coordinator.state
        shard = state.list_owned(state.upstreams['u1'])[0]
        holds = make_holds(state)
        leader.call(make_check_in(30, is_draining=True, holds=holds))
        freed = FreedRange(shard.first, shard.last, 'token')
        leader.call(make_check_in(31, is_draining=True, freed=(freed,)))
        leader.wait(100)
        answer = leader.call(make_check_in(30, 'u2'))
        tokens = {grant.first: grant.handover for grant in answer.grants}
        self.assertEqual(tokens.get(shard.first), 'token')

    def test_token_of_freed_range_is_kept_for_each_part(self):
        """Guards against owners that start cold after a joint release.

        An upstream reports one token for neighbouring shards that it frees
        together, and these may be assigned to several others.
        """
        leader = make_leader_with_owners(('u1', 'u2'))
        state = leader.coordinator.state
        owned = state.list_owned(state.upstreams['u1'])
        holds = make_holds(state)
        leader.call(make_check_in(30, is_draining=True, holds=holds))
        freed = FreedRange(0, LAST_KEY, 'token')
        leader.call(make_check_in(31, is_draining=True, freed=(freed,)))
        shards = leader.coordinator.state.shards['reads']
        tokens = {current.first: current.handover for current in shards}
        self.assertEqual(
            {tokens[current.first] for current in owned}, {'token'}
        )

    def test_hold_of_a_shard_applies_to_its_split_shards(self):
        """Guards against a split shard that is assigned while it is held.

        The last answer before the split renewed the hold of the original.
        """
        leader = make_leader_with_owners(('u1', 'u2'))
        state = leader.coordinator.state
        shard = state.list_owned(state.upstreams['u1'])[0]
        leader.wait(4000)
        leader.call(make_check_in(30))
        middle = shard.first + BUCKET_KEYS
        split = SplitShard('reads', shard.first, (middle,))
        leader.run([Propose('split', split)])
        leader.wait(4000)
        shards = leader.coordinator.state.shards['reads']
        owners = {current.first: current.owner for current in shards}
        self.assertEqual(owners[middle], 'u1')

    def test_freed_range_of_an_earlier_release_frees_nothing(self):
        """Guards against a delayed check-in that frees keys which are held.

        A new leader can't detect late check-ins by their sequence. A check-in
        that reports a range as freed may arrive after its sender has got the
        range again.
        """
        leader = make_leader_with_owners(('u1', 'u2'))
        state = leader.coordinator.state
        shard = state.list_owned(state.upstreams['u1'])[0]
        leader.elect()
        release = ReleaseShards('reads', (shard.first,))
        leader.run([Propose('release', release)])
        freed = FreedRange(shard.first, shard.last, 'token')
        leader.call(make_check_in(3, freed=(freed,)))
        owners = {
            current.first: current.owner
            for current in leader.coordinator.state.shards['reads']
        }
        self.assertEqual(owners[shard.first], 'u1')

    @parameterized.expand(
        [
            ('sent before the grant', None, 3, False),
            ('sent before the release', 30, 29, False),
            ('of a release that an earlier leader began', 30, 31, True),
        ]
    )
    def test_new_leader_accepts_freed_keys(
        self, _name, reporting_sequence, sequence, is_accepted
    ):
        """Guards against keys that wait for a hold to end after an election.

        A check-in counts as late if it was sent before the one in which the
        owner reported the keys as held, whichever leader processed that one.
        """
        leader = make_leader_with_owners(('u1', 'u2'))
        state = leader.coordinator.state
        shard = state.list_owned(state.upstreams['u1'])[0]
        release = ReleaseShards('reads', (shard.first,), reporting_sequence)
        leader.run([Propose('release', release)])
        leader.elect()
        freed = FreedRange(shard.first, shard.last, 'token')
        leader.call(make_check_in(sequence, freed=(freed,)))
        tokens = {
            current.first: current.handover
            for current in leader.coordinator.state.shards['reads']
        }
        self.assertEqual(tokens[shard.first] == 'token', is_accepted)

    @parameterized.expand([('held', True, 40), ('not held yet', False, None)])
    def test_release_includes_sequence_of_check_in(
        self, _name, is_held, expected
    ):
        """Guards against a new leader that can't detect late check-ins."""
        leader = make_leader_with_owners(('u1', 'u2'))
        holds = make_holds(leader.coordinator.state) if is_held else ()
        leader.call(make_check_in(40, is_draining=True, holds=holds))
        state = leader.coordinator.state
        owned = state.list_owned(state.upstreams['u1'])
        self.assertEqual({shard.shown for shard in owned}, {expected})

    def test_release_has_a_reason(self):
        """Guards against a release whose cause the log does not show."""
        leader = make_leader_with_owners(('u1', 'u2'))
        holds = make_holds(leader.coordinator.state)
        call = make_check_in(40, is_draining=True, holds=holds)
        effects = leader.coordinator.handle_call('x', call, leader.now)
        reasons = [
            effect.why
            for effect in effects
            if isinstance(effect, Propose)
            and isinstance(effect.command, ReleaseShards)
        ]
        self.assertEqual(reasons, ['u1 leaves'])

    def test_keys_with_running_requests_are_not_free(self):
        """Guards against a second owner while the first processes requests."""
        leader = make_leader_with_owners(('u1', 'u2'))
        state = leader.coordinator.state
        shard = state.list_owned(state.upstreams['u1'])[0]
        leader.call(make_check_in(30, is_draining=True))
        freed = FreedRange(shard.first, shard.last, 'token')
        held = HeldRange(shard.first, shard.last, shard.fence)
        leader.call(
            make_check_in(31, is_draining=True, freed=(freed,), holds=(held,)),
        )
        state = leader.coordinator.state
        owners = {
            current.first: current.owner for current in state.shards['reads']
        }
        self.assertEqual(owners[shard.first], 'u1')


class SpreadTest(unittest.TestCase):
    """Guards against a confirmation while a VM may act on an older state."""

    @parameterized.expand(
        [
            ('check-in', make_check_in(9, is_draining=True), CheckedIn),
            ('departure', Depart('u1', 10), Confirmed),
            ('change of items', ChangeItems(ITEMS), Confirmed),
        ]
    )
    def test_waits_for_each_vm(self, _name, call, expected):
        leader = make_leader_with_owners()
        if isinstance(call, ChangeItems):
            item = replace(ITEMS.items[0], version=2)
            call = ChangeItems(ItemUpdate((item,)))
        leader.send_heartbeat('e1')
        leader.send_heartbeat('e2')
        index_before = leader.index
        self.assertIsNone(leader.call(call))
        leader.send_heartbeat('e1')
        self.assertEqual(len(tuple(leader.coordinator._calls)), 1)  # noqa: SLF001
        leader.send_heartbeat('e2', applied=index_before)
        self.assertEqual(len(tuple(leader.coordinator._calls)), 1)  # noqa: SLF001
        leader.send_heartbeat('e2')
        self.assertIsInstance(list(leader.answers.values())[-1], expected)

    def test_lost_vm_delays_until_its_lease_is_nearly_over(self):
        """Guards against a confirmation that waits for a lost VM forever."""
        leader = make_leader_with_owners()
        leader.send_heartbeat('e1')
        committed_ms = leader.now
        self.assertIsNone(leader.call(Depart('u1', 10)))
        while tuple(leader.coordinator._calls):  # noqa: SLF001
            leader.wait(100)
        waited_ms = leader.now - committed_ms
        self.assertGreaterEqual(
            waited_ms + TIMING.drain_ms,
            TIMING.lease_ms,
        )
        self.assertLess(waited_ms, 4000)

    def test_new_leader_waits_for_unknown_vms(self):
        """Guards against a confirmation during leases of an earlier leader."""
        leader = make_leader_with_owners()
        leader.elect()
        self.assertIsNone(leader.call(Depart('u1', 10)))

    @parameterized.expand(
        [
            ('check-in', make_check_in(9, is_draining=True)),
            ('departure', Depart('u1', 10)),
            ('change of items', ChangeItems(ITEMS)),
        ]
    )
    def test_repeated_call_waits_too(self, _name, call):
        """Guards against a repeated call that is confirmed too early."""
        leader = make_leader_with_owners()
        leader.send_heartbeat('e1')
        if isinstance(call, ChangeItems):
            item = replace(ITEMS.items[0], version=2)
            call = ChangeItems(ItemUpdate((item,)))
        self.assertIsNone(leader.call(call))
        self.assertIsNone(leader.call(call))
        leader.elect()
        self.assertIsNone(leader.call(call))

    def test_leader_that_stops_confirms_nothing(self):
        leader = make_leader_with_owners()
        leader.send_heartbeat('e1')
        leader.call(Depart('u1', 10))
        leader.run(leader.coordinator.step_down())
        self.assertIsInstance(
            list(leader.answers.values())[-1],
            Unavailable,
        )


class WaitTest(unittest.TestCase):
    """Guards against a late answer whose cause no log line names."""

    @parameterized.expand(
        [
            (
                'all have applied it',
                ((0, 'e2'), (200, 'e1')),
                ConfirmationWait('Depart', 200, (), 200, SlowVm('e1', 300, 1)),
            ),
            (
                'one never does',
                ((0, 'e2'),),
                ConfirmationWait(
                    'Depart', 3100, ('e1',), 3100, SlowVm('e1', 3200, 1)
                ),
            ),
        ]
    )
    def test_departure(self, _name, reports, expected):
        leader = make_leader_with_owners()
        leader.send_heartbeat('e1')
        leader.send_heartbeat('e2')
        leader.wait(100)
        leader.call(Depart('u1', 10))
        call_id = f'c{leader.call_count}'
        for passed_ms, vm in reports:
            leader.wait(passed_ms)
            leader.send_heartbeat(vm)
        leader.wait(4000)
        self.assertEqual(leader.waits[call_id], expected)

    def test_lost_proposal(self):
        """Guards against a call that runs out of time without a reason."""
        leader = make_leader_with_owners()
        effects = leader.coordinator.handle_call(
            'lost', make_check_in(9, is_draining=True), leader.now
        )
        leader.wait(4000)
        self.assertEqual(
            leader.waits['lost'].uncommitted,
            tuple(sorted(one.proposal_id for one in effects)),
        )


def send_reports(leader):
    """Send ten reports of a VM while another has not applied the changes."""
    for _ in range(10):
        leader.send_heartbeat('e1')


def wait_for_ticks(leader):
    """Let ten ticks pass."""
    leader.wait(1000)


class MovingWaitTest(unittest.TestCase):
    """Guards against a wait that each change of a leaving upstream restarts.

    An entry VM that knows that an upstream leaves sends it nothing, whatever
    else changes.
    """

    @parameterized.expand(
        [
            ('nothing', {}),
            ('slots', {'slots': 4}),
            ('address', {'address': 'u1:81'}),
            ('failure domain', {'failure_domain': 'b'}),
        ]
    )
    def test_lost_vm_is_waited_for_once(self, _name, changes):
        leader = make_leader_with_owners()
        check_in = make_check_in(9, is_draining=True)
        leader.send_heartbeat('lost')
        for sequence in range(9, 13):
            leader.call(replace(check_in, sequence=sequence))
            check_in = replace(check_in, **changes)
            leader.wait(800)
        self.assertIsInstance(leader.answers.get('c6'), CheckedIn)

    def test_departure_of_the_next_process_is_waited_for(self):
        """Guards against a confirmation for the process before."""
        leader = make_leader_with_owners()
        leader.call(make_check_in(9, is_draining=True))
        leader.wait(4000)
        leader.send_heartbeat('e1')
        check_in = make_check_in(1, born=20, is_draining=True)
        self.assertIsNone(leader.call(check_in))


class ManyCallsTest(unittest.TestCase):
    """Guards against a leader whose work grows with calls times entry VMs.

    With 145 upstreams that left and 200 entry VMs, one report of each VM took
    more of a processor than there is between two messages with entries.
    """

    @parameterized.expand(
        [('reports', send_reports), ('ticks', wait_for_ticks)]
    )
    def test_leases_are_read_once_for_all_calls(self, _name, send_events):
        names = [f'u{number}' for number in range(40)]
        leader = make_leader_with_owners(names)
        leader.send_heartbeat('e1')
        leader.send_heartbeat('e2')
        for name in names:
            leader.call(make_check_in(9, name, is_draining=True))
        with patch.object(
            LeaseTable,
            'live_vms',
            autospec=True,
            side_effect=LeaseTable.live_vms,
        ) as list_live:
            send_events(leader)
            self.assertLessEqual(list_live.call_count, 10)
            list_live.reset_mock()
            leader.send_heartbeat('e2')
            leader.send_heartbeat('e1')
            self.assertLessEqual(list_live.call_count, 10)
        self.assertEqual(len(leader.answers), leader.call_count)


class ChangeItemsTest(unittest.TestCase):
    """Guards against answers that do not give the outcome of a change.

    A removal is confirmed. Calls before the first publication are answered as
    unavailable.
    """

    def test_removal_is_confirmed(self):
        leader = make_leader_with_owners()
        item = Item(ItemType.SERVICE, 'reads', 9)
        route = Item(ItemType.ROUTE, 'r', 1)
        answer = leader.call(ChangeItems(ItemUpdate((item, route))))
        self.assertEqual(answer, Confirmed())

    def test_nothing_published_yet(self):
        leader = Leader()
        leader.coordinator = leader.make_coordinator(FleetState())
        self.assertIsInstance(leader.call(ReadItems()), Unavailable)
        departure = make_check_in(1, is_draining=True)
        self.assertIsInstance(leader.call(departure), Unavailable)
        freed = make_check_in(2, freed=(FreedRange(0, 9, 't'),))
        self.assertIsInstance(leader.call(freed), Unavailable)
        answer = leader.call(make_check_in(3))
        self.assertEqual(answer, CheckedIn('', is_renewal=False))
        self.assertEqual(leader.coordinator.state.upstreams, {})


class RepeatedChangeTest(unittest.TestCase):
    """Guards against another copy of a change for each lost confirmation.

    Grown deployments: an operator repeats a change each second until it is
    acknowledged, and each copy was stored and sent to all VMs.
    """

    def setUp(self):
        self.leader = make_leader_with_owners()
        self.leader.send_heartbeat('e1')
        self.leader.send_heartbeat('e2')
        self.before = len(self.leader.proposed)

    def change(self, version, **fields):
        """Send a change of the service; return the answer."""
        service = replace(ITEMS.items[0].service, **fields)
        item = replace(ITEMS.items[0], version=version, service=service)
        return self.leader.call(ChangeItems(ItemUpdate((item,))))

    @parameterized.expand(
        [
            ('repeated', [9, 9, 9], 1),
            ('older', [9, 8], 1),
            ('newer', [9, 10, 11], 3),
            ('in force before', [ITEMS.items[0].version], 0),
        ]
    )
    def test_copies_in_the_log(self, _name, versions, expected):
        for version in versions:
            self.change(version)
        self.assertEqual(len(self.leader.proposed), self.before + expected)

    def test_repetition_waits_for_all_vms_too(self):
        """Guards against a confirmation before the change is in force."""
        self.assertIsNone(self.change(9))
        self.assertIsNone(self.change(9))
        self.leader.send_heartbeat('e1')
        self.assertIsNone(self.change(9))
        self.leader.send_heartbeat('e2')
        self.assertIsInstance(self.change(9), Confirmed)

    def test_later_changes_do_not_put_off_an_answer(self):
        """Guards against a storm of changes of which none is confirmed."""
        self.assertIsNone(self.change(9))
        first_call = f'c{self.leader.call_count}'
        first_index = self.leader.index
        self.assertIsNone(self.change(10))
        self.leader.send_heartbeat('e1', first_index)
        self.leader.send_heartbeat('e2', first_index)
        self.assertIsInstance(self.leader.answers[first_call], Confirmed)

    @parameterized.expand([('the same', 9), ('an overtaken one', 8)])
    def test_later_changes_do_not_put_off_a_repetition(self, _name, version):
        """Guards against a storm in which no lost confirmation is made up for.

        A repeated change has no commit of its own, and waited for the latest.
        """
        self.assertIsNone(self.change(9))
        first_index = self.leader.index
        self.assertIsNone(self.change(version))
        repetition = f'c{self.leader.call_count}'
        self.assertIsNone(self.change(10))
        self.leader.send_heartbeat('e1', first_index)
        self.leader.send_heartbeat('e2', first_index)
        self.assertIsInstance(self.leader.answers.get(repetition), Confirmed)

    @parameterized.expand(
        [('newer', 9, 10), ('overtaken in flight', 9, 8), ('equal', 9, 9)]
    )
    def test_entry_vms_are_asked_for_each_change(self, _name, first, second):
        """Guards against an answer that waits for the next usual heartbeat.

        A change that another overtakes before its commit changes nothing, and
        its answer waits for its own commit all the same.
        """
        coordinator = self.leader.coordinator
        proposals = []
        for version in (first, second):
            item = replace(ITEMS.items[0], version=version)
            call = ChangeItems(ItemUpdate((item,)))
            proposals += coordinator.handle_call(
                f'x{len(proposals)}', call, self.leader.now
            )
        self.leader.run(proposals)
        self.assertEqual(coordinator.awaited_index, self.leader.index)
        self.leader.send_heartbeat('e1', coordinator.awaited_index)
        self.leader.send_heartbeat('e2', coordinator.awaited_index)
        self.assertIsInstance(self.leader.answers['x0'], Confirmed)

    def test_repetition_before_the_commit(self):
        """Guards against a second copy while the first is being replicated."""
        call = ChangeItems(ItemUpdate((replace(ITEMS.items[0], version=9),)))
        now = self.leader.now
        coordinator = self.leader.coordinator
        first = coordinator.handle_call('a', call, now)
        self.assertEqual(coordinator.handle_call('b', call, now), [])
        self.leader.run(first)
        self.leader.send_heartbeat('e1')
        self.leader.send_heartbeat('e2')
        self.assertIsInstance(self.leader.answers['a'], Confirmed)
        self.assertIsInstance(self.leader.answers['b'], Confirmed)

    def test_invalid_change_is_judged_each_time(self):
        route = Route(
            '', '/a/', RequestKind.SAFE, 1000, 500, 0, 2, (Target('reads', 1),)
        )
        item = Item(ItemType.ROUTE, 'r', 9, '{}', route=route)
        for _ in range(2):
            answer = self.leader.call(ChangeItems(ItemUpdate((item,))))
            self.assertIsInstance(answer, Invalid)
