"""Tests of how long an upstream that leaves waits for its confirmation."""

import unittest
from dataclasses import replace

from parameterized import parameterized

from ibisjunction.coordination.admissions import Admissions
from ibisjunction.coordination.calls import CheckedIn, Confirmed, Depart
from ibisjunction.coordination.coordinator import Coordinator
from ibisjunction.coordination.departures import MAX_DEPARTED, Departures
from ibisjunction.coordination.effects import Reply
from ibisjunction.coordination.planned import PlannedCommand
from ibisjunction.coordination.recent_changes import RecentChanges
from ibisjunction.coordination.spread import CommittedChange
from ibisjunction.fleet.commands import AdmitUpstream, ForgetUpstream
from ibisjunction.fleet.model import FleetState, Upstream
from ibisjunction.fleet.rules import apply_fleet_command
from ibisjunction.membership.messages import Heartbeat
from tests.test_coordinator import (
    SETTLED_MS,
    TIMING,
    Leader,
    make_check_in,
)

VM_COUNT = 200
STEP_MS = 20
#: The interval that a leader asks 200 VMs for, in steps of their timers.
HEARTBEAT_MS = 1400
#: An upstream that leaves asks the next control VM after this time.
PATIENCE_MS = 1000
#: Longest time between a change and the next report of a VM that has it.
REPORT_MS = HEARTBEAT_MS + STEP_MS
#: Longest wait for VMs that do not report, by the settings.
LEASE_MS = round(TIMING.lease_ms * (1 + TIMING.clock_error)) - TIMING.drain_ms
LATE_MS = 500


class Fleet(Leader):
    """A leader and entry VMs that apply at once what is committed."""

    def __init__(self):
        super().__init__()
        self.incarnations = {f'e{number}': 1 for number in range(VM_COUNT)}
        self.silent = set()
        self.changes = {}
        self.recent = RecentChanges(TIMING)
        self.followed = self.coordinator.state

    def follow(self):
        """Let a follower apply what is committed."""
        state = self.coordinator.state
        self.recent.follow(self.followed, state, self.index, self.now)
        self.followed = state

    def step(self):
        """Let the VMs whose heartbeat is due send it, and a tick pass."""
        self.now += STEP_MS
        for number, vm in enumerate(self.incarnations):
            is_due = (self.now // STEP_MS + number) % (
                HEARTBEAT_MS // STEP_MS
            ) == 0
            if is_due and vm not in self.silent:
                self.report(vm, self.index)
        self.follow()
        self.run(self.coordinator.handle_tick(self.now))

    def report(self, vm, applied):
        """Process the heartbeat of a process of a VM."""
        heartbeat = Heartbeat(vm, self.incarnations[vm], self.now, applied, 0)
        self.coordinator.leases.record_heartbeat(
            heartbeat, self.now, 1, self.index
        )
        self.run(self.coordinator.answer_ready_calls(self.now))

    def measure_departure(self, events):
        """Return how long an upstream waits that calls until it is answered.

        :param events: what happens by the time since its first call.
        """
        asked = []
        for waited_ms in range(0, 20_000, STEP_MS):
            events.get(waited_ms, lambda _: None)(self)
            if waited_ms % PATIENCE_MS == 0:
                check_in = make_check_in(10 + waited_ms, is_draining=True)
                self.call(replace(check_in, **self.changes))
                asked.append(f'c{self.call_count}')
            answers = [self.answers.get(call_id) for call_id in asked]
            if any(isinstance(one, CheckedIn) for one in answers):
                return waited_ms
            self.step()
        return None


def make_fleet():
    """Return a fleet whose leases are settled, with one upstream."""
    fleet = Fleet()
    fleet.call(make_check_in(1))
    for _ in range(SETTLED_MS // STEP_MS):
        fleet.step()
    return fleet


def kill(fleet):
    """Kill an entry VM, or cut it off, or freeze it."""
    fleet.silent.add('e7')


def leave(fleet):
    """Let an entry VM end as planned."""
    kill(fleet)
    fleet.coordinator.leases.remove('e7', 1)


def restart(fleet):
    """Start another process of an entry VM, which has no state yet."""
    kill(fleet)
    fleet.incarnations['e7'] = 2
    fleet.report('e7', 0)


def fetch_state(fleet):
    """Let the new process have the state."""
    fleet.silent.clear()
    fleet.report('e7', fleet.index)


def move(fleet):
    """Let the upstream name another address, while a VM is silent."""
    fleet.changes['address'] = 'u1:81'


def elect(fleet):
    """Let the leader stop and another one start its term."""
    fleet.run(fleet.coordinator.step_down())
    fleet.elect()


def elect_follower(fleet):
    """Let a follower lead that has applied what is committed."""
    fleet.run(fleet.coordinator.step_down())
    fleet.coordinator = Coordinator(
        'vm2',
        'q',
        TIMING,
        fleet.coordinator.state,
        fleet.index,
        fleet.now,
        recent=fleet.recent,
    )


def forget(fleet):
    """Let the state know nothing of the upstream."""
    fleet.coordinator.state = replace(fleet.coordinator.state, upstreams={})


class DepartureTest(unittest.TestCase):
    """Guards against waits for entry VMs that no setting bounds."""

    @parameterized.expand(
        [
            ('nothing happens', {}, REPORT_MS),
            ('a VM is silent', {0: kill}, LEASE_MS),
            ('a VM is silent later', {LATE_MS: kill}, LEASE_MS),
            ('a VM leaves', {LATE_MS: leave}, REPORT_MS),
            ('a VM restarts', {0: restart, LATE_MS: fetch_state}, REPORT_MS),
            ('a VM restarts slowly', {LATE_MS: restart}, LEASE_MS),
            ('its record changes', {0: kill, LATE_MS: move}, LEASE_MS),
            ('the leader changes', {LATE_MS: elect}, LATE_MS + LEASE_MS),
            (
                'a follower leads',
                {0: kill, LATE_MS: elect_follower},
                LEASE_MS + STEP_MS,
            ),
            ('the state lacks it', {0: forget}, REPORT_MS),
        ]
    )
    def test_wait(self, _name, events, bound_ms):
        waited_ms = make_fleet().measure_departure(events)
        self.assertIsNotNone(waited_ms)
        self.assertLessEqual(waited_ms, bound_ms + STEP_MS)


UPSTREAM = Upstream('u1', 10, 's', 'u1:1', 'z', 3)
TAKING = AdmitUpstream(UPSTREAM)
MARKED = AdmitUpstream(replace(UPSTREAM, is_draining=True))
FORGET_U1 = ForgetUpstream('u1', 10)


class FollowedChangeTest(unittest.TestCase):
    """Guards against a follower that knows too early a time of a departure.

    As a leader it would confirm the departure while a VM may still send.
    """

    @parameterized.expand(
        [
            ('one entry', ((MARKED,),), 0),
            ('taken back', ((MARKED,), (TAKING,), (MARKED,)), 2),
            ('taken back at once', ((MARKED,), (TAKING, MARKED)), 1),
            (
                'gone and back at once',
                ((MARKED,), (FORGET_U1,), (TAKING, FORGET_U1)),
                2,
            ),
        ]
    )
    def test_time(self, _name, batches, expected):
        recent = RecentChanges(TIMING)
        state, _ = apply_fleet_command(FleetState(), TAKING)
        for number, batch in enumerate(batches):
            earlier = state
            for command in batch:
                state, _ = apply_fleet_command(state, command)
            recent.follow(earlier, state, number, number)
        self.assertEqual(
            recent.find(('u1', 10)), CommittedChange(expected, expected)
        )

    def test_old_change_is_forgotten(self):
        """Guards against records of a follower that grow with departures."""
        recent = RecentChanges(TIMING)
        for born in range(1, 11):
            taking = replace(UPSTREAM, born=born)
            left = replace(taking, is_draining=True)
            recent.follow(
                FleetState(upstreams={'u1': taking}),
                FleetState(upstreams={'u1': left}),
                born,
                born * 1000,
            )
        self.assertIsNone(recent.find(('u1', 1)))
        self.assertIsNotNone(recent.find(('u1', 10)))


class SlowLog(Leader):
    """A leader whose proposals are committed when the test says so."""

    def __init__(self):
        self.is_held = False
        self.held = []
        super().__init__()
        self.wait(SETTLED_MS)
        self.send_heartbeat('e1')

    def run(self, effects):
        """Execute effects; proposals wait while the log is held."""
        if not self.is_held:
            super().run(effects)
            return
        for effect in effects:
            if isinstance(effect, Reply):
                super().run([effect])
            else:
                self.held.append(effect)

    def commit_next(self):
        """Commit the oldest proposal that waits."""
        proposal = self.held.pop(0)
        self.index += 1
        state, outcome = apply_fleet_command(
            self.coordinator.state, proposal.command
        )
        self.run(
            self.coordinator.apply(
                state, self.index, {proposal.proposal_id: outcome}, self.now
            )
        )

    def takes_requests(self, born=10):
        """Return whether the state lets a process of u1 take requests."""
        found = self.coordinator.state.upstreams.get('u1')
        return bool(found and found.born == born and not found.is_draining)


def admit(leader):
    """Admit u1, and let the entry VM know it."""
    leader.call(make_check_in(1))
    leader.wait(100)
    leader.send_heartbeat('e1')


def hold(leader):
    """Let no proposal be committed."""
    leader.is_held = True


def wait_long(leader):
    """Let more time pass than an admission holds up others."""
    leader.wait(1100)
    leader.send_heartbeat('e1')


def wait_a_minute(leader):
    """Let the time pass for which a silent upstream is kept."""
    leader.wait(60_000)
    leader.send_heartbeat('e1')


def forget_process(leader):
    """Remove u1 from the state; the entry VM does not know that yet."""
    hold(leader)
    leader.run(
        [leader.coordinator._proposals.propose(FORGET)]  # noqa: SLF001
    )
    leader.commit_next()


FORGET = PlannedCommand(ForgetUpstream('u1', 10), 'silent for long')
OTHER = make_check_in(1, 'u0')
NEXT = make_check_in(1, born=11)
MORE_SLOTS = make_check_in(2, slots=4)
LEAVES = Depart('u1', 10)
ANY_LEAVES = Depart('u1', 0)
NEXT_LEAVES = Depart('u1', 11)


class KeptDepartureTest(unittest.TestCase):
    """Guards against requests to an upstream whose departure is confirmed.

    Admissions and check-ins that are under way took the departure back, or it
    was confirmed before them.
    """

    @parameterized.expand(
        [
            ('no admission', (admit, hold, LEAVES)),
            ('another record', (admit, hold, LEAVES, MORE_SLOTS)),
            ('another record before', (admit, hold, MORE_SLOTS, LEAVES)),
            ('in flight', (hold, make_check_in(1), LEAVES)),
            ('any process in flight', (hold, make_check_in(1), ANY_LEAVES)),
            ('waits', (hold, OTHER, make_check_in(1), LEAVES)),
            ('any that waits', (hold, OTHER, make_check_in(1), ANY_LEAVES)),
            ('late commit', (hold, make_check_in(1), wait_long, LEAVES)),
            (
                'leaves in flight',
                (hold, make_check_in(1, is_draining=True), LEAVES),
            ),
            ('next process', (admit, hold, NEXT, NEXT_LEAVES)),
            ('next process, any', (admit, hold, NEXT, ANY_LEAVES)),
            (
                'late notice',
                (hold, make_check_in(2), make_check_in(1, is_draining=True)),
            ),
            ('forgotten', (admit, forget_process, LEAVES)),
            ('replaced', (admit, NEXT, hold, LEAVES)),
        ]
    )
    def test_under_way(self, _name, steps):
        leader = SlowLog()
        departures = []
        for step in steps:
            if callable(step):
                step(leader)
                continue
            leader.call(step)
            if isinstance(step, Depart) or step.is_draining:
                departures.append((f'c{leader.call_count}', step.born))
        call_id, born = departures[-1]
        while leader.held:
            self.assertNotIn(call_id, leader.answers)
            leader.commit_next()
        self.assertNotIn(call_id, leader.answers)
        leader.send_heartbeat('e1')
        self.assertIsInstance(leader.answers[call_id], Confirmed | CheckedIn)
        self.assertFalse(leader.takes_requests(born or 10))
        self.assertFalse(born != 10 and leader.takes_requests(11))

    @parameterized.expand(
        [
            ('never admitted', (LEAVES,), make_check_in(1), False),
            ('a later process', (LEAVES,), NEXT, True),
            ('admitted', (admit, LEAVES), MORE_SLOTS, False),
            ('admitted, a later process', (admit, LEAVES), NEXT, True),
            (
                'long after it',
                (LEAVES, wait_a_minute),
                make_check_in(1),
                True,
            ),
        ]
    )
    def test_delayed_check_in(self, _name, steps, check_in, is_taking):
        leader = SlowLog()
        for step in (*steps, check_in):
            if callable(step):
                step(leader)
            else:
                leader.call(step)
                leader.send_heartbeat('e1')
        self.assertEqual(leader.takes_requests(check_in.born), is_taking)

    def test_unknown_upstream_is_confirmed_at_once(self):
        """Guards against log entries for departures that change nothing."""
        leader = SlowLog()
        hold(leader)
        self.assertEqual(leader.call(LEAVES), Confirmed())
        self.assertEqual(leader.held, [])

    def test_number_of_departures_is_bounded(self):
        """Guards against memory that grows with departures."""
        departures = Departures(Admissions(str))
        for born in range(1, MAX_DEPARTED + 2):
            departures.record(FleetState(), Depart('u1', born), 0)
        upstream = Upstream('u1', 1, 's', 'u1:1', 'z', 3)
        self.assertFalse(departures.mark(upstream, 0).is_draining)
        latest = replace(upstream, born=MAX_DEPARTED + 1)
        self.assertTrue(departures.mark(latest, 0).is_draining)


if __name__ == '__main__':
    unittest.main()
