"""Specification of the control log's protocol.

A request and its answer are one step. There are three replicas. A replica's
log is the tuple of the terms of its entries; a leader adds at most one entry
per index in its term, so term and index identify an entry. Votes, entries
and snapshots survive a crash only if they were synced. A fence is issued when
a leader applies an entry; it is the next value of a counter that is part of
the applied state and of snapshots.

The rules are those of ``ibisjunction.control``. A mistake replaces one rule,
to show that the invariants detect its absence.
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
    """Faults that can replace a rule of the specification."""

    NONE = 'none'
    VOTE_TWICE = 'a voter ignores that it voted in this term'
    VOTE_NOT_SYNCED = 'a vote is lost in a crash'
    LOG_NOT_COMPARED = 'a voter ignores that its log is more up to date'
    ENTRY_NOT_SYNCED = 'entries are acknowledged before they are durable'
    OLD_TERM_COMMITTED = (
        'an entry of an earlier term is committed once a majority has it'
    )
    COUNTER_NOT_SAVED = 'a snapshot lacks the fence counter'
    MINORITY_LEADS = 'a candidate leads without a majority'


@dataclass(frozen=True)
class Bounds:
    """Limits on the part of the state space that is explored.

    Leaders stop only if ``has_stops``. Fences are issued and snapshots are
    saved only if ``has_fences``.
    """

    terms: int
    entries: int
    crashes: int
    has_stops: bool = False
    has_fences: bool = False


class Replica(NamedTuple):
    """The state of one replica.

    Log indexes start at 1, so an index of 0 means that there is no entry.
    ``vote`` is the position of the replica that it voted for in its term, -1 if
    there is none. ``votes`` are the positions of the replicas that voted for
    it, and ``match_indexes`` the log index that each replica has acknowledged
    to it. ``counter`` is the last fence that was issued for an applied entry.
    ``snapshot`` is the applied index and the counter. ``role`` is 0 for a
    follower, 1 for a candidate and 2 for a leader.
    """

    term: int = 0
    vote: int = -1
    log: tuple[int, ...] = ()
    synced_index: int = 0
    role: int = 0
    votes: tuple[int, ...] = ()
    match_indexes: tuple[int, ...] = (0,) * _REPLICAS
    applied_index: int = 0
    counter: int = 0
    snapshot: tuple[int, int] = (0, 0)


Replicas = tuple[Replica, ...]
#: The replicas, the terms that had a leader, the committed log, the log
#: position that each fence was issued for, the number of crashes, and the
#: violation.
State = tuple[Replicas, tuple[int, ...], tuple[int, ...], tuple, int, str]


def make_protocol(bounds, mistake=Mistake.NONE):
    """Return the protocol for minicheck."""
    steps = _Steps(bounds, mistake)
    return Protocol(
        name='control log',
        candidate=False,
        fields=(
            'replicas',
            'leader_terms',
            'committed',
            'fences',
            'crashes',
            'violation',
        ),
        initial=((Replica(),) * _REPLICAS, (), (), (), 0, ''),
        transitions=steps.list_steps,
        invariants={
            'election safety': lambda state: state['violation'] != 'leaders',
            'no committed entry is lost': lambda state: (
                state['violation'] != 'lost'
            ),
            'fences never repeat': lambda state: state['violation'] != 'fence',
        },
    )


class _Steps:
    def __init__(self, bounds, mistake) -> None:
        self._bounds = bounds
        self._mistake = mistake
        self._is_violated = False

    def list_steps(self, state):
        """Return the label and the next state of each possible step.

        The search ends after the first violation.
        """
        self._is_violated = self._is_violated or bool(state[-1])
        if self._is_violated:
            return []
        steps = []
        for me in range(_REPLICAS):
            steps += self._list_local_steps(state, me)
            for other in range(_REPLICAS):
                if other != me:
                    steps += self._list_exchanges(state, me, other)
        return [(label, _canonical(after)) for label, after in steps]

    def _list_local_steps(self, state, me):
        replica = state[0][me]
        if replica.role != 2 and replica.term < self._bounds.terms:
            candidate = replica._replace(
                term=replica.term + 1,
                vote=me,
                role=1,
                votes=(me,),
            )
            yield 'start election', _with_replica(state, me, candidate)
        if replica.role == 1:
            yield from self._become_leader(state, me, replica)
        if replica.role == 2:
            yield from self._act_as_leader(state, me, replica)
        if replica.synced_index < len(replica.log):
            synced = replica._replace(synced_index=len(replica.log))
            yield 'sync', _with_replica(state, me, synced)
        yield from self._crash_or_save_snapshot(state, me, replica)

    def _become_leader(self, state, me, replica):
        needed = 1 if self._has_mistake(Mistake.MINORITY_LEADS) else _MAJORITY
        if len(replica.votes) < needed:
            return
        after = _with_replica(state, me, replica._replace(role=2, votes=()))
        if replica.term in state[1]:
            yield 'become leader', _mark_violation(after, 'leaders')
            return
        leader_terms = tuple(sorted((*state[1], replica.term)))
        yield 'become leader', (after[0], leader_terms, *after[2:])

    def _act_as_leader(self, state, me, replica):
        if self._bounds.has_stops:
            # A leader stops when no majority answers, which may be at any time.
            yield (
                'stop',
                _with_replica(
                    state, me, _become_follower(replica, replica.term)
                ),
            )
        if len(replica.log) < self._bounds.entries:
            log = (*replica.log, replica.term)
            yield 'append', _with_replica(state, me, replica._replace(log=log))
        yield from self._commit(state, me, replica)

    def _commit(self, state, me, replica):
        match_indexes = list(replica.match_indexes)
        match_indexes[me] = replica.synced_index
        index = sorted(match_indexes)[_REPLICAS - _MAJORITY]
        if index <= replica.applied_index:
            return
        is_own_term = replica.log[index - 1] == replica.term
        if not is_own_term and not self._has_mistake(
            Mistake.OLD_TERM_COMMITTED
        ):
            return
        prefix = replica.log[:index]
        committed = state[2]
        after = _with_replica(state, me, self._apply(replica, index))
        common = min(len(committed), index)
        if committed[:common] != prefix[:common]:
            yield 'commit', _mark_violation(after, 'lost')
            return
        longest = max(committed, prefix, key=len)
        after = (after[0], after[1], longest, *after[3:])
        if not self._bounds.has_fences:
            yield 'commit', after
            return
        yield 'commit', self._issue_fences(after, replica, index)

    def _issue_fences(self, state, replica, index):
        """Issue a fence for each entry that the leader applies."""
        fences = dict(state[3])
        for log_position in range(replica.applied_index, index):
            fence = replica.counter + log_position - replica.applied_index + 1
            if fences.setdefault(fence, log_position) != log_position:
                return _mark_violation(state, 'fence')
        return (*state[:3], tuple(sorted(fences.items())), *state[4:])

    def _apply(self, replica, index):
        counter = replica.counter + index - replica.applied_index
        if not self._bounds.has_fences:
            return replica._replace(applied_index=index)
        return replica._replace(applied_index=index, counter=counter)

    def _crash_or_save_snapshot(self, state, me, replica):
        if state[4] >= self._bounds.crashes:
            # A snapshot has no effect if no crash can follow it.
            return
        applied_index, counter = replica.snapshot
        restarted = Replica(
            term=replica.term,
            vote=-1
            if self._has_mistake(Mistake.VOTE_NOT_SYNCED)
            else replica.vote,
            log=replica.log[: replica.synced_index],
            synced_index=replica.synced_index,
            applied_index=applied_index,
            counter=counter,
            snapshot=replica.snapshot,
        )
        after = _with_replica(state, me, restarted)
        yield 'crash', (*after[:4], state[4] + 1, after[5])
        is_snapshot_outdated = replica.applied_index > applied_index
        if self._bounds.has_fences and is_snapshot_outdated:
            omits_counter = self._has_mistake(Mistake.COUNTER_NOT_SAVED)
            new_snapshot = (
                replica.applied_index,
                0 if omits_counter else replica.counter,
            )
            yield (
                'snapshot',
                _with_replica(
                    state, me, replica._replace(snapshot=new_snapshot)
                ),
            )

    def _list_exchanges(self, state, me, other):
        mine, theirs = state[0][me], state[0][other]
        if mine.role == 1 and other not in mine.votes:
            yield from self._request_vote(state, me, other)
        if mine.role == 2 and theirs.term <= mine.term:
            yield from self._replicate(state, me, other)

    def _request_vote(self, state, me, other):
        mine, theirs = state[0][me], state[0][other]
        if theirs.term > mine.term:
            return
        may_vote = theirs.term < mine.term or theirs.vote in {-1, me}
        if not may_vote and not self._has_mistake(Mistake.VOTE_TWICE):
            return
        is_up_to_date = _last_term_and_index(mine.log) >= _last_term_and_index(
            theirs.log
        )
        if not is_up_to_date and not self._has_mistake(
            Mistake.LOG_NOT_COMPARED
        ):
            return
        voter = _become_follower(theirs, mine.term)._replace(vote=me)
        votes = tuple(sorted((*mine.votes, other)))
        after = _with_replica(state, other, voter)
        yield 'vote', _with_replica(after, me, mine._replace(votes=votes))

    def _replicate(self, state, me, other):
        mine, theirs = state[0][me], state[0][other]
        follower = _become_follower(theirs, mine.term)
        common = _count_common_entries(mine.log, theirs.log)
        if common < len(mine.log):
            follower = follower._replace(
                log=mine.log[: common + 1],
                synced_index=min(common, theirs.synced_index),
            )
            yield 'replicate', _with_replica(state, other, follower)
        counts_unsynced = self._has_mistake(Mistake.ENTRY_NOT_SYNCED)
        match_index = (
            common if counts_unsynced else min(common, theirs.synced_index)
        )
        if match_index > mine.match_indexes[other]:
            match_indexes = list(mine.match_indexes)
            match_indexes[other] = match_index
            after = _with_replica(state, other, follower)
            leader = mine._replace(match_indexes=tuple(match_indexes))
            yield 'acknowledge', _with_replica(after, me, leader)

    def _has_mistake(self, mistake):
        return self._mistake is mistake


def _become_follower(replica, term):
    """Return the replica as a follower of a term."""
    if replica.term == term:
        return replica._replace(
            role=0,
            votes=(),
            match_indexes=(0,) * _REPLICAS,
        )
    return replica._replace(
        term=term,
        vote=-1,
        role=0,
        votes=(),
        match_indexes=(0,) * _REPLICAS,
    )


def _last_term_and_index(log):
    return (log[-1] if log else 0, len(log))


def _count_common_entries(mine, theirs):
    equal_entries = itertools.takewhile(
        lambda entries: entries[0] == entries[1],
        zip(mine, theirs, strict=False),
    )
    return len(list(equal_entries))


def _with_replica(state, position, replica):
    replicas = list(state[0])
    replicas[position] = replica
    return (tuple(replicas), *state[1:])


def _mark_violation(state, violation):
    return (*state[:-1], violation)


def _canonical(state):
    """Return the same state for all states that differ in replica order only.

    Replicas are sorted by a key that does not depend on their order. Only the
    orders of replicas with equal keys remain to be compared.
    """
    keys = [_make_order_free_key(replica) for replica in state[0]]
    sorted_keys = sorted(keys)
    replicas = min(
        _reorder(state[0], order)
        for order in _ORDERS
        if [keys[position] for position in order] == sorted_keys
    )
    return (replicas, *state[1:])


@cache
def _make_order_free_key(replica):
    """Return a key that stays the same when the replicas are reordered."""
    return replica._replace(
        vote=0,
        votes=(len(replica.votes),),
        match_indexes=tuple(sorted(replica.match_indexes)),
    )


def _reorder(replicas, order):
    return tuple(_remap_positions(replicas[old], order) for old in order)


@cache
def _remap_positions(replica, order):
    """Return a replica whose references to replicas follow a new order."""
    new_positions = {old: new for new, old in enumerate(order)}
    new_positions[-1] = -1
    return replica._replace(
        vote=new_positions[replica.vote],
        votes=tuple(sorted(new_positions[voter] for voter in replica.votes)),
        match_indexes=tuple(replica.match_indexes[source] for source in order),
    )
