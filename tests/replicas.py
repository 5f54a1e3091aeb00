"""Runs several consensus objects with faults, and checks the invariants.

Disks, messages and clocks are simulated. A crash loses what was not synced.
"""

import random
from dataclasses import dataclass, field

from ibisjunction.control.consensus import Consensus
from ibisjunction.control.effects import (
    AppendLog,
    Arrived,
    Committed,
    Elected,
    InstallState,
    Proposed,
    SaveVote,
    Send,
    SnapshotTaken,
    Tick,
    Written,
)
from ibisjunction.control.protocol import Snapshot
from ibisjunction.control.records import VoterRecord
from ibisjunction.control.roles import ElectionTiming, Stored

TIMING = ElectionTiming(150, 300, 0.01)


def make_voters(nodes):
    """Return the records of voters."""
    return tuple(VoterRecord(node, node, '127.0.0.1:1') for node in nodes)


@dataclass
class Disk:
    """What survives a crash, and the writes that may not."""

    term: int
    vote: str
    snapshot: Snapshot
    entries: list
    unsynced: list = field(default_factory=list)

    def sync(self, count):
        """Make the first writes durable; return the last one's number."""
        done, self.unsynced = self.unsynced[:count], self.unsynced[count:]
        for write in done:
            self._apply(write)
        return done[-1].number

    def load(self):
        return Stored(
            self.term,
            self.vote,
            self.snapshot,
            tuple(self.entries),
        )

    def take(self, snapshot, entries):
        self.snapshot = snapshot
        self.entries = list(entries)

    def _apply(self, write):
        match write:
            case SaveVote(term=term, vote=vote):
                self.term, self.vote = term, vote
            case AppendLog(first_index=first, entries=entries):
                kept = first - self.snapshot.index - 1
                if kept < 0:
                    raise AssertionError('a write precedes the snapshot')
                self.entries = [*self.entries[:kept], *entries]
            case InstallState(snapshot=snapshot, entries=entries):
                self.take(snapshot, entries)


class Cluster:
    """Replicas, the messages between them and the invariants.

    Invariants: a term has at most one leader; what one replica commits at an
    index, every replica commits there; a proposal is committed at most once;
    two replicas never act as leader at a time.
    """

    def __init__(self, nodes, seed, consensus_class=Consensus):
        self.now = 0
        self.generator = random.Random(seed)
        self._class = consensus_class
        snapshot = Snapshot(0, 0, make_voters(nodes), b'')
        self.disks = {node: Disk(0, '', snapshot, []) for node in nodes}
        self.replicas = {}
        self.messages = []
        self.groups = {}
        self.leaders = {}
        self.committed = {}
        self.proposals = {}
        self.delay = 0
        for node in nodes:
            self.start(node)

    def start(self, node):
        """Start a replica with what its disk holds."""
        if node not in self.replicas:
            self.replicas[node] = self._class(
                node,
                self.disks[node].load(),
                TIMING,
                random.Random(self.generator.random()),
                self.now,
            )

    def add_disk(self, node):
        """Add an empty replica that is no voter."""
        self.disks[node] = Disk(0, '', Snapshot(0, 0, (), b''), [])
        self.start(node)

    def crash(self, node):
        """Stop a replica; unsynced writes are lost."""
        self.replicas.pop(node, None)
        self.disks[node].unsynced.clear()

    def lose_disk(self, node):
        """Stop a replica for good."""
        self.crash(node)
        self.disks.pop(node)

    def cut(self, groups):
        """Deliver messages only within the same group."""
        self.groups = groups

    def handle(self, node, event):
        replica = self.replicas.get(node)
        if replica is None:
            return
        for effect in replica.handle(event, self.now):
            self._carry_out(node, effect)
        self._check_acting()

    def propose(self, proposal_id, voters=None):
        """Propose at every replica; only an acting leader takes it."""
        command = proposal_id.encode()
        for node in tuple(self.replicas):
            self.handle(node, Proposed(proposal_id, command, voters))

    def sync(self, node, count=None):
        """Make some or all writes of a replica durable."""
        disk = self.disks.get(node)
        if disk is not None and disk.unsynced and node in self.replicas:
            number = disk.sync(count or len(disk.unsynced))
            self.handle(node, Written(number))

    def take_snapshot(self, node, keep=0):
        """Let a replica compact its log."""
        replica = self.replicas.get(node)
        if replica is None:
            return
        self.sync(node)
        history, index = replica.history, replica.commit_index
        if index <= history.snapshot.index:
            return
        snapshot = Snapshot(
            index,
            history.term_at(index),
            history.voters_at(index),
            str(index).encode(),
        )
        rest = history.read(index + 1, history.last_index)
        self.disks[node].take(snapshot, rest)
        self.handle(node, SnapshotTaken(snapshot, keep))

    def advance(self, delta_ms):
        self.now += delta_ms
        for node in tuple(self.replicas):
            self.handle(node, Tick())

    def deliver(self, position, *, keep=False):
        """Deliver one message, whichever position it has."""
        if not self.messages:
            return
        position %= len(self.messages)
        source, target, message = self.messages[position]
        if not keep:
            self.messages.pop(position)
        if self.groups.get(source) == self.groups.get(target):
            self.handle(target, Arrived(source, message))

    def drop(self, position):
        if self.messages:
            self.messages.pop(position % len(self.messages))

    def settle(self, steps=200, step_ms=10):
        """Run without faults."""
        self.cut({})
        for _ in range(steps):
            self.advance(step_ms)
            self.run_messages()

    def run_messages(self):
        """Sync and deliver until all messages so far are handled."""
        for node in tuple(self.replicas):
            self.sync(node)
        count = len(self.messages)
        for _ in range(count):
            self.deliver(0)
            for node in tuple(self.replicas):
                self.sync(node)

    def find_acting(self):
        """Return the replicas that act as leader."""
        return [
            node
            for node, replica in self.replicas.items()
            if replica.is_acting(self.now)
        ]

    def _carry_out(self, node, effect):
        match effect:
            case Send(target=target, message=message):
                self.messages.append((node, target, message))
            case SaveVote() | AppendLog() | InstallState():
                self.disks[node].unsynced.append(effect)
            case Committed(first_index=first, entries=entries):
                for index, entry in enumerate(entries, first):
                    self._check_commit(index, entry)
            case Elected(term=term):
                leader = self.leaders.setdefault(term, node)
                if leader != node:
                    raise AssertionError(f'term {term}: {leader}, {node} lead')

    def _check_commit(self, index, entry):
        known = self.committed.setdefault(index, entry)
        if known != entry:
            raise AssertionError(f'index {index}: {known} and {entry}')
        if entry.proposal_id:
            first = self.proposals.setdefault(entry.proposal_id, index)
            if first != index:
                raise AssertionError(
                    f'{entry.proposal_id} is at {first} and at {index}',
                )

    def _check_acting(self):
        acting = self.find_acting()
        if len(acting) > 1:
            raise AssertionError(f'{acting} act as leader at {self.now}')
