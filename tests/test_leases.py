"""Tests of VM leases."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from ibisjunction.membership.leases import LeaseTable, VmLease
from ibisjunction.membership.messages import Heartbeat, LeaseRenewal


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
