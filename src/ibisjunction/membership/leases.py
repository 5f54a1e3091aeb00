"""Rules of VM leases on both sides."""

import math
from dataclasses import dataclass

from ibisjunction.membership.messages import Heartbeat, LeaseRenewal


class VmLease:
    """The lease as the VM counts it, on its own clock.

    It is counted from the time the heartbeat was sent and shortened by the
    clock-rate error, so it never outlasts what the leader counts.
    """

    def __init__(self, incarnation: int, clock_error: float) -> None:
        """Start without a lease."""
        self.until_ms = 0
        self._incarnation = incarnation
        self._clock_error = clock_error
        self._pending: LeaseRenewal | None = None

    def renew(self, renewal: LeaseRenewal, applied_index: int) -> bool:
        """Take a renewal and return whether the lease grew.

        A renewal that asks for entries not yet applied is kept until
        :meth:`advance` reports them.
        """
        if renewal.incarnation != self._incarnation:
            return False
        if applied_index < renewal.committed_index:
            self._pending = renewal
            return False
        lease_ms = math.floor(renewal.lease_ms * (1 - self._clock_error))
        until_ms = renewal.sent_at + lease_ms
        grew = until_ms > self.until_ms
        self.until_ms = max(self.until_ms, until_ms)
        return grew

    def advance(self, applied_index: int) -> bool:
        """Retry a kept renewal after entries were applied."""
        pending = self._pending
        if pending is None or applied_index < pending.committed_index:
            return False
        self._pending = None
        return self.renew(pending, applied_index)

    def is_held(self, now: int) -> bool:
        """Return whether the VM may dispatch and send."""
        return now < self.until_ms


@dataclass(frozen=True, slots=True)
class VmReport:
    """What the last heartbeat of a VM said."""

    incarnation: int
    applied_index: int
    revision: int
    lease_end_ms: int
    is_serving: bool = True


class LeaseTable:
    """The leases as the leader counts them, on its own clock."""

    def __init__(self, lease_ms: int, clock_error: float, now: int) -> None:
        """Start empty; a new leader trusts no absence until it has settled."""
        self._lease_ms = lease_ms
        self._counted_ms = math.ceil(lease_ms * (1 + clock_error))
        self._settled_at = now + self._counted_ms
        self.reports: dict[str, VmReport] = {}

    def accept(
        self,
        heartbeat: Heartbeat,
        now: int,
        term: int,
        committed_index: int,
    ) -> LeaseRenewal:
        """Record a heartbeat and return the renewal to send.

        The lease of a registered VM that has run out is not renewed: its
        removal may be under way, and others stop waiting for its tickets once
        that is committed. The VM registers again when it sees its removal.
        """
        if heartbeat.is_registered and self._is_lost(heartbeat.vm, now):
            return LeaseRenewal(
                incarnation=heartbeat.incarnation,
                sent_at=heartbeat.sent_at,
                lease_ms=0,
                term=term,
                committed_index=committed_index,
            )
        self.reports[heartbeat.vm] = VmReport(
            incarnation=heartbeat.incarnation,
            applied_index=heartbeat.applied_index,
            revision=heartbeat.revision,
            lease_end_ms=now + self._counted_ms,
            is_serving=heartbeat.is_serving,
        )
        return LeaseRenewal(
            incarnation=heartbeat.incarnation,
            sent_at=heartbeat.sent_at,
            lease_ms=self._lease_ms,
            term=term,
            committed_index=committed_index,
            vms=self.serving_vms(now),
        )

    def forget(self, vm: str, incarnation: int) -> None:
        """Drop the lease of a process that said that it sends no more."""
        report = self.reports.get(vm)
        if report is not None and report.incarnation == incarnation:
            self.reports.pop(vm)

    def serving_vms(self, now: int) -> tuple[str, ...]:
        """Return the live VMs that are not about to leave, in order."""
        live = self.live_vms(now)
        return tuple(sorted(vm for vm in live if self.reports[vm].is_serving))

    def is_settled(self, now: int) -> bool:
        """Return whether every lease of an earlier leader has run out."""
        return now >= self._settled_at

    def revisions(self, now: int) -> dict[str, int]:
        """Return the revision that each live VM reported."""
        return {vm: self.reports[vm].revision for vm in self.live_vms(now)}

    def _is_lost(self, vm: str, now: int) -> bool:
        report = self.reports.get(vm)
        if report is None:
            return self.is_settled(now)
        return now >= report.lease_end_ms

    def live_vms(self, now: int) -> frozenset[str]:
        """Return the VMs whose lease may still run."""
        return frozenset(
            vm
            for vm, report in self.reports.items()
            if now < report.lease_end_ms
        )
