"""Specification of the replacement of a voter.

Three replicas vote, and the loss of one disk is to be borne. A fourth replica
takes the place of one that is to stop: it is added once it has caught up, and
the other one is removed after that. A replica uses the voters of the latest
change in its log, committed or not. The replica that is to stop does so once
its removal is committed.

A leader begins its term with an entry, and changes voters once that is
committed. A request and its answer are one step, and all writes are durable. A
log is the tuple of its entries, each with the term of its leader, so term and
position identify an entry.

The rules are those of ``ibisjunction.control`` and
``ibisjunction.coordination.voters``. A mistake replaces one rule, to show that
the invariants detect its absence.
"""

import enum
import itertools
from typing import NamedTuple

from minicheck import Protocol

_REPLICAS = 4
_INITIAL_VOTERS = frozenset((0, 1, 2))
_STOPPING = 2
_SUCCESSOR = 3
_MAX_TERM = 2

_START = 'start'
_ADD = 'add'
_REMOVE = 'remove'
_REPLACE = 'replace'


class Mistake(enum.Enum):
    """Faults that can replace a rule of the specification."""

    NONE = 'none'
    CHANGES_OVERLAP = 'a change starts before the last one is committed'
    REMOVED_FIRST = 'the voter is removed before its successor is added'
    STOPPED_EARLY = 'a replica stops before its removal is committed'
    TWO_AT_ONCE = 'one entry replaces a voter by its successor'
    LOG_NOT_COMPARED = 'a voter ignores that its log is more up to date'


class Replica(NamedTuple):
    """The state of one replica.

    ``is_up`` is false once it has stopped or lost its disk.
    """

    term: int = 0
    log: tuple[tuple[int, str], ...] = ()
    is_up: bool = True


class World(NamedTuple):
    """The whole state; ``leaders`` maps terms to replicas by position.

    ``committed`` is the committed log. ``lost`` is the number of lost disks.
    """

    replicas: tuple[Replica, ...] = (Replica(),) * _REPLICAS
    leaders: tuple[int, ...] = ()
    committed: tuple[tuple[int, str], ...] = ()
    lost: int = 0
    violation: str = ''


def make_protocol(mistake=Mistake.NONE):
    """Return the protocol for minicheck."""
    steps = _Steps(mistake)
    return Protocol(
        name='voter changes',
        candidate=False,
        fields=('world',),
        initial=(World(),),
        transitions=steps.list_steps,
        invariants={
            'no committed entry is lost': lambda state: (
                not state['world'].violation
            ),
            'a quorum is left': lambda state: _has_quorum(state['world']),
        },
    )


def find_voters(log):
    """Return the voters after the entries of a log."""
    voters = _INITIAL_VOTERS
    for _, kind in log:
        match kind:
            case 'add':
                voters |= {_SUCCESSOR}
            case 'remove':
                voters -= {_STOPPING}
            case 'replace':
                voters = voters - {_STOPPING} | {_SUCCESSOR}
    return voters


def _is_majority(replicas, voters):
    return 2 * len(voters & replicas) > len(voters)


def _position(log):
    """Return what tells how recent a log is."""
    return (log[-1][0] if log else 0, len(log))


def _starts_with(log, prefix):
    return log[: len(prefix)] == prefix


def _has_quorum(world):
    """Return whether the replicas that are up can elect a leader.

    It must have all committed entries.
    """
    return any(
        _can_win(world, candidate)
        and _starts_with(replica.log, world.committed)
        for candidate, replica in enumerate(world.replicas)
        if replica.is_up
    )


def _can_win(world, candidate):
    log = world.replicas[candidate].log
    granting = {
        voter
        for voter, replica in enumerate(world.replicas)
        if replica.is_up and _position(replica.log) <= _position(log)
    }
    return _is_majority(granting, find_voters(log))


class _Steps:
    def __init__(self, mistake) -> None:
        self._mistake = mistake

    def list_steps(self, state):
        """Return the label and the next state of each possible step."""
        world = state[0]
        if world.violation:
            return []
        steps = [
            *self._elect(world),
            *self._append(world),
            *_replicate(world),
            *_commit(world),
            *self._stop(world),
            *_lose_disk(world),
        ]
        return [(label, (after,)) for label, after in steps]

    def _elect(self, world):
        term = len(world.leaders) + 1
        if term > _MAX_TERM:
            return
        for candidate, replica in enumerate(world.replicas):
            voters = find_voters(replica.log)
            if not replica.is_up or candidate not in voters:
                continue
            granting = {
                voter
                for voter in voters
                if world.replicas[voter].is_up
                and self._grants(world.replicas[voter], replica)
            }
            for quorum in _list_quorums(granting | {candidate}, voters):
                replicas = tuple(
                    one._replace(term=term) if number in quorum else one
                    for number, one in enumerate(world.replicas)
                )
                elected = world._replace(
                    replicas=replicas, leaders=(*world.leaders, candidate)
                )
                log = (*replica.log, (term, _START))
                yield (
                    f'elect {candidate}',
                    _with(elected, candidate, log=log, term=term),
                )

    def _grants(self, voter, candidate):
        is_recent = _position(voter.log) <= _position(candidate.log)
        return is_recent or self._mistake is Mistake.LOG_NOT_COMPARED

    def _append(self, world):
        for term, leader in enumerate(world.leaders, 1):
            replica = world.replicas[leader]
            if not replica.is_up or replica.term != term:
                continue
            for kind in self._list_entries(world, replica):
                log = (*replica.log, (term, kind))
                yield f'append {kind}', _with(world, leader, log=log)

    def _list_entries(self, world, leader):
        is_pending = any(
            kind != _START
            and not _starts_with(world.committed, leader.log[: number + 1])
            for number, (_, kind) in enumerate(leader.log)
        )
        if is_pending and self._mistake is not Mistake.CHANGES_OVERLAP:
            return
        has_started = (leader.term, _START) in world.committed
        if not has_started:
            return
        voters = find_voters(leader.log)
        successor = world.replicas[_SUCCESSOR]
        is_caught_up = _starts_with(successor.log, world.committed)
        if _SUCCESSOR not in voters and is_caught_up:
            is_replaced = self._mistake is Mistake.TWO_AT_ONCE
            yield _REPLACE if is_replaced else _ADD
        may_remove = (
            _SUCCESSOR in voters or self._mistake is Mistake.REMOVED_FIRST
        )
        if _STOPPING in voters and may_remove:
            yield _REMOVE

    def _stop(self, world):
        is_removed = _STOPPING not in find_voters(world.committed)
        may_stop = is_removed or self._mistake is Mistake.STOPPED_EARLY
        if world.replicas[_STOPPING].is_up and may_stop:
            yield 'stop', _with(world, _STOPPING, is_up=False)


def _list_quorums(granting, voters):
    """Yield the majorities of the voters that grant their votes."""
    size = len(voters) // 2 + 1
    for quorum in itertools.combinations(sorted(granting & voters), size):
        yield frozenset(quorum)


def _replicate(world):
    """Send the whole log of each leader to another replica."""
    for term, leader in enumerate(world.leaders, 1):
        source = world.replicas[leader]
        if not source.is_up or source.term != term:
            continue
        for target, replica in enumerate(world.replicas):
            is_accepted = replica.is_up and replica.term <= term
            if target != leader and is_accepted and replica.log != source.log:
                yield (
                    f'replicate {leader} {target}',
                    _with(world, target, log=source.log, term=term),
                )


def _commit(world):
    """Commit what a majority of the leader's voters has of its own term."""
    for term, leader in enumerate(world.leaders, 1):
        source = world.replicas[leader]
        log = source.log
        if not source.is_up or source.term != term or not log:
            continue
        holders = {
            holder
            for holder, replica in enumerate(world.replicas)
            if replica.is_up
            and replica.term == term
            and _starts_with(replica.log, log)
        }
        is_new = len(log) > len(world.committed) and log[-1][0] == term
        if is_new and _is_majority(holders, find_voters(log)):
            is_kept = _starts_with(log, world.committed)
            violation = '' if is_kept else 'lost'
            yield (
                'commit',
                world._replace(committed=log, violation=violation),
            )


def _lose_disk(world):
    if world.lost:
        return
    for number, replica in enumerate(world.replicas):
        if replica.is_up:
            after = _with(world, number, log=(), is_up=False)
            yield f'lose disk {number}', after._replace(lost=1)


def _with(world, number, **changes):
    replicas = list(world.replicas)
    replicas[number] = replicas[number]._replace(**changes)
    return world._replace(replicas=tuple(replicas))
