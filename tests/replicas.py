"""Simulates a cluster of replicas with faults and checks its invariants.

Disks, the network and the clock are simulated. A crash loses unsynced writes.
"""

import random
from dataclasses import dataclass, field

from ibisjunction.control.consensus import Consensus
from ibisjunction.control.effects import (
    AppendLog,
    CommandProposed,
    Committed,
    Elected,
    InstallState,
    MessageArrived,
    SaveVote,
    Send,
    SnapshotTaken,
    Tick,
    WritesCompleted,
)
from ibisjunction.control.protocol import Snapshot
from ibisjunction.control.records import VoterRecord
from ibisjunction.control.roles import ElectionTiming, StoredState

TIMING = ElectionTiming(min_ms=150, max_ms=300, clock_error=0.01)


def make_voters(nodes):
    """Return a voter record for each node; all have the same address."""
    return tuple(VoterRecord(node, node, '127.0.0.1:1') for node in nodes)


@dataclass
class Disk:
    """Durable state that survives a crash, and unsynced writes that don't."""

    term: int
    vote: str
    snapshot: Snapshot
    entries: list
    unsynced: list = field(default_factory=list)

    def sync(self, count):
        """Sync the first ``count`` writes and return the number of the last."""
        synced, self.unsynced = self.unsynced[:count], self.unsynced[count:]
        for write in synced:
            self._apply(write)
        return synced[-1].number

    def load(self):
        return StoredState(
            self.term,
            self.vote,
            self.snapshot,
            tuple(self.entries),
        )

    def replace_with_snapshot(self, snapshot, entries):
        self.snapshot = snapshot
        self.entries = list(entries)

    def _apply(self, write):
        match write:
            case SaveVote(term=term, vote=vote):
                self.term, self.vote = term, vote
            case AppendLog(first_index=first_index, entries=entries):
                kept_count = first_index - self.snapshot.index - 1
                if kept_count < 0:
                    raise AssertionError('a log write overlaps the snapshot')
                self.entries = [*self.entries[:kept_count], *entries]
            case InstallState(snapshot=snapshot, entries=entries):
                self.replace_with_snapshot(snapshot, entries)


class Cluster:
    """Replicas, the messages between them and checks of the invariants.

    Invariants: a term has at most one leader; all replicas commit the same
    entry at an index; a proposal is committed at most once; two replicas
    never act as leader at the same time.
    """

    def __init__(self, nodes, seed, consensus_class=Consensus):
        self.now = 0
        self.rng = random.Random(seed)
        self._consensus_class = consensus_class
        snapshot = Snapshot(0, 0, make_voters(nodes), b'')
        self.disks = {node: Disk(0, '', snapshot, []) for node in nodes}
        self.replicas = {}
        self.messages = []
        self.groups = {}
        self.term_leaders = {}
        self.committed_entries = {}
        self.proposal_indexes = {}
        self.delay = 0
        for node in nodes:
            self.start(node)

    def start(self, node):
        """Start a replica from its disk unless it is running."""
        if node not in self.replicas:
            self.replicas[node] = self._consensus_class(
                node,
                self.disks[node].load(),
                TIMING,
                random.Random(self.rng.random()),
                self.now,
            )

    def add_disk(self, node):
        """Add an empty disk and start its replica, which is not a voter."""
        self.disks[node] = Disk(0, '', Snapshot(0, 0, (), b''), [])
        self.start(node)

    def crash(self, node):
        """Stop a replica; unsynced writes are lost."""
        self.replicas.pop(node, None)
        self.disks[node].unsynced.clear()

    def lose_disk(self, node):
        """Stop a replica and remove its disk."""
        self.crash(node)
        self.disks.pop(node)

    def partition(self, groups):
        """Partition the network; messages between groups are lost on delivery.

        ``groups`` maps nodes to groups; nodes left out form one more group.
        """
        self.groups = groups

    def handle(self, node, event):
        replica = self.replicas.get(node)
        if replica is None:
            return
        for effect in replica.handle(event, self.now):
            self._execute_effect(node, effect)
        self._check_single_leader()

    def propose(self, proposal_id, voters=None):
        """Propose a command to all replicas; only an acting leader accepts it.

        ``voters`` are the new voters if the command changes them.
        """
        command = proposal_id.encode()
        for node in tuple(self.replicas):
            self.handle(node, CommandProposed(proposal_id, command, voters))

    def sync(self, node, count=None):
        """Make the first ``count`` writes of a replica durable, or all."""
        disk = self.disks.get(node)
        if disk is not None and disk.unsynced and node in self.replicas:
            number = disk.sync(count or len(disk.unsynced))
            self.handle(node, WritesCompleted(number))

    def take_snapshot(self, node, keep=0):
        """Save a snapshot of a replica and compact its log.

        ``keep`` entries before the snapshot stay in memory.
        """
        replica = self.replicas.get(node)
        if replica is None:
            return
        self.sync(node)
        replica_log, index = replica.replica_log, replica.commit_index
        if index <= replica_log.snapshot.index:
            return
        snapshot = Snapshot(
            index,
            replica_log.term_at(index),
            replica_log.voters_at(index),
            str(index).encode(),
        )
        remaining = replica_log.read(index + 1, replica_log.last_index)
        self.disks[node].replace_with_snapshot(snapshot, remaining)
        self.handle(node, SnapshotTaken(snapshot, keep))

    def advance(self, delta_ms):
        self.now += delta_ms
        for node in tuple(self.replicas):
            self.handle(node, Tick())

    def deliver(self, position, *, duplicate=False):
        """Deliver the message at ``position``, modulo the number of messages.

        It is lost if a partition separates sender and receiver. With
        ``duplicate`` it also stays queued, to be delivered again later.
        """
        if not self.messages:
            return
        position %= len(self.messages)
        source, target, message = self.messages[position]
        if not duplicate:
            self.messages.pop(position)
        if self.groups.get(source) == self.groups.get(target):
            self.handle(target, MessageArrived(source, message))

    def drop(self, position):
        if self.messages:
            self.messages.pop(position % len(self.messages))

    def settle(self, steps=200, step_ms=10):
        """Heal all partitions and run without faults."""
        self.partition({})
        for _ in range(steps):
            self.advance(step_ms)
            self.deliver_queued()

    def deliver_queued(self):
        """Deliver the messages queued so far.

        All disks are synced first and after each message.
        """
        for node in tuple(self.replicas):
            self.sync(node)
        count = len(self.messages)
        for _ in range(count):
            self.deliver(0)
            for node in tuple(self.replicas):
                self.sync(node)

    def find_acting_leaders(self):
        """Return the replicas that act as leader."""
        return [
            node
            for node, replica in self.replicas.items()
            if replica.is_acting(self.now)
        ]

    def _execute_effect(self, node, effect):
        match effect:
            case Send(target=target, message=message):
                self.messages.append((node, target, message))
            case SaveVote() | AppendLog() | InstallState():
                self.disks[node].unsynced.append(effect)
            case Committed(first_index=first_index, entries=entries):
                for index, entry in enumerate(entries, first_index):
                    self._check_commit(index, entry)
            case Elected(term=term):
                leader = self.term_leaders.setdefault(term, node)
                if leader != node:
                    raise AssertionError(
                        f'term {term} has two leaders: {leader} and {node}',
                    )

    def _check_commit(self, index, entry):
        previous = self.committed_entries.setdefault(index, entry)
        if previous != entry:
            raise AssertionError(
                f'index {index} has two entries: {previous} and {entry}',
            )
        if entry.proposal_id:
            first_index = self.proposal_indexes.setdefault(
                entry.proposal_id, index
            )
            if first_index != index:
                raise AssertionError(
                    f'proposal {entry.proposal_id} was committed at indexes'
                    f' {first_index} and {index}',
                )

    def _check_single_leader(self):
        acting_leaders = self.find_acting_leaders()
        if len(acting_leaders) > 1:
            raise AssertionError(
                f'{acting_leaders} act as leader at the same time'
                f' ({self.now} ms)',
            )
