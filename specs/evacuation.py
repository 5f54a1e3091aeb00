"""Specification of orders to evacuate a failure domain.

An operator starts an evacuation, and ends it after the start was confirmed. It
sends an order again, to any control VM, while it has no answer. A control VM
forwards each call to the leader, and again while that does not answer; calls
may be delayed for any time. A leader stores an order in the log, confirms it,
and may be lost between both. An operator ends an evacuation only once the
leader has got, or will never get, each start that it sent. Entry VMs don't
depend on one another, so the model has one, with a lease that a leader renews
only if the VM has applied the log.

Time passes in ticks of an exact clock. The rules are those of
``ibisjunction.coordination.evacuations``, ``ibisjunction.coordination.spread``
and ``ibisjunction.fleet.rules``. A mistake replaces one rule, to show that an
invariant detects its absence.
"""

import enum
from collections.abc import Iterator
from typing import Final, NamedTuple

from minicheck import Protocol

_LEASE_TICKS: Final = 2
#: Ticks after the confirmation within which an evacuation must be in force.
_FORCE_TICKS: Final = 1
_MAX_TICKS: Final = 3
_MAX_SENDS: Final = 3

_START: Final = 'start'
_END: Final = 'end'


class Mistake(enum.Enum):
    """Faults that can replace a rule of the specification."""

    NONE = 'none'
    CONFIRMED_BEFORE_COMMIT = 'an order is confirmed before it is stored'
    CUT_OFF_VM_IGNORED = 'an order is confirmed as soon as it is stored'
    FORWARDED_CALL_REPEATED = 'an order that comes again is applied again'
    LEASE_RENEWED_UNCONDITIONALLY = 'a VM that lacks the order is renewed'


class Call(NamedTuple):
    """An order on its way to the leader; ``number`` identifies the call."""

    number: int
    order: str


class World(NamedTuple):
    """The whole state; the time of an event is -1 until it happens.

    ``log`` are the committed orders. The VM has applied ``applied`` entries,
    and its lease ends at ``lease_end``.
    """

    time: int = 0
    sends: int = 0
    forwarded_again: bool = False
    has_second_leader: bool = False
    calls: frozenset[Call] = frozenset()
    log: tuple[Call, ...] = ()
    committed_at: int = -1
    started_at: int = -1
    is_ending: bool = False
    is_ended: bool = False
    applied: int = 0
    lease_end: int = _LEASE_TICKS


def make_protocol(mistake=Mistake.NONE):
    """Return the protocol for minicheck."""
    rules = _Rules(mistake)
    return Protocol(
        name='evacuation',
        candidate=False,
        fields=('world',),
        initial=(World(),),
        transitions=rules.list_steps,
        invariants={
            'a confirmed evacuation is stored': rules.is_start_kept,
            'a confirmed evacuation is in force': rules.is_in_force,
            'a confirmed end is stored': rules.is_end_kept,
        },
    )


class _Rules:
    def __init__(self, mistake) -> None:
        self._mistake = mistake

    def is_start_kept(self, state) -> bool:
        """Return whether a confirmed start holds until it is ended."""
        world = state['world']
        is_kept = self._is_evacuated(world.log)
        return world.started_at < 0 or world.is_ending or is_kept

    def is_in_force(self, state) -> bool:
        """Return whether no VM sends after the bound of the evacuation."""
        world = state['world']
        is_due = 0 <= world.started_at <= world.time - _FORCE_TICKS
        sends = world.lease_end > world.time and not self._is_evacuated(
            world.log[: world.applied]
        )
        return not is_due or world.is_ending or not sends

    def is_end_kept(self, state) -> bool:
        """Return whether no earlier order undoes a confirmed end."""
        world = state['world']
        return not world.is_ended or not self._is_evacuated(world.log)

    def list_steps(self, state):
        """Return the label and the next state of each possible step."""
        world = state[0]
        if world.is_ended and not world.calls:
            return []
        steps = [
            *_pass_time(world),
            *_act_as_operator(world),
            *self._receive(world),
            *self._confirm(world),
            *_replace_leader(world),
            *self._act_as_vm(world),
        ]
        return [(label, (after,)) for label, after in steps]

    def _is_evacuated(self, log) -> bool:
        seen: set[int] = set()
        is_evacuated = False
        for call in log:
            is_repeated = call.number in seen
            if self._mistake is Mistake.FORWARDED_CALL_REPEATED:
                is_repeated = False
            if not is_repeated:
                is_evacuated = call.order == _START
            seen.add(call.number)
        return is_evacuated

    def _receive(self, world) -> Iterator[tuple[str, World]]:
        """Store a call; its forwarder may send it once more."""
        for call in world.calls:
            rest = world._replace(calls=world.calls - {call})
            if self._mistake is Mistake.CONFIRMED_BEFORE_COMMIT:
                yield 'confirm unstored', _answer(rest, call)
            committed = rest._replace(
                log=(*rest.log, call),
                committed_at=rest.time,
            )
            yield 'commit', committed
            if not world.forwarded_again:
                yield (
                    'commit and keep',
                    committed._replace(calls=world.calls, forwarded_again=True),
                )

    def _confirm(self, world) -> Iterator[tuple[str, World]]:
        for call in world.log:
            if self._may_confirm(world, call):
                yield 'confirm', _answer(world, call)

    def _may_confirm(self, world, call) -> bool:
        if call.order == _END or self._mistake is Mistake.CUT_OFF_VM_IGNORED:
            return True
        has_waited = (
            world.time >= world.committed_at + _LEASE_TICKS - _FORCE_TICKS
        )
        return has_waited or world.applied == len(world.log)

    def _act_as_vm(self, world) -> Iterator[tuple[str, World]]:
        if world.applied < len(world.log):
            yield 'apply', world._replace(applied=world.applied + 1)
        renews_always = self._mistake is Mistake.LEASE_RENEWED_UNCONDITIONALLY
        may_renew = world.applied == len(world.log) or renews_always
        if may_renew and world.lease_end < world.time + _LEASE_TICKS:
            yield (
                'renew',
                world._replace(lease_end=world.time + _LEASE_TICKS),
            )


def _pass_time(world) -> Iterator[tuple[str, World]]:
    if world.time < _MAX_TICKS:
        yield 'tick', world._replace(time=world.time + 1)


def _act_as_operator(world) -> Iterator[tuple[str, World]]:
    """Send the order that has no answer yet, perhaps once more."""
    if world.sends >= _MAX_SENDS or world.is_ended:
        return
    order = _START if world.started_at < 0 else _END
    received = {call.number for call in world.log}
    if order == _END and not _is_received(world.calls, received):
        return
    yield (
        f'send {order}',
        world._replace(
            sends=world.sends + 1,
            calls=world.calls | {Call(world.sends, order)},
            is_ending=order == _END,
        ),
    )


def _is_received(calls, received) -> bool:
    """Return whether the leader has got each call, perhaps as another copy."""
    return all(call.number in received for call in calls)


def _answer(world, call) -> World:
    """Return the world after the operator got the answer to a call."""
    if call.order == _END:
        return world._replace(is_ended=True)
    if world.started_at < 0:
        return world._replace(started_at=world.time)
    return world


def _replace_leader(world) -> Iterator[tuple[str, World]]:
    """Lose the leader; the next one counts its waits from its election."""
    if not world.has_second_leader:
        yield (
            'elect',
            world._replace(
                has_second_leader=True,
                committed_at=world.time if world.log else -1,
            ),
        )
