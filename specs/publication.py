"""Specification of publications and of when a revision is in force.

The control log is modelled as a sequence of committed publications. Two
operators publish on top of revision 0 and a third on top of revision 1; each
may send its publication twice. A VM applies entries, restarts, installs
snapshots and serves while it holds a lease. VMs depend on the log only and
not on each other, so the model has one VM.

Time passes in ticks of half a lease. A lease ends before the second tick after
its renewal, so two ticks after the commit of an entry every VM that serves has
applied it.

The rules are those of ``ibisjunction.control`` and ``ibisjunction.membership``.
A mistake replaces one rule, to show that the invariants detect its absence.
"""

import enum
from dataclasses import dataclass, replace
from types import MappingProxyType

from minicheck import Protocol

_VMS = 1
_LEASE_TICKS = 2
_MAX_ENTRIES = 3
_MAX_TICKS = 3
_MAX_RESTARTS = 1
_MAX_SENDS = 2

#: The revision that each publication is based on.
BASES = MappingProxyType({'a': 0, 'b': 0, 'c': 1})


class Mistake(enum.Enum):
    """Faults that can replace a rule of the specification."""

    NONE = 'none'
    BASE_IGNORED = 'a publication is accepted whatever its base'
    ID_IGNORED = 'a resent publication is decided again'
    OLDER_SNAPSHOT_INSTALLED = 'a VM installs a snapshot older than its state'
    INDEX_IGNORED = 'a lease is renewed before the log is applied'
    LEASE_END_IGNORED = 'a VM serves after the end of its lease'


@dataclass(frozen=True, order=True)
class Vm:
    """The state of one VM; ``renewed_at`` is -1 without a lease.

    ``served_revision`` is the highest revision that it had applied while it
    held a lease.
    """

    applied_index: int = 0
    renewed_at: int = -1
    served_revision: int = 0
    restarts: int = 0


@dataclass(frozen=True)
class World:
    """The whole state; ``log`` holds publication ids and commit times."""

    log: tuple[tuple[str, int], ...] = ()
    vms: tuple[Vm, ...] = (Vm(),) * _VMS
    time: int = 0
    violation: str = ''


def assign_revisions(ids, mistake=Mistake.NONE):
    """Return the revision of each committed publication, 0 if rejected."""
    revision = 0
    first_outcomes = {}
    outcomes = []
    for publication_id in ids:
        if (
            publication_id in first_outcomes
            and mistake is not Mistake.ID_IGNORED
        ):
            outcomes.append(first_outcomes[publication_id])
            continue
        is_base_current = BASES[publication_id] == revision
        if is_base_current or mistake is Mistake.BASE_IGNORED:
            revision += 1
            outcomes.append(revision)
        else:
            outcomes.append(0)
        first_outcomes.setdefault(publication_id, outcomes[-1])
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
            'one publication per base is accepted': steps.accepts_one_per_base,
            'a resend gets the first outcome': steps.repeats_outcomes,
            'a serving VM never reverts': _has_no_violation('reverted'),
            'in force after one lease': steps.is_in_force,
        },
    )


def _has_no_violation(kind):
    return lambda state: state['world'].violation != kind


class _Steps:
    def __init__(self, mistake) -> None:
        self._mistake = mistake

    def list_steps(self, state):
        """Return the label and the next state of each possible step."""
        world = state[0]
        if world.violation:
            return []
        steps = [*self._publish(world), *self._pass_time(world)]
        for index in range(_VMS):
            for label, vm in self._list_vm_steps(world, world.vms[index]):
                steps.append((label, self._with_vm(world, index, vm)))
        return [(label, (after,)) for label, after in steps]

    def accepts_one_per_base(self, state) -> bool:
        """Return whether each base has at most one accepted publication."""
        ids = [publication_id for publication_id, _ in state['world'].log]
        accepted = {
            publication_id
            for publication_id, revision in zip(
                ids, self._assign_revisions(ids), strict=True
            )
            if revision
        }
        bases = [BASES[publication_id] for publication_id in accepted]
        return len(bases) == len(set(bases))

    def repeats_outcomes(self, state) -> bool:
        """Return whether each resend got the outcome of the first send."""
        ids = [publication_id for publication_id, _ in state['world'].log]
        outcomes = {}
        for publication_id, revision in zip(
            ids, self._assign_revisions(ids), strict=True
        ):
            if outcomes.setdefault(publication_id, revision) != revision:
                return False
        return True

    def is_in_force(self, state) -> bool:
        """Return whether each VM that serves has applied the old entries.

        An entry is old if it was committed at least one lease ago.
        """
        world = state['world']
        min_applied_index = sum(
            committed_at + _LEASE_TICKS <= world.time
            for _, committed_at in world.log
        )
        return all(
            vm.applied_index >= min_applied_index
            for vm in world.vms
            if vm.renewed_at >= 0
        )

    def _assign_revisions(self, ids):
        return assign_revisions(ids, self._mistake)

    def _publish(self, world):
        if len(world.log) == _MAX_ENTRIES:
            return
        ids = [publication_id for publication_id, _ in world.log]
        for publication_id in BASES:
            if ids.count(publication_id) < _MAX_SENDS:
                log = (*world.log, (publication_id, world.time))
                yield f'publish {publication_id}', replace(world, log=log)

    def _pass_time(self, world):
        if world.time == _MAX_TICKS:
            return
        has_overdue_lease = any(
            0 <= vm.renewed_at <= world.time + 1 - _LEASE_TICKS
            for vm in world.vms
        )
        if not has_overdue_lease or self._mistake is Mistake.LEASE_END_IGNORED:
            yield 'tick', replace(world, time=world.time + 1)

    def _list_vm_steps(self, world, vm):
        committed = len(world.log)
        if vm.applied_index < committed:
            yield 'apply', replace(vm, applied_index=vm.applied_index + 1)
        for index in range(committed + 1):
            is_newer = index > vm.applied_index
            if is_newer or self._mistake is Mistake.OLDER_SNAPSHOT_INSTALLED:
                yield 'install snapshot', replace(vm, applied_index=index)
        is_current = vm.applied_index >= committed
        if is_current or self._mistake is Mistake.INDEX_IGNORED:
            yield 'renew', replace(vm, renewed_at=world.time)
        if vm.renewed_at >= 0:
            yield 'lease ends', replace(vm, renewed_at=-1)
        if vm.restarts < _MAX_RESTARTS:
            yield (
                'restart',
                Vm(
                    served_revision=vm.served_revision, restarts=vm.restarts + 1
                ),
            )

    def _with_vm(self, world, index, vm):
        revision = self._revision_at(world, vm.applied_index)
        violation = world.violation
        if vm.renewed_at >= 0:
            if revision < vm.served_revision:
                violation = 'reverted'
            vm = replace(vm, served_revision=max(vm.served_revision, revision))
        vms = list(world.vms)
        vms[index] = vm
        return replace(world, vms=tuple(sorted(vms)), violation=violation)

    def _revision_at(self, world, applied_index):
        ids = [
            publication_id for publication_id, _ in world.log[:applied_index]
        ]
        return max(self._assign_revisions(ids), default=0)
