"""Tests of VM leases."""

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


class VmLeaseTest(unittest.TestCase):
    """Guards against a lease that outlasts what the leader counts."""

    @parameterized.expand(
        [
            ('applied', 5, 5, 594),
            ('behind', 4, 5, 0),
        ]
    )
    def test_renewal(self, _name, applied, committed, until_ms):
        lease = VmLease(7, 0.01)
        lease.renew(LeaseRenewal(7, 0, 600, 1, committed), applied)
        self.assertEqual(lease.until_ms, until_ms)

    def test_kept_renewal_counts_once_applied(self):
        lease = VmLease(7, 0.01)
        lease.renew(LeaseRenewal(7, 0, 600, 1, 5), 4)
        self.assertFalse(lease.is_held(1))
        self.assertTrue(lease.advance(5))
        self.assertTrue(lease.is_held(593))
        self.assertFalse(lease.is_held(594))

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
    def test_vm_stops_before_leader_counts(self, sent, there, back, rate):
        """The VM's clock runs at ``rate`` of the leader's."""
        table = LeaseTable(600, 0.02, now=0)
        beat = Heartbeat('vm-1', 7, sent, 0, 0)
        leader_now = sent + there
        renewal = table.accept(beat, leader_now, 1, 0)
        lease = VmLease(7, 0.02)
        lease.renew(renewal, 0)
        vm_duration = lease.until_ms - sent
        leader_end = sent + vm_duration / rate
        report = table.reports['vm-1']
        self.assertLessEqual(leader_end, report.lease_end_ms)


class LeaseTableTest(unittest.TestCase):
    """Guards against a new leader that drops VMs with a running lease."""

    def test_settles_after_one_lease(self):
        table = LeaseTable(600, 0.01, now=1000)
        self.assertFalse(table.is_settled(1605))
        self.assertTrue(table.is_settled(1606))

    def test_live_until_counted_end(self):
        table = LeaseTable(600, 0.01, now=0)
        table.accept(Heartbeat('vm-1', 1, 0, 0, 0), 100, 1, 0)
        self.assertEqual(table.live_vms(705), {'vm-1'})
        self.assertEqual(table.live_vms(706), frozenset())

    @parameterized.expand(
        [
            ('in time', 705, True, 600),
            ('ran out', 706, True, 0),
            ('ran out, saw its removal', 706, False, 600),
        ]
    )
    def test_lease_that_ran_out(self, _name, now, is_registered, lease_ms):
        """The removal of a VM may be committed after its lease ran out."""
        table = LeaseTable(600, 0.01, now=0)
        table.accept(Heartbeat('vm-1', 1, 0, 0, 0), 100, 1, 0)
        beat = Heartbeat('vm-1', 1, now, 0, 0, is_registered)
        self.assertEqual(table.accept(beat, now, 1, 0).lease_ms, lease_ms)

    @parameterized.expand([('unsettled', 605, 600), ('settled', 606, 0)])
    def test_vm_that_a_new_leader_did_not_hear(self, _name, now, lease_ms):
        table = LeaseTable(600, 0.01, now=0)
        beat = Heartbeat('vm-1', 1, now, 0, 0, is_registered=True)
        self.assertEqual(table.accept(beat, now, 1, 0).lease_ms, lease_ms)


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
    def test_follows_state(self, _name, incarnation, is_registered, is_missing):
        registration = Registration('vm-1', 2)
        vms = {}
        if incarnation is not None:
            vms = {'vm-1': replace(make_vm(), incarnation=incarnation)}
        registration.follow(ControlState(vms=vms))
        self.assertEqual(registration.is_registered, is_registered)
        self.assertEqual(registration.is_missing, is_missing)

    def test_removal_before_the_first_state(self):
        registration = Registration('vm-1', 1)
        registration.follow(ControlState())
        self.assertTrue(registration.is_missing)
