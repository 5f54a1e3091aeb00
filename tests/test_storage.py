"""Tests of the files of the control log."""

import tempfile
import unittest
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from ibisjunction.control.effects import AppendLog, InstallState, SaveVote
from ibisjunction.control.frames import (
    HEADER_BYTES,
    CorruptFileError,
    StorageError,
    make_frame,
    read_frames,
)
from ibisjunction.control.protocol import Entry, Snapshot
from ibisjunction.control.storage import (
    ReplaceLog,
    find_identity,
    initialise,
    join,
    open_log,
)
from tests.replicas import make_voters

_VOTERS = make_voters(('vm-1', 'vm-2', 'vm-3'))
_ENTRIES = tuple(Entry(1, f'p-{number}', b'x' * 40) for number in range(6))


def _entry_writes(first, entries):
    return [
        AppendLog(number, first + number, (entry,))
        for number, entry in enumerate(entries)
    ]


class StorageTest(unittest.TestCase):
    """Base class with the data folder of a voter."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name) / 'vm-1'
        initialise(self.folder, 'vm-1', _VOTERS)
        self.files = self.folder / 'control'

    def fill(self):
        """Write a vote and the sample entries, each as one frame."""
        with open_log(self.folder) as log:
            log.write([SaveVote(1, 1, 'vm-2')])
            for write in _entry_writes(1, _ENTRIES):
                log.write([write])

    def load(self):
        with open_log(self.folder) as log:
            return log.load()


class RestartTest(StorageTest):
    """Guards against durable data that is lost at a restart."""

    def test_vote_and_entries_are_loaded(self):
        self.fill()
        stored = self.load()
        self.assertEqual((stored.term, stored.vote), (1, 'vm-2'))
        self.assertEqual(stored.entries, _ENTRIES)
        self.assertEqual(stored.snapshot.voters, _VOTERS)

    def test_replaced_entries_are_gone(self):
        self.fill()
        other = Entry(2, 'other', b'y')
        with open_log(self.folder) as log:
            log.write([AppendLog(9, 3, (other,))])
        self.assertEqual(self.load().entries, (*_ENTRIES[:2], other))

    @parameterized.expand([('own', False), ('received', True)])
    def test_snapshot_replaces_the_log(self, _name, is_received):
        self.fill()
        snapshot = Snapshot(4, 1, _VOTERS, b'machine')
        with open_log(self.folder) as log:
            if is_received:
                log.write([InstallState(9, snapshot, _ENTRIES[4:])])
            else:
                log.replace(ReplaceLog(snapshot, _ENTRIES[4:]))
            log.write([AppendLog(10, 7, (Entry(1, 'next'),))])
        stored = self.load()
        self.assertEqual((stored.term, stored.vote), (1, 'vm-2'))
        self.assertEqual(stored.snapshot, snapshot)
        self.assertEqual(stored.entries, (*_ENTRIES[4:], Entry(1, 'next')))
        self.assertEqual(
            {path.name for path in self.files.iterdir()},
            {'identity', 'lock', 'log-1', 'snapshot-1'},
        )

    def test_crash_between_log_and_snapshot_keeps_the_old_pair(self):
        self.fill()
        (self.files / 'log-1').write_bytes(make_frame(b'unfinished'))
        (self.files / 'snapshot-1.pending').write_bytes(b'half')
        self.assertEqual(self.load().entries, _ENTRIES)

    def test_files_are_used_by_one_process(self):
        refusal = self.assertRaisesRegex(StorageError, 'another process')
        with open_log(self.folder), refusal:
            self.load()


def _cut_tail(data):
    return data[:-3]


def _cut_in_header(data):
    last = make_frame(b'')[: HEADER_BYTES - 2]
    return data + last


def _append_zeros(data):
    return data + bytes(64)


def _damage_last(data):
    return data[:-1] + bytes([data[-1] ^ 1])


def _flip(position):
    def damage(data):
        changed = bytearray(data)
        changed[position] ^= 0x40
        return bytes(changed)

    return damage


def _drop_middle(data):
    middle = len(data) // 2
    return data[:middle] + data[middle + 5 :]


def _empty(_data):
    return b''


class DamageTest(StorageTest):
    """Guards against damaged data that is loaded or silently dropped."""

    @parameterized.expand(
        [
            ('cut in the payload', _cut_tail, 5),
            ('cut in the header', _cut_in_header, 6),
            ('zeros after the end', _append_zeros, 6),
            ('last payload not written', _damage_last, 5),
        ]
    )
    def test_torn_last_record_is_truncated(self, _name, damage, kept_count):
        self.fill()
        path = self.files / 'log-0'
        path.write_bytes(damage(path.read_bytes()))
        self.assertEqual(self.load().entries, _ENTRIES[:kept_count])
        with open_log(self.folder) as log:
            log.write(_entry_writes(kept_count + 1, (Entry(3, 'new'),)))
        expected = (*_ENTRIES[:kept_count], Entry(3, 'new'))
        self.assertEqual(self.load().entries, expected)

    @parameterized.expand(
        [
            ('first length', 'log-0', _flip(0), 0),
            ('first payload', 'log-0', _flip(HEADER_BYTES + 1), 0),
            ('later length', 'log-0', _flip(-200), None),
            ('later payload', 'log-0', _flip(-150), None),
            ('bytes missing', 'log-0', _drop_middle, None),
            ('empty log', 'log-0', _empty, 0),
            ('snapshot payload', 'snapshot-0', _flip(-1), 0),
            ('snapshot header', 'snapshot-0', _flip(9), 0),
            ('snapshot cut', 'snapshot-0', _cut_tail, 0),
            ('snapshot empty', 'snapshot-0', _empty, 0),
            ('snapshot longer', 'snapshot-0', _append_zeros, None),
        ]
    )
    def test_corrupt_record_is_refused(self, _name, file, damage, offset):
        self.fill()
        path = self.files / file
        path.write_bytes(damage(path.read_bytes()))
        with self.assertRaises(CorruptFileError) as caught:
            self.load()
        if offset is not None:
            self.assertEqual(caught.exception.offset, offset)
        text = str(caught.exception)
        self.assertIn(str(path), text)
        self.assertIn(f'offset {caught.exception.offset}', text)

    @parameterized.expand([('log', 'log-0'), ('snapshot', 'snapshot-0')])
    def test_missing_file_is_refused(self, _name, file):
        (self.files / file).unlink()
        with self.assertRaisesRegex(StorageError, 'missing'):
            self.load()

    def test_corrupt_identity_is_refused(self):
        path = self.files / 'identity'
        path.write_bytes(_flip(-2)(path.read_bytes()))
        with self.assertRaisesRegex(CorruptFileError, 'offset 0'):
            find_identity(self.folder)

    @settings(max_examples=200, derandomize=True, database=None)
    @given(
        st.lists(st.binary(max_size=30), min_size=2, max_size=6),
        st.data(),
    )
    def test_no_changed_bit_yields_other_data(self, payloads, draw):
        """Any changed bit raises an error or drops the last record only."""
        frames = [make_frame(payload) for payload in payloads]
        data = b''.join(frames)
        position = draw.draw(st.integers(0, len(data) * 8 - 1))
        changed = bytearray(data)
        changed[position // 8] ^= 1 << position % 8
        is_last = position // 8 >= len(data) - len(frames[-1])
        try:
            found = [
                content for _, content in read_frames(Path(), bytes(changed))
            ]
        except CorruptFileError:
            self.assertFalse(is_last)
        else:
            self.assertTrue(is_last)
            self.assertEqual(found, payloads[:-1])


class IdentityTest(StorageTest):
    """Guards against a lost disk that votes again under its old name."""

    def test_new_voter_has_the_name_of_its_vm(self):
        identity = find_identity(self.folder)
        self.assertEqual((identity.node, identity.vm), ('vm-1', 'vm-1'))

    def test_replacement_disk_has_a_unique_name(self):
        names = {
            join(self.folder / str(number), 'vm-1').node for number in range(4)
        }
        self.assertEqual(len(names), 4)
        self.assertNotIn('vm-1', names)

    @parameterized.expand(
        [
            ('initialise', lambda folder: initialise(folder, 'vm-1', _VOTERS)),
            ('join', lambda folder: join(folder, 'vm-1')),
        ]
    )
    def test_used_folder_is_refused(self, _name, create):
        with self.assertRaisesRegex(StorageError, 'already holds'):
            create(self.folder)

    def test_empty_folder_has_no_identity(self):
        self.assertIsNone(find_identity(self.folder / 'other'))
