"""Tests of how long an upstream that leaves waits for its confirmation."""

import unittest
from dataclasses import replace

from parameterized import parameterized

from ibisjunction.coordination.calls import CheckedIn
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

    def step(self):
        """Let the VMs whose heartbeat is due send it, and a tick pass."""
        self.now += STEP_MS
        for number, vm in enumerate(self.incarnations):
            is_due = (self.now // STEP_MS + number) % (
                HEARTBEAT_MS // STEP_MS
            ) == 0
            if is_due and vm not in self.silent:
                self.report(vm, self.index)
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
            ('the state lacks it', {0: forget}, REPORT_MS),
        ]
    )
    def test_wait(self, _name, events, bound_ms):
        waited_ms = make_fleet().measure_departure(events)
        self.assertIsNotNone(waited_ms)
        self.assertLessEqual(waited_ms, bound_ms + STEP_MS)


if __name__ == '__main__':
    unittest.main()
