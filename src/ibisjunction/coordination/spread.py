"""Decides whether entry VMs may still act on the state before a change."""

from dataclasses import dataclass

from ibisjunction.coordination.timing import FleetTiming
from ibisjunction.membership.leases import LeaseTable


@dataclass(frozen=True, slots=True)
class CommittedChange:
    """The log index of a change and the leader's time of its commit."""

    index: int
    committed_ms: int


def is_confirmable(
    change: CommittedChange,
    leases: LeaseTable,
    elected_ms: int,
    timing: FleetTiming,
    now: int,
    force_ms: int,
) -> bool:
    """Return whether a change may be confirmed.

    It may be once each entry VM has applied the change or has a lease that ends
    within ``force_ms``: a VM that has not applied a committed change gets no
    renewal. Leases that an earlier leader renewed end ``lease_ms`` after the
    election.

    :param force_ms: the time from the confirmation to when the change has to
        be in force on all entry VMs.
    """
    max_wait_ms = timing.lease_ms * (1 + timing.clock_error) - force_ms
    if now >= change.committed_ms + max_wait_ms:
        return True
    if now < elected_ms + max_wait_ms:
        return False
    return leases.find_applied_index(now) >= change.index


def list_behind(
    change: CommittedChange, leases: LeaseTable, now: int
) -> list[str]:
    """Return the entry VMs with a lease that have not applied a change."""
    if leases.find_applied_index(now) >= change.index:
        return []
    return [
        vm
        for vm in sorted(leases.live_vms(now))
        if leases.records[vm].applied_index < change.index
    ]


@dataclass(frozen=True, slots=True)
class SlowVm:
    """The entry VM that a change waits for, or waited for last.

    ``gap_ms`` is the time between its last two reports, or since its last one
    if it has not applied the change. ``missing`` is the number of entries that
    it had not applied by the earlier one, or has not applied now.
    """

    vm: str
    gap_ms: int
    missing: int


def find_slowest(
    change: CommittedChange, leases: LeaseTable, now: int
) -> SlowVm | None:
    """Return the VM that has been silent longest, or that reported last."""
    behind = list_behind(change, leases, now)
    if behind:
        vm = min(behind, key=lambda one: leases.records[one].received_ms)
        record = leases.records[vm]
        missing = change.index - record.applied_index
        return SlowVm(vm, now - record.received_ms, missing)
    late = (
        vm
        for vm in leases.list_latest_first(now)
        if leases.records[vm].earlier_index < change.index
    )
    vm = next(late, '')
    if not vm:
        return None
    record = leases.records[vm]
    return SlowVm(vm, record.gap_ms, change.index - record.earlier_index)
