"""Tests of the decision when a VM's records are complete."""

import unittest

from ibisjunction.control.messages import ControlView
from ibisjunction.control.state import ControlState
from ibisjunction.ledger.completeness import PATIENCE_MS, Completeness
from ibisjunction.ledger.messages import Holder
from tests.samples import make_vm


def _view(index, *vms) -> ControlView:
    records = {vm: make_vm(vm, f'fd-{vm}') for vm in vms}
    return ControlView(index, ControlState(vms=records))


class RemovedVmTest(unittest.TestCase):
    """Guards against a ledger that fails while its own VM is removed."""

    def test_round_ends_with_the_removal(self):
        completeness = Completeness(Holder('vm-3', 1))
        completeness.follow(_view(1, 'vm-1', 'vm-2', 'vm-3'), 0)
        self.assertEqual(len(completeness.pull()), 2)
        completeness.follow(_view(2, 'vm-1'), 10)
        self.assertEqual(completeness.pull(), [])
        self.assertFalse(completeness.finish(PATIENCE_MS + 10))

    def test_round_starts_again_with_the_registration(self):
        completeness = Completeness(Holder('vm-3', 1))
        completeness.follow(_view(1, 'vm-1', 'vm-3'), 0)
        completeness.follow(_view(2, 'vm-1'), 10)
        completeness.follow(_view(3, 'vm-1', 'vm-3'), 20)
        self.assertEqual(len(completeness.pull()), 1)
