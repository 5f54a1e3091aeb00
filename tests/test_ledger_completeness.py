"""Tests of the rules for when a VM has all its records."""

import unittest

from ibisjunction.control.messages import ControlView
from ibisjunction.control.state import ControlState
from ibisjunction.ledger.completeness import (
    PULL_TIMEOUT_MS,
    CompletenessTracker,
)
from ibisjunction.ledger.messages import Holder
from tests.samples import make_vm


def _view(index, *vms) -> ControlView:
    records = {vm: make_vm(vm, f'fd-{vm}') for vm in vms}
    return ControlView(index, ControlState(vms=records))


class RemovedVmTest(unittest.TestCase):
    """Guards against a ledger that fails while its own VM is removed."""

    def test_round_ends_with_the_removal(self):
        tracker = CompletenessTracker(Holder('vm-3', 1))
        tracker.apply_view(_view(1, 'vm-1', 'vm-2', 'vm-3'), 0)
        self.assertEqual(len(tracker.list_pulls()), 2)
        tracker.apply_view(_view(2, 'vm-1'), 10)
        self.assertEqual(tracker.list_pulls(), [])
        self.assertFalse(tracker.finish_round(PULL_TIMEOUT_MS + 10))

    def test_round_starts_again_with_the_registration(self):
        tracker = CompletenessTracker(Holder('vm-3', 1))
        tracker.apply_view(_view(1, 'vm-1', 'vm-3'), 0)
        tracker.apply_view(_view(2, 'vm-1'), 10)
        tracker.apply_view(_view(3, 'vm-1', 'vm-3'), 20)
        self.assertEqual(len(tracker.list_pulls()), 1)
