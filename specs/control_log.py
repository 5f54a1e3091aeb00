"""Specification of the control log's protocol, in steps of one exchange.

Three replicas. A replica's log is the tuple of the terms of its entries; a
leader adds one entry to an index in its term, so term and index name an entry.
Votes, entries and snapshots survive a crash only if they were synced. A fence
is issued when a leader applies an entry; it is the next value of a counter
that is part of the applied state and of snapshots.

The rules are those of ``ibisjunction.control``. A mistake replaces one rule,
to show that the invariants notice its absence.
"""

import enum
import itertools
from dataclasses import dataclass
from functools import cache
from typing import NamedTuple

from minicheck import Protocol

_REPLICAS = 3
_MAJORITY = 2
_ORDERS = tuple(itertools.permutations(range(_REPLICAS)))


class Mistake(enum.Enum):
    """Rules that a specification can leave out."""

    NONE = 'none'
    VOTE_TWICE = 'a voter ignores that it voted in this term'
    VOTE_NOT_SYNCED = 'a vote is lost in a crash'
    ANY_LOG_WINS = 'a voter ignores that its log is ahead'
    ENTRY_NOT_SYNCED = 'entries are acknowledged before they are durable'
    OLD_TERM_COMMITTED = 'an entry of an earlier term is committed by count'
    COUNTER_NOT_SAVED = 'a snapshot lacks the fence counter'
    MINORITY_LEADS = 'a candidate leads without a majority'


@dataclass(frozen=True)
class Bounds:
    """How much of the state space is explored."""

    terms: int
    entries: int
    crashes: int
    has_stops: bool = False
    has_fences: bool = False


class Replica(NamedTuple):
    """One replica; ``votes`` and ``matches`` are indexes of replicas.

    ``role`` is 0 for a follower, 1 for a candidate and 2 for a leader.
    """

    term: int = 0
    vote: int = -1
    log: tuple[int, ...] = ()
    synced: int = 0
    role: int = 0
    votes: tuple[int, ...] = ()
    matches: tuple[int, ...] = (0,) * _REPLICAS
    applied: int = 0
    counter: int = 0
    snapshot: tuple[int, int] = (0, 0)


Replicas = tuple[Replica, ...]
State = tuple[Replicas, tuple[int, ...], tuple[int, ...], tuple, int, str]


def make_protocol(bounds, mistake=Mistake.NONE):
    """Return the protocol for minicheck."""
    steps = _Steps(bounds, mistake)
    return Protocol(
        name='control log',
        candidate=False,
        fields=('replicas', 'leaders', 'committed', 'fences', 'crashes', 'bad'),
        initial=((Replica(),) * _REPLICAS, (), (), (), 0, ''),
        transitions=steps.list_steps,
        invariants={
            'election safety': lambda state: state['bad'] != 'leaders',
            'no committed entry is lost': lambda state: state['bad'] != 'lost',
            'fences never repeat': lambda state: state['bad'] != 'fence',
        },
    )


class _Steps:
    def __init__(self, bounds, mistake) -> None:
        self._bounds = bounds
        self._mistake = mistake
        self._is_refuted = False

    def list_steps(self, state):
        """Return the label and the outcome of each possible step.

        The search ends after the first violation.
        """
        self._is_refuted = self._is_refuted or bool(state[-1])
        if self._is_refuted:
            return []
        found = []
        for me in range(_REPLICAS):
            found += self._list_own(state, me)
            for other in range(_REPLICAS):
                if other != me:
                    found += self._list_exchanges(state, me, other)
        return [(label, _canonical(after)) for label, after in found]

    def _list_own(self, state, me):
        replica = state[0][me]
        if replica.role != 2 and replica.term < self._bounds.terms:
            standing = replica._replace(
                term=replica.term + 1,
                vote=me,
                role=1,
                votes=(me,),
            )
            yield 'stand', _with(state, me, standing)
        if replica.role == 1:
            yield from self._lead(state, me, replica)
        if replica.role == 2:
            yield from self._act(state, me, replica)
        if replica.synced < len(replica.log):
            synced = replica._replace(synced=len(replica.log))
            yield 'sync', _with(state, me, synced)
        yield from self._crash(state, me, replica)

    def _lead(self, state, me, replica):
        needed = 1 if self._is(Mistake.MINORITY_LEADS) else _MAJORITY
        if len(replica.votes) < needed:
            return
        after = _with(state, me, replica._replace(role=2, votes=()))
        if replica.term in state[1]:
            yield 'lead', _mark(after, 'leaders')
            return
        leaders = tuple(sorted((*state[1], replica.term)))
        yield 'lead', (after[0], leaders, *after[2:])

    def _act(self, state, me, replica):
        if self._bounds.has_stops:
            # A leader that hears from no majority stops at any time.
            yield 'stop', _with(state, me, _follow(replica, replica.term))
        if len(replica.log) < self._bounds.entries:
            log = (*replica.log, replica.term)
            yield 'append', _with(state, me, replica._replace(log=log))
        yield from self._commit(state, me, replica)

    def _commit(self, state, me, replica):
        matches = list(replica.matches)
        matches[me] = replica.synced
        index = sorted(matches)[_REPLICAS - _MAJORITY]
        if index <= replica.applied:
            return
        is_own = replica.log[index - 1] == replica.term
        if not is_own and not self._is(Mistake.OLD_TERM_COMMITTED):
            return
        prefix = replica.log[:index]
        known = state[2]
        after = _with(state, me, self._apply(replica, index))
        common = min(len(known), index)
        if known[:common] != prefix[:common]:
            yield 'commit', _mark(after, 'lost')
            return
        longest = max(known, prefix, key=len)
        after = (after[0], after[1], longest, *after[3:])
        if not self._bounds.has_fences:
            yield 'commit', after
            return
        yield 'commit', self._issue(after, replica, index)

    def _issue(self, state, replica, index):
        """Issue a fence for each entry that the leader applies."""
        fences = dict(state[3])
        for position in range(replica.applied, index):
            fence = replica.counter + position - replica.applied + 1
            if fences.setdefault(fence, position) != position:
                return _mark(state, 'fence')
        return (*state[:3], tuple(sorted(fences.items())), *state[4:])

    def _apply(self, replica, index):
        counter = replica.counter + index - replica.applied
        if not self._bounds.has_fences:
            return replica._replace(applied=index)
        return replica._replace(applied=index, counter=counter)

    def _crash(self, state, me, replica):
        if state[4] >= self._bounds.crashes:
            return
        applied, counter = replica.snapshot
        restarted = Replica(
            term=replica.term,
            vote=-1 if self._is(Mistake.VOTE_NOT_SYNCED) else replica.vote,
            log=replica.log[: replica.synced],
            synced=replica.synced,
            applied=applied,
            counter=counter,
            snapshot=replica.snapshot,
        )
        after = _with(state, me, restarted)
        yield 'crash', (*after[:4], state[4] + 1, after[5])
        is_new = replica.applied > applied
        if self._bounds.has_fences and is_new:
            is_lost = self._is(Mistake.COUNTER_NOT_SAVED)
            saved = (replica.applied, 0 if is_lost else replica.counter)
            yield 'snapshot', _with(state, me, replica._replace(snapshot=saved))

    def _list_exchanges(self, state, me, other):
        mine, theirs = state[0][me], state[0][other]
        if mine.role == 1 and other not in mine.votes:
            yield from self._vote(state, me, other)
        if mine.role == 2 and theirs.term <= mine.term:
            yield from self._replicate(state, me, other)

    def _vote(self, state, me, other):
        mine, theirs = state[0][me], state[0][other]
        if theirs.term > mine.term:
            return
        is_free = theirs.term < mine.term or theirs.vote in {-1, me}
        if not is_free and not self._is(Mistake.VOTE_TWICE):
            return
        is_covered = _rank(mine.log) >= _rank(theirs.log)
        if not is_covered and not self._is(Mistake.ANY_LOG_WINS):
            return
        voter = _follow(theirs, mine.term)._replace(vote=me)
        votes = tuple(sorted((*mine.votes, other)))
        after = _with(state, other, voter)
        yield 'vote', _with(after, me, mine._replace(votes=votes))

    def _replicate(self, state, me, other):
        mine, theirs = state[0][me], state[0][other]
        follower = _follow(theirs, mine.term)
        common = _count_common(mine.log, theirs.log)
        if common < len(mine.log):
            follower = follower._replace(
                log=mine.log[: common + 1],
                synced=min(common, theirs.synced),
            )
            yield 'replicate', _with(state, other, follower)
        is_early = self._is(Mistake.ENTRY_NOT_SYNCED)
        held = common if is_early else min(common, theirs.synced)
        if held > mine.matches[other]:
            matches = list(mine.matches)
            matches[other] = held
            after = _with(state, other, follower)
            leader = mine._replace(matches=tuple(matches))
            yield 'acknowledge', _with(after, me, leader)

    def _is(self, mistake):
        return self._mistake is mistake


def _follow(replica, term):
    """Enter a term, as a follower."""
    if replica.term == term:
        return replica._replace(
            role=0,
            votes=(),
            matches=(0,) * _REPLICAS,
        )
    return replica._replace(
        term=term,
        vote=-1,
        role=0,
        votes=(),
        matches=(0,) * _REPLICAS,
    )


def _rank(log):
    return (log[-1] if log else 0, len(log))


def _count_common(mine, theirs):
    pairs = itertools.takewhile(
        lambda pair: pair[0] == pair[1],
        zip(mine, theirs, strict=False),
    )
    return len(list(pairs))


def _with(state, position, replica):
    replicas = list(state[0])
    replicas[position] = replica
    return (tuple(replicas), *state[1:])


def _mark(state, bad):
    return (*state[:-1], bad)


def _canonical(state):
    """Return one state for all that differ in the replicas' order only.

    Only orders that sort the replicas by what does not depend on the order
    are compared.
    """
    keys = [_describe(replica) for replica in state[0]]
    wanted = sorted(keys)
    replicas = min(
        _reorder(state[0], order)
        for order in _ORDERS
        if [keys[position] for position in order] == wanted
    )
    return (replicas, *state[1:])


@cache
def _describe(replica):
    return replica._replace(
        vote=0,
        votes=(len(replica.votes),),
        matches=tuple(sorted(replica.matches)),
    )


def _reorder(replicas, order):
    return tuple(_rename(replicas[old], order) for old in order)


@cache
def _rename(replica, order):
    """Return a replica with the new positions of those it refers to."""
    place = {old: new for new, old in enumerate(order)}
    place[-1] = -1
    return replica._replace(
        vote=place[replica.vote],
        votes=tuple(sorted(place[voter] for voter in replica.votes)),
        matches=tuple(replica.matches[source] for source in order),
    )
