"""Tests of how a replica applies committed entries."""

import unittest

from ibisjunction.control.codec import encode_command
from ibisjunction.control.commands import PublishRevision
from ibisjunction.control.machine import (
    MAX_OUTCOMES,
    Machine,
    decode_machine,
    encode_machine,
)
from ibisjunction.control.protocol import Entry


def _make_publication(number):
    command = PublishRevision(number, f'publication-{number}', {'a': 'text'})
    return Entry(1, f'p-{number}', encode_command(command))


class MachineTest(unittest.TestCase):
    """Guards against a resent proposal that gets another outcome."""

    def test_outcome_survives_a_snapshot(self):
        machine = Machine().apply(_make_publication(0))
        restored = decode_machine(encode_machine(machine))
        self.assertEqual(restored, machine)
        self.assertEqual(restored.find_outcome('p-0').revision, 1)

    def test_latest_outcomes_are_stored(self):
        machine = Machine()
        for number in range(MAX_OUTCOMES + 10):
            machine = machine.apply(Entry(1, f'p-{number}'))
        self.assertEqual(len(machine.outcomes), MAX_OUTCOMES)
        self.assertIsNone(machine.find_outcome('p-9'))
        self.assertIsNotNone(machine.find_outcome('p-10'))

    def test_later_entries_do_not_change_a_copy(self):
        machine = Machine().apply(_make_publication(0))
        copy = machine.copy()
        machine.apply(_make_publication(1))
        self.assertIsNone(copy.find_outcome('p-1'))

    def test_first_entry_of_a_leader_changes_nothing(self):
        machine = Machine().apply(Entry(1))
        self.assertEqual(machine, Machine())
