"""Tests of how a control process opens the files of its replica."""

import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

from parameterized import parameterized

from ibisjunction.bench.soak.machines import make_settings
from ibisjunction.control.frames import FolderInUseError
from ibisjunction.nodes.control import open_replica
from ibisjunction.settings import Address

SEEDS = tuple(Address(f'10.0.0.{number}', 7000) for number in range(3))


class OpenReplicaTest(unittest.TestCase):
    """Guards against a vote by a replica that lost acknowledged entries."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.settings = replace(
            make_settings(SEEDS[0], SEEDS),
            data_folder=Path(folder.name),
        )

    def open(self, **changes):
        """Open the replica; return its name and the names of the voters."""
        with open_replica(replace(self.settings, **changes)) as opened:
            voters = opened.stored.snapshot.voters
            return opened.node, [voter.node for voter in voters]

    @parameterized.expand(
        [
            ('seed of a first start', {}, True),
            ('not a seed', {'seeds': SEEDS[1:]}, False),
            ('empty disk later', {'is_first_start': False}, False),
        ]
    )
    def test_empty_disk(self, _name, changes, is_initial_voter):
        node, voters = self.open(**changes)
        if is_initial_voter:
            self.assertEqual(node, str(SEEDS[0]))
            self.assertEqual(voters, [str(seed) for seed in SEEDS])
        else:
            self.assertTrue(node.startswith(f'{SEEDS[0]}/'))
            self.assertEqual(voters, [])

    def test_second_start_keeps_the_name(self):
        first = self.open(is_first_start=False)
        self.assertEqual(self.open(), first)

    def test_damaged_files(self):
        """Guards against a vote based on a damaged log."""
        self.open()
        log = self.settings.data_folder / 'control' / 'log-0'
        log.write_bytes(b'x' * len(log.read_bytes()) + log.read_bytes())
        node, voters = self.open()
        self.assertTrue(node.startswith(f'{SEEDS[0]}/'))
        self.assertEqual(voters, [])

    def test_files_without_identity_were_never_used(self):
        """Guards against a start that fails after a loss of power.

        The power failed during the first start, before it wrote the identity.
        """
        folder = self.settings.data_folder / 'control'
        folder.mkdir()
        (folder / 'log-0').write_bytes(b'')
        self.assertEqual(self.open()[0], str(SEEDS[0]))

    def test_files_in_use_are_kept(self):
        """Guards against a second process that deletes files in use."""
        with open_replica(self.settings) as opened:
            with (
                self.assertRaises(FolderInUseError),
                open_replica(self.settings),
            ):
                self.fail('opened twice')
            self.assertEqual(opened.node, str(SEEDS[0]))
        self.assertEqual(self.open()[0], str(SEEDS[0]))
