"""When a leader may confirm a change that entry VMs must not act against.

A change is an upstream that leaves, or an item. A leader commits one change
and confirms it once no entry VM acts on the state before it for longer than an
upstream goes on serving. One entry VM stands for all: they don't depend on one
another. Its heartbeats and the renewals of its lease may be delayed for any
time, whether they travel directly or through another entry VM, and may
overtake one another. A second leader may replace the first at any moment.

Time passes in ticks, and is the time of an outside observer: an entry VM counts
its lease shorter, and a leader counts it longer, by as much as clocks differ.

The rules are those of ``ibisjunction.coordination.spread`` and
``ibisjunction.membership.leases``. A mistake replaces one rule, to show that
the invariant notices its absence.
"""

import enum
from collections.abc import Iterator
from typing import Final, NamedTuple

from minicheck import Protocol

_LEASE: Final = 2
#: Ticks for which an upstream that leaves goes on serving.
_DRAIN: Final = 1
_LONGEST: Final = _LEASE - _DRAIN
_MAX_TIME: Final = 4
_MAX_HEARTBEATS: Final = 2


class Mistake(enum.Enum):
    """Rules that a specification can leave out."""

    NONE = 'none'
    CLOCK_TRUSTED = 'the clocks of VMs are taken for exact'
    COUNTED_FROM_RECEIPT = 'a lease begins when its renewal arrives'
    INDEX_IGNORED = 'a renewal is taken before the log is applied'
    LIVE_VM_IGNORED = 'a change is confirmed once it is committed'
    LEASES_FORGOTTEN = 'a new leader takes all leases for ended'
    OLD_LEADER_ACTS = 'a leader renews after its successor was elected'


class Heartbeat(NamedTuple):
    """A heartbeat on its way."""

    sent: int
    applied: int


class Renewal(NamedTuple):
    """A renewal on its way; it holds once ``index`` is applied."""

    sent: int
    index: int


class World(NamedTuple):
    """The whole state; times are -1 if that has not happened.

    ``index`` is 1 once the change is committed, and ``applied`` once the VM
    has it. ``until`` ends the VM's lease, ``believed_until`` is what the leader
    takes for that, and ``reported`` what the VM said last.
    """

    time: int = 0
    elected: int = -_LEASE
    is_second: bool = False
    index: int = 0
    committed: int = -1
    confirmed: int = -1
    applied: int = 0
    until: int = 0
    believed_until: int = 0
    reported: int = 0
    sent: int = 0
    heartbeats: frozenset[Heartbeat] = frozenset()
    renewals: frozenset[Renewal] = frozenset()


def make_protocol(mistake=Mistake.NONE):
    """Return the protocol for minicheck."""
    return Protocol(
        name='spread',
        candidate=False,
        fields=('world',),
        initial=(World(),),
        transitions=_Steps(mistake).list_steps,
        invariants={'confirmed changes are in force': _is_in_force},
    )


def _is_in_force(state) -> bool:
    world = state['world']
    is_due = 0 <= world.confirmed <= world.time - _DRAIN
    acts = world.until > world.time and not world.applied
    return not (is_due and acts)


class _Steps:
    def __init__(self, mistake) -> None:
        self._mistake = mistake

    def list_steps(self, state):
        """Return the label and the outcome of each possible step."""
        world = state[0]
        steps = [
            *self._pass_time(world),
            *self._send(world),
            *self._renew(world),
            *self._take(world),
            *self._lead(world),
        ]
        return [(label, (self._without_dead(after),)) for label, after in steps]

    def _without_dead(self, world) -> World:
        """Leave out renewals that would lengthen no lease."""
        since = max(world.time, world.until)
        return world._replace(
            renewals=frozenset(
                renewal
                for renewal in world.renewals
                if self._end_of(renewal, world.time) > since
            ),
        )

    def _pass_time(self, world) -> Iterator[tuple[str, World]]:
        if world.time < _MAX_TIME:
            yield 'tick', world._replace(time=world.time + 1)

    def _send(self, world) -> Iterator[tuple[str, World]]:
        if world.sent < _MAX_HEARTBEATS:
            heartbeat = Heartbeat(world.time, world.applied)
            yield (
                'heartbeat',
                world._replace(
                    sent=world.sent + 1,
                    heartbeats=world.heartbeats | {heartbeat},
                ),
            )

    def _renew(self, world) -> Iterator[tuple[str, World]]:
        for heartbeat in world.heartbeats:
            rest = world._replace(heartbeats=world.heartbeats - {heartbeat})
            renewal = Renewal(heartbeat.sent, world.index)
            yield (
                'renew',
                rest._replace(
                    believed_until=world.time + _LEASE,
                    reported=heartbeat.applied,
                    renewals=world.renewals | {renewal},
                ),
            )
            is_late = self._mistake is Mistake.OLD_LEADER_ACTS
            if world.is_second and is_late:
                late = world.renewals | {Renewal(heartbeat.sent, 0)}
                yield 'old leader renews', rest._replace(renewals=late)

    def _take(self, world) -> Iterator[tuple[str, World]]:
        if world.index > world.applied:
            yield 'apply', world._replace(applied=world.index)
        ignores_index = self._mistake is Mistake.INDEX_IGNORED
        for renewal in world.renewals:
            rest = world._replace(renewals=world.renewals - {renewal})
            if world.applied >= renewal.index or ignores_index:
                until = max(world.until, self._end_of(renewal, world.time))
                yield 'take renewal', rest._replace(until=until)

    def _end_of(self, renewal, now) -> int:
        begin = renewal.sent
        if self._mistake is Mistake.COUNTED_FROM_RECEIPT:
            begin = now
        slow = 1 if self._mistake is Mistake.CLOCK_TRUSTED else 0
        return begin + _LEASE + slow

    def _lead(self, world) -> Iterator[tuple[str, World]]:
        if not world.index:
            yield 'commit', world._replace(index=1, committed=world.time)
        elif world.confirmed < 0 and self._may_confirm(world):
            yield 'confirm', world._replace(confirmed=world.time)
        if not world.is_second:
            yield (
                'elect',
                world._replace(
                    is_second=True,
                    elected=world.time,
                    committed=world.time if world.index else -1,
                    believed_until=0,
                    reported=0,
                ),
            )

    def _may_confirm(self, world) -> bool:
        if self._mistake is Mistake.LIVE_VM_IGNORED:
            return True
        if world.time >= world.committed + _LONGEST:
            return True
        forgets = self._mistake is Mistake.LEASES_FORGOTTEN
        if world.time < world.elected + _LONGEST and not forgets:
            return False
        return world.time >= world.believed_until or world.reported > 0
