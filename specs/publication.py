"""Specification of publications and of where a revision is in force.

The control log is taken as given: a sequence of committed publications. Two
operators publish on top of revision 0 and a third on top of revision 1; each
may send its publication twice. A VM applies entries, restarts, installs
snapshots and serves while it holds a lease. VMs depend on the log only and
not on each other, so one stands for all.

Time passes in ticks of half a lease. A lease ends at the latest before the
second tick after its renewal, so an entry is in force on every VM that serves
two ticks after its commit.

The rules are those of ``ibisjunction.control`` and ``ibisjunction.membership``.
A mistake replaces one rule, to show that the invariants notice its absence.
"""

import enum
from dataclasses import dataclass, replace
from types import MappingProxyType

from minicheck import Protocol

_VMS = 1
_TICKS_IN_LEASE = 2
_MAX_ENTRIES = 3
_MAX_TIME = 3
_MAX_RESTARTS = 1
_SENDS = 2

#: The revision that each publication is based on.
BASES = MappingProxyType({'a': 0, 'b': 0, 'c': 1})


class Mistake(enum.Enum):
    """Rules that a specification can leave out."""

    NONE = 'none'
    BASE_IGNORED = 'a publication is accepted whatever its base'
    ID_IGNORED = 'a resend is judged anew'
    OLDER_SNAPSHOT = 'a VM installs a snapshot older than its state'
    LEASE_WITHOUT_INDEX = 'a lease is taken before the log is applied'
    LEASE_NOT_COUNTED = 'a lease outlasts its time'


@dataclass(frozen=True, order=True)
class Vm:
    """One VM; ``renewed_at`` is -1 without a lease.

    ``served`` is the highest revision in force while it held a lease.
    """

    applied: int = 0
    renewed_at: int = -1
    served: int = 0
    restarts: int = 0


@dataclass(frozen=True)
class World:
    """The whole state; ``log`` holds ids and the time of their commit."""

    log: tuple[tuple[str, int], ...] = ()
    vms: tuple[Vm, ...] = (Vm(),) * _VMS
    time: int = 0
    bad: str = ''


def judge(ids, mistake=Mistake.NONE):
    """Return the revision of each committed publication, 0 if rejected."""
    revision = 0
    first = {}
    outcomes = []
    for name in ids:
        if name in first and mistake is not Mistake.ID_IGNORED:
            outcomes.append(first[name])
            continue
        is_based = BASES[name] == revision
        if is_based or mistake is Mistake.BASE_IGNORED:
            revision += 1
            outcomes.append(revision)
        else:
            outcomes.append(0)
        first.setdefault(name, outcomes[-1])
    return outcomes


def make_protocol(mistake=Mistake.NONE):
    """Return the protocol for minicheck."""
    steps = _Steps(mistake)
    return Protocol(
        name='publication',
        candidate=False,
        fields=('world',),
        initial=(World(),),
        transitions=steps.list_steps,
        invariants={
            'one publication per base wins': steps.has_one_winner,
            'a resend gets the first outcome': steps.keeps_outcomes,
            'a serving VM never goes back': _is_not('reverted'),
            'in force after one lease': steps.is_in_force,
        },
    )


def _is_not(name):
    return lambda state: state['world'].bad != name


class _Steps:
    def __init__(self, mistake) -> None:
        self._mistake = mistake

    def list_steps(self, state):
        """Return the label and the outcome of each possible step."""
        world = state[0]
        if world.bad:
            return []
        found = [*self._publish(world), *self._pass_time(world)]
        for index in range(_VMS):
            for label, vm in self._move(world, world.vms[index]):
                found.append((label, self._with_vm(world, index, vm)))
        return [(label, (after,)) for label, after in found]

    def has_one_winner(self, state) -> bool:
        """Tell whether each base has at most one accepted publication."""
        ids = [name for name, _ in state['world'].log]
        won = {
            name
            for name, revision in zip(ids, self._judge(ids), strict=True)
            if revision
        }
        bases = [BASES[name] for name in won]
        return len(bases) == len(set(bases))

    def keeps_outcomes(self, state) -> bool:
        """Tell whether every resend got the outcome of the first."""
        ids = [name for name, _ in state['world'].log]
        outcomes = {}
        for name, revision in zip(ids, self._judge(ids), strict=True):
            if outcomes.setdefault(name, revision) != revision:
                return False
        return True

    def is_in_force(self, state) -> bool:
        """Tell whether all that serve have what was committed long ago."""
        world = state['world']
        settled = sum(
            committed_at + _TICKS_IN_LEASE <= world.time
            for _, committed_at in world.log
        )
        return all(
            vm.applied >= settled for vm in world.vms if vm.renewed_at >= 0
        )

    def _judge(self, ids):
        return judge(ids, self._mistake)

    def _publish(self, world):
        if len(world.log) == _MAX_ENTRIES:
            return
        ids = [name for name, _ in world.log]
        for name in BASES:
            if ids.count(name) < _SENDS:
                log = (*world.log, (name, world.time))
                yield f'publish {name}', replace(world, log=log)

    def _pass_time(self, world):
        if world.time == _MAX_TIME:
            return
        is_overdue = any(
            0 <= vm.renewed_at <= world.time + 1 - _TICKS_IN_LEASE
            for vm in world.vms
        )
        if not is_overdue or self._mistake is Mistake.LEASE_NOT_COUNTED:
            yield 'tick', replace(world, time=world.time + 1)

    def _move(self, world, vm):
        committed = len(world.log)
        if vm.applied < committed:
            yield 'apply', replace(vm, applied=vm.applied + 1)
        for index in range(committed + 1):
            is_newer = index > vm.applied
            if is_newer or self._mistake is Mistake.OLDER_SNAPSHOT:
                yield 'install snapshot', replace(vm, applied=index)
        is_current = vm.applied >= committed
        if is_current or self._mistake is Mistake.LEASE_WITHOUT_INDEX:
            yield 'renew', replace(vm, renewed_at=world.time)
        if vm.renewed_at >= 0:
            yield 'lease ends', replace(vm, renewed_at=-1)
        if vm.restarts < _MAX_RESTARTS:
            yield (
                'restart',
                Vm(served=vm.served, restarts=vm.restarts + 1),
            )

    def _with_vm(self, world, index, vm):
        revision = self._revision_at(world, vm.applied)
        bad = world.bad
        if vm.renewed_at >= 0:
            if revision < vm.served:
                bad = 'reverted'
            vm = replace(vm, served=max(vm.served, revision))
        vms = list(world.vms)
        vms[index] = vm
        return replace(world, vms=tuple(sorted(vms)), bad=bad)

    def _revision_at(self, world, applied):
        ids = [name for name, _ in world.log[:applied]]
        return max(self._judge(ids), default=0)
