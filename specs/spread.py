"""Specification of when a leader may confirm a change.

A change removes an upstream or updates an item. A leader commits one change and
confirms it. An upstream that leaves continues to serve for a drain period after
the confirmation, and no entry VM may use the state before the change once that
period is over. Entry VMs don't depend on one another, so the model has one. Its
heartbeats and the renewals of its lease may be delayed for any time and
reordered, whether they are sent directly or through another entry VM. A second
leader may replace the first at any moment.

Time passes in ticks of an exact clock. An entry VM shortens its lease, and a
leader lengthens it, by the clock error. So in ticks the lease of the VM never
lasts longer than the leader assumes.

The rules are those of ``ibisjunction.coordination.spread`` and
``ibisjunction.membership.leases``. A mistake replaces one rule, to show that
the invariant detects its absence.
"""

import enum
from collections.abc import Iterator
from typing import Final, NamedTuple

from minicheck import Protocol

_LEASE_TICKS: Final = 2
#: Ticks for which an upstream that leaves continues to serve.
_DRAIN_TICKS: Final = 1
#: Longest wait after a commit or an election. A lease that was renewed earlier
#: ends no later than the drain period that follows this wait.
_MAX_WAIT_TICKS: Final = _LEASE_TICKS - _DRAIN_TICKS
_MAX_TICKS: Final = 4
_MAX_HEARTBEATS: Final = 2


class Mistake(enum.Enum):
    """Faults that can replace a rule of the specification."""

    NONE = 'none'
    CLOCK_ERROR_IGNORED = 'a VM assumes that its clock is exact'
    COUNTED_FROM_RECEIPT = 'a lease starts when its renewal arrives'
    INDEX_IGNORED = 'a lease is renewed before the log is applied'
    LIVE_VM_IGNORED = 'a change is confirmed as soon as it is committed'
    EARLIER_LEASES_IGNORED = 'a new leader assumes that all leases have ended'
    OLD_LEADER_RENEWS = 'a leader renews after its successor was elected'


class Heartbeat(NamedTuple):
    """A heartbeat in flight."""

    sent_at: int
    applied_index: int


class Renewal(NamedTuple):
    """A renewal in flight, valid once ``committed_index`` is applied."""

    sent_at: int
    committed_index: int


class World(NamedTuple):
    """The whole state; the time of an event is -1 until it happens.

    ``committed_index`` is 1 once the change is committed, ``applied_index``
    once the VM has applied it, and ``reported_index`` once a heartbeat has
    reported that to the leader. The VM's lease ends at ``lease_end``, and in
    the leader's table at ``leader_lease_end``. The first leader was elected one
    lease before the start, so it does not wait for earlier leases.
    """

    time: int = 0
    elected_at: int = -_LEASE_TICKS
    has_second_leader: bool = False
    committed_index: int = 0
    committed_at: int = -1
    confirmed_at: int = -1
    applied_index: int = 0
    lease_end: int = 0
    leader_lease_end: int = 0
    reported_index: int = 0
    heartbeats_sent: int = 0
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
    is_drain_over = 0 <= world.confirmed_at <= world.time - _DRAIN_TICKS
    uses_old_state = world.lease_end > world.time and not world.applied_index
    return not (is_drain_over and uses_old_state)


class _Steps:
    def __init__(self, mistake) -> None:
        self._mistake = mistake

    def list_steps(self, state):
        """Return the label and the next state of each possible step."""
        world = state[0]
        steps = [
            *self._pass_time(world),
            *self._send_heartbeat(world),
            *self._renew_lease(world),
            *self._act_as_vm(world),
            *self._act_as_leader(world),
        ]
        return [
            (label, (self._remove_obsolete(after),)) for label, after in steps
        ]

    def _remove_obsolete(self, world) -> World:
        """Remove renewals that would not extend the lease."""
        min_end = max(world.time, world.lease_end)
        return world._replace(
            renewals=frozenset(
                renewal
                for renewal in world.renewals
                if self._find_lease_end(renewal, world.time) > min_end
            ),
        )

    def _pass_time(self, world) -> Iterator[tuple[str, World]]:
        if world.time < _MAX_TICKS:
            yield 'tick', world._replace(time=world.time + 1)

    def _send_heartbeat(self, world) -> Iterator[tuple[str, World]]:
        if world.heartbeats_sent < _MAX_HEARTBEATS:
            heartbeat = Heartbeat(world.time, world.applied_index)
            yield (
                'heartbeat',
                world._replace(
                    heartbeats_sent=world.heartbeats_sent + 1,
                    heartbeats=world.heartbeats | {heartbeat},
                ),
            )

    def _renew_lease(self, world) -> Iterator[tuple[str, World]]:
        for heartbeat in world.heartbeats:
            rest = world._replace(heartbeats=world.heartbeats - {heartbeat})
            renewal = Renewal(heartbeat.sent_at, world.committed_index)
            yield (
                'renew',
                rest._replace(
                    leader_lease_end=world.time + _LEASE_TICKS,
                    reported_index=heartbeat.applied_index,
                    renewals=world.renewals | {renewal},
                ),
            )
            is_old_leader_active = self._mistake is Mistake.OLD_LEADER_RENEWS
            if world.has_second_leader and is_old_leader_active:
                renewals_after = world.renewals | {
                    Renewal(heartbeat.sent_at, 0)
                }
                yield (
                    'old leader renews',
                    rest._replace(renewals=renewals_after),
                )

    def _act_as_vm(self, world) -> Iterator[tuple[str, World]]:
        if world.committed_index > world.applied_index:
            yield 'apply', world._replace(applied_index=world.committed_index)
        ignores_index = self._mistake is Mistake.INDEX_IGNORED
        for renewal in world.renewals:
            rest = world._replace(renewals=world.renewals - {renewal})
            if world.applied_index >= renewal.committed_index or ignores_index:
                lease_end = max(
                    world.lease_end, self._find_lease_end(renewal, world.time)
                )
                yield 'apply renewal', rest._replace(lease_end=lease_end)

    def _find_lease_end(self, renewal, now) -> int:
        start = renewal.sent_at
        if self._mistake is Mistake.COUNTED_FROM_RECEIPT:
            start = now
        clock_error_ticks = (
            1 if self._mistake is Mistake.CLOCK_ERROR_IGNORED else 0
        )
        return start + _LEASE_TICKS + clock_error_ticks

    def _act_as_leader(self, world) -> Iterator[tuple[str, World]]:
        if not world.committed_index:
            yield (
                'commit',
                world._replace(committed_index=1, committed_at=world.time),
            )
        elif world.confirmed_at < 0 and self._may_confirm(world):
            yield 'confirm', world._replace(confirmed_at=world.time)
        if not world.has_second_leader:
            yield (
                'elect',
                world._replace(
                    has_second_leader=True,
                    elected_at=world.time,
                    committed_at=world.time if world.committed_index else -1,
                    leader_lease_end=0,
                    reported_index=0,
                ),
            )

    def _may_confirm(self, world) -> bool:
        if self._mistake is Mistake.LIVE_VM_IGNORED:
            return True
        if world.time >= world.committed_at + _MAX_WAIT_TICKS:
            return True
        ignores_leases = self._mistake is Mistake.EARLIER_LEASES_IGNORED
        if (
            world.time < world.elected_at + _MAX_WAIT_TICKS
            and not ignores_leases
        ):
            return False
        return world.time >= world.leader_lease_end or world.reported_index > 0
