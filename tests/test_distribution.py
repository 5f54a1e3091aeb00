"""Tests of what a leader sends to the daemons that copy its state."""

import unittest
from collections import Counter

from parameterized import parameterized

from ibisjunction.control.distribution import (
    MAX_CATCHING_UP,
    WINDOW_BYTES,
    DaemonReport,
    Distribution,
    LeaderState,
    find_last_index,
)
from ibisjunction.control.messages import CommittedEntries, StateSnapshot
from ibisjunction.control.protocol import Entry, Snapshot
from ibisjunction.control.replica_log import ReplicaLog

SNAPSHOT = Snapshot(0, 0, (), b'')
#: Longer than any wait for progress.
LONG_MS = 60_000


class Leader:
    """A distribution with a log of entries of equal size."""

    def __init__(self, entry_count, entry_size, state_size=1000):
        self.now = 1000
        self.distribution = Distribution()
        self.log = ReplicaLog(SNAPSHOT, ())
        self.state_size = state_size
        self.encoded_count = 0
        self.entry_size = entry_size
        self.commit(entry_count)

    def commit(self, count):
        """Append entries; return the message with them."""
        first = self.log.last_index + 1
        entries = tuple(
            Entry(1, f'p{first + number}', bytes(self.entry_size))
            for number in range(count)
        )
        self.log.replace_from(first, entries)
        return CommittedEntries(first, [entry.command for entry in entries])

    def report(self, vm='e1', applied=0, *, is_relayed=False, incarnation=1):
        """Return what is sent to a daemon for its report."""
        report = DaemonReport(vm, is_relayed, incarnation, applied)
        state = LeaderState(self.log, self.log.last_index, self.encode)
        return self.distribution.choose_missing(report, state, self.now)

    def encode(self):
        self.encoded_count += 1
        return bytes(self.state_size)


class WindowTest(unittest.TestCase):
    """Guards against memory that grows with slow links or late daemons."""

    @parameterized.expand(
        [
            ('small entries', 40, 100),
            ('many entries', 500, 1000),
            ('one entry fills the window', 30, WINDOW_BYTES),
            ('an entry above the window', 5, 10 * WINDOW_BYTES),
        ]
    )
    def test_bytes_under_way(self, _name, entry_count, entry_size):
        leader = Leader(entry_count, entry_size)
        applied = 1
        largest = max(WINDOW_BYTES, entry_size)
        sent_indexes = Counter()
        while applied < leader.log.last_index:
            message = leader.report(applied=applied)
            while message is not None:
                first = message.first_index
                sent_indexes.update(range(first, find_last_index(message) + 1))
                self.assertLessEqual(leader.distribution.size, largest)
                leader.now += 200
                message = leader.report(applied=applied)
            applied = max(sent_indexes)
        self.assertEqual(set(sent_indexes.values()), {1})

    def test_new_entries_wait_for_room(self):
        leader = Leader(10, WINDOW_BYTES // 4)
        leader.report(applied=9)
        messages = [leader.commit(1) for _ in range(8)]
        sent = [
            message.first_index
            for message in messages
            if leader.distribution.list_recipients(message, leader.now)
        ]
        self.assertEqual(sent, [11, 12, 13])
        following = leader.report(applied=13)
        self.assertEqual(following.first_index, 14)

    def test_new_entries_are_sent_without_a_gap_only(self):
        leader = Leader(10, 10)
        self.assertIsNone(leader.report(applied=10))
        leader.commit(1)
        message = leader.commit(1)
        recipients = leader.distribution.list_recipients(message, leader.now)
        self.assertEqual(recipients, [])

    def test_few_daemons_catch_up_at_once(self):
        """Guards against a different message under way to each of many VMs."""
        leader = Leader(10, 10)
        sent = [
            leader.report(f'e{number}', 1)
            for number in range(MAX_CATCHING_UP + 9)
        ]
        self.assertEqual(sum(message is not None for message in sent), 64)
        leader.report('e0', 10)
        self.assertIsNotNone(leader.report(f'e{MAX_CATCHING_UP}', 1))

    def test_daemons_that_start_together_get_one_encoding(self):
        leader = Leader(10, 10)
        snapshots = set()
        for number in range(50):
            snapshots.add(id(leader.report(f'e{number}')))
            leader.commit(1)
        self.assertEqual((len(snapshots), leader.encoded_count), (1, 1))


class RetryTest(unittest.TestCase):
    """Guards against a daemon that never gets an entry that was lost."""

    @parameterized.expand(
        [
            ('entries', 4, CommittedEntries),
            ('whole state', 0, StateSnapshot),
        ]
    )
    def test_sent_again_after_long_silence(self, _name, applied, expected):
        leader = Leader(10, 10)
        self.assertIsInstance(leader.report(applied=applied), expected)
        leader.now += 1900
        self.assertIsNone(leader.report(applied=applied))
        leader.now += 200
        self.assertIsInstance(leader.report(applied=applied), expected)

    def test_resent_bytes_are_bounded_while_nothing_arrives(self):
        leader = Leader(10, 1)
        times = []
        start_ms = leader.now
        while leader.now < start_ms + LONG_MS:
            if leader.report(applied=4) is not None:
                times.append(leader.now - start_ms)
            leader.now += 200
        self.assertEqual(times, [0, 2000, 6000, 14_000, 30_000, 46_000])

    def test_large_state_gets_time_for_a_slow_link(self):
        """Guards against a second copy while a slow link carries the first."""
        leader = Leader(10, 10, state_size=1_000_000)
        leader.report()
        leader.now += 30_000
        self.assertIsNone(leader.report())

    @parameterized.expand(
        [
            ('new process', {'incarnation': 2}),
            ('other way', {'is_relayed': True}),
        ]
    )
    def test_sent_anew_at_once(self, _name, change):
        leader = Leader(10, 10)
        leader.report(applied=4)
        self.assertIsNotNone(leader.report(applied=4, **change))
        self.assertIsNone(leader.report(applied=4, **change))

    def test_daemon_that_is_gone_is_forgotten(self):
        leader = Leader(10, 10)
        leader.report(applied=4)
        leader.distribution.remove_absent(frozenset(('e2',)))
        self.assertEqual(leader.distribution.size, 0)


class CompactionTest(unittest.TestCase):
    """Guards against entries that are no longer in memory."""

    @parameterized.expand(
        [
            ('in the log', 600, CommittedEntries),
            ('before the log', 300, StateSnapshot),
            ('far behind', 520, StateSnapshot),
        ]
    )
    def test_message(self, _name, applied, expected):
        leader = Leader(1100, 1)
        leader.log.compact(Snapshot(1000, 1, (), b''), 500)
        self.assertIsInstance(leader.report(applied=applied), expected)

    def test_recent_encoding_must_bring_progress(self):
        leader = Leader(100, 1)
        leader.report('e1')
        leader.commit(800)
        message = leader.report('e2', 120)
        self.assertEqual(message.index, 900)
