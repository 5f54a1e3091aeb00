"""Tests of VM leases."""

import math
import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from ibisjunction.control.state import ControlState
from ibisjunction.membership.leases import LeaseTable, VmLease
from ibisjunction.membership.messages import Heartbeat, LeaseRenewal
from ibisjunction.membership.registration import Registration
from tests.samples import make_vm


def beat(table, vm, applied, now=0):
    """Process a heartbeat of a VM."""
    table.record_heartbeat(Heartbeat(vm, 1, 0, applied, 0), now, 1, 9)


class AppliedIndexTest(unittest.TestCase):
    """Guards against a change that counts as applied while a VM lacks it."""

    @parameterized.expand(
        [
            ('a VM has left', lambda table: table.remove('e1', 1), 100, 5),
            ('it has reported', lambda table: beat(table, 'e1', 6), 100, 5),
            ('another has come', lambda table: beat(table, 'e3', 1), 100, 1),
            ('a lease has ended', lambda table: None, 600, 5),
            ('all leases have ended', lambda table: None, 700, math.inf),
        ]
    )
    def test_lowest(self, _name, change, now, expected):
        table = LeaseTable(600, 0, 0)
        beat(table, 'e1', 3)
        beat(table, 'e2', 5, now=100)
        self.assertEqual(table.find_applied_index(100), 3)
        change(table)
        self.assertEqual(table.find_applied_index(now), expected)


class VmLeaseTest(unittest.TestCase):
    """Guards against a lease that outlasts the one in the leader's table."""

    @parameterized.expand(
        [
            ('applied', 5, 5, 594),
            ('not yet applied', 4, 5, 0),
        ]
    )
    def test_renewal(self, _name, applied, committed, until_ms):
        lease = VmLease(7, 0.01)
        lease.renew(LeaseRenewal(7, 0, 600, 1, committed), applied)
        self.assertEqual(lease.until_ms, until_ms)

    def test_pending_renewal_takes_effect_once_applied(self):
        lease = VmLease(7, 0.01)
        lease.renew(LeaseRenewal(7, 0, 600, 1, 5), 4)
        self.assertFalse(lease.is_held(1))
        self.assertTrue(lease.retry_pending(5))
        self.assertTrue(lease.is_held(593))
        self.assertFalse(lease.is_held(594))

    @parameterized.expand([(1,), (3,), (20,)])
    def test_vm_that_always_lags_keeps_its_lease(self, lag):
        """Guards against refusals for lack of a lease under steady commits.

        An entry is committed before each renewal, and the VM applies it only
        ``lag`` renewals later.
        """
        lease = VmLease(7, 0.01)
        for number in range(1, 200):
            now = 200 * number
            renewal = LeaseRenewal(7, now, 5000, 1, number)
            lease.renew(renewal, number - lag - 1)
            lease.retry_pending(number - lag)
            if number > lag:
                self.assertTrue(lease.is_held(now))

    def test_renewal_of_earlier_incarnation_is_ignored(self):
        lease = VmLease(7, 0.01)
        self.assertFalse(lease.renew(LeaseRenewal(6, 0, 600, 1, 0), 0))

    @settings(max_examples=300, derandomize=True, database=None)
    @given(
        st.integers(0, 10_000),
        st.integers(0, 2000),
        st.integers(0, 2000),
        st.sampled_from([0.99, 1, 1.01]),
    )
    def test_vm_lease_ends_before_the_leader_removes_it(
        self, sent_at, request_ms, answer_ms, rate
    ):
        """The VM's clock runs ``rate`` times as fast as the leader's."""
        table = LeaseTable(600, 0.02, now=0)
        heartbeat = Heartbeat('vm-1', 7, sent_at, 0, 0)
        leader_now = sent_at + request_ms
        renewal = table.record_heartbeat(heartbeat, leader_now, 1, 0)
        lease = VmLease(7, 0.02)
        lease.renew(renewal, 0)
        vm_duration = lease.until_ms - sent_at
        leader_end = sent_at + vm_duration / rate
        record = table.records['vm-1']
        self.assertLessEqual(leader_end, record.lease_end_ms)


class LeaseTableTest(unittest.TestCase):
    """Guards against a new leader that drops VMs with a running lease."""

    def test_settles_after_one_lease(self):
        table = LeaseTable(600, 0.01, now=1000)
        self.assertFalse(table.is_settled(1605))
        self.assertTrue(table.is_settled(1606))

    def test_live_until_lease_end(self):
        table = LeaseTable(600, 0.01, now=0)
        table.record_heartbeat(Heartbeat('vm-1', 1, 0, 0, 0), 100, 1, 0)
        self.assertEqual(table.live_vms(705), {'vm-1'})
        self.assertEqual(table.live_vms(706), frozenset())

    @parameterized.expand(
        [
            ('in time', 705, True, 600),
            ('ran out', 706, True, 0),
            ('ran out, removal applied', 706, False, 600),
        ]
    )
    def test_lease_that_ran_out(self, _name, now, is_registered, lease_ms):
        """Guards against renewing the lease of a VM that is being removed.

        The removal may be committed after the lease ran out.
        """
        table = LeaseTable(600, 0.01, now=0)
        table.record_heartbeat(Heartbeat('vm-1', 1, 0, 0, 0), 100, 1, 0)
        heartbeat = Heartbeat('vm-1', 1, now, 0, 0, is_registered)
        self.assertEqual(
            table.record_heartbeat(heartbeat, now, 1, 0).lease_ms, lease_ms
        )

    @parameterized.expand([('unsettled', 605, 600), ('settled', 606, 0)])
    def test_vm_without_a_record(self, _name, now, lease_ms):
        table = LeaseTable(600, 0.01, now=0)
        heartbeat = Heartbeat('vm-1', 1, now, 0, 0, is_registered=True)
        self.assertEqual(
            table.record_heartbeat(heartbeat, now, 1, 0).lease_ms, lease_ms
        )


class RegistrationTest(unittest.TestCase):
    """Guards against a VM that serves while others count it as lost."""

    @parameterized.expand(
        [
            ('listed', 2, True, False),
            ('removed', None, False, True),
            ('not yet listed', 1, False, True),
            ('replaced', 3, False, False),
        ]
    )
    def test_update_from_state(
        self, _name, incarnation, is_registered, is_missing
    ):
        registration = Registration('vm-1', 2)
        vms = {}
        if incarnation is not None:
            vms = {'vm-1': replace(make_vm(), incarnation=incarnation)}
        registration.update(ControlState(vms=vms))
        self.assertEqual(registration.is_registered, is_registered)
        self.assertEqual(registration.is_missing, is_missing)

    def test_removal_before_the_first_state(self):
        registration = Registration('vm-1', 1)
        registration.update(ControlState())
        self.assertTrue(registration.is_missing)
