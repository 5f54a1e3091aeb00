"""Tests of the control log's files on a disk that is full for a while."""

import contextlib
import errno
import os
from dataclasses import dataclass
from types import SimpleNamespace
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from ibisjunction.control import storage
from ibisjunction.control.effects import AppendLog
from ibisjunction.control.protocol import Entry, Snapshot
from tests import test_storage

#: A whole frame and more.
_PLENTY = 10_000


class _Disk:
    """Refuses writes, and optionally cuts and syncs, while it is full.

    ``room`` is what can still be written. A refused sync loses what was written
    since the last one, but not the length of the file.
    """

    def __init__(self):
        self.is_full = False
        self.room = 0
        self.refuses_cuts = False
        self.refuses_syncs = False
        self._synced = {}

    @contextlib.contextmanager
    def mount(self):
        """Replace the calls of the storage for the duration of the block."""
        calls = {
            **os.__dict__,
            'write': self.write,
            'ftruncate': self.cut,
            'fsync': self.sync,
        }
        with patch.object(storage, 'os', SimpleNamespace(**calls)):
            yield self

    def fill(self, room, *, refuses_cuts, refuses_syncs):
        """Let the disk be full but for some bytes."""
        self.is_full = True
        self.room = room
        self.refuses_cuts = refuses_cuts
        self.refuses_syncs = refuses_syncs

    def write(self, descriptor, data):
        size = len(data)
        if self.is_full:
            size = min(size, self.room)
            self.room -= size
            self._check(is_refused=not size)
        return os.write(descriptor, data[:size])

    def cut(self, descriptor, length):
        self._check(is_refused=self.refuses_cuts)
        os.ftruncate(descriptor, length)

    def sync(self, descriptor):
        if self.is_full and self.refuses_syncs:
            size = os.fstat(descriptor).st_size
            lost = size - self._synced.get(descriptor, size)
            os.ftruncate(descriptor, size - lost)
            os.ftruncate(descriptor, size)
        self._check(is_refused=self.refuses_syncs)
        self._synced[descriptor] = os.fstat(descriptor).st_size
        os.fsync(descriptor)

    def _check(self, *, is_refused):
        if self.is_full and is_refused:
            raise OSError(errno.ENOSPC, 'no space left on the device')


@dataclass(frozen=True)
class _Step:
    """An entry that is written to a full disk, which gets room later."""

    room: int
    refuses_cuts: bool
    refuses_syncs: bool
    refusals: int
    is_restarted: bool


class FullDiskTest(test_storage.StorageTest):
    """Guards against a log that can't be read after its disk was full.

    Reports of other operators: changes stayed refused long after the last disk
    had room again. A replica whose log is damaged loses its vote at its next
    start, with all that it had acknowledged.
    """

    def write_until_done(self, disk, log, number, refusals):
        """Write an entry as the storage task does; the disk gets room."""
        write = AppendLog(number, number + 1, (_make_entry(number),))
        for attempt in range(refusals + 2):
            disk.is_full = disk.is_full and attempt < refusals
            try:
                log.write([write])
            except OSError as error:
                self.assertEqual(error.errno, errno.ENOSPC)
            else:
                return
        self.fail('the disk has room')

    @parameterized.expand(
        [
            ('nothing is written', 0, False, False),
            ('a part is written', 30, False, False),
            ('a part is written and stays', 30, True, False),
            ('the sync is refused', _PLENTY, False, True),
            ('the sync is refused, the frame stays', _PLENTY, True, True),
        ]
    )
    def test_log_is_read_after_the_disk_was_full(
        self, _name, room, refuses_cuts, refuses_syncs
    ):
        with _Disk().mount() as disk, storage.open_log(self.folder) as log:
            self.write_until_done(disk, log, 0, 0)
            disk.fill(
                room, refuses_cuts=refuses_cuts, refuses_syncs=refuses_syncs
            )
            for number in (1, 2):
                self.write_until_done(disk, log, number, 3)
        expected = tuple(_make_entry(number) for number in range(3))
        self.assertEqual(self.load().entries, expected)

    def test_refused_snapshots_leave_no_files(self):
        """Guards against a disk that the retries of a snapshot fill."""
        snapshot = Snapshot(4, 1, test_storage._VOTERS, b'machine')
        change = storage.ReplaceLog(snapshot, test_storage._ENTRIES[4:])
        self.fill()
        with _Disk().mount() as disk, storage.open_log(self.folder) as log:
            disk.fill(0, refuses_cuts=False, refuses_syncs=False)
            with patch.object(storage, '_sync_folder', self.refuse_second()):
                for _ in range(20):
                    self.assertRaises(OSError, log.replace, change)
            names = {path.name for path in self.files.iterdir()}
            disk.is_full = False
            log.replace(change)
        self.assertLessEqual(len(names), 7)
        self.assertEqual(self.load().snapshot, snapshot)
        self.assertEqual(self.load().entries, test_storage._ENTRIES[4:])

    def refuse_second(self):
        """Return a sync of a folder that each second call refuses."""
        calls = []

        def sync(_folder):
            calls.append(_folder)
            if len(calls) % 2 == 0:
                raise OSError(errno.ENOSPC, 'no space left on the device')

        return sync

    @settings(max_examples=150, derandomize=True, database=None)
    @given(
        st.lists(
            st.builds(
                _Step,
                room=st.integers(0, 120),
                refuses_cuts=st.booleans(),
                refuses_syncs=st.booleans(),
                refusals=st.integers(0, 4),
                is_restarted=st.booleans(),
            ),
            max_size=8,
        )
    )
    def test_acknowledged_entries_are_kept(self, steps):
        with contextlib.ExitStack() as stack:
            self.doCleanups()
            self.setUp()
            disk = stack.enter_context(_Disk().mount())
            log = stack.enter_context(storage.open_log(self.folder))
            for number, step in enumerate(steps):
                disk.fill(
                    step.room,
                    refuses_cuts=step.refuses_cuts,
                    refuses_syncs=step.refuses_syncs,
                )
                self.write_until_done(disk, log, number, step.refusals)
                if step.is_restarted:
                    stack.pop_all().close()
                    disk = stack.enter_context(_Disk().mount())
                    log = stack.enter_context(storage.open_log(self.folder))
        expected = tuple(_make_entry(number) for number in range(len(steps)))
        self.assertEqual(self.load().entries, expected)


def _make_entry(number):
    return Entry(1, f'p-{number}', b'x' * 40)
