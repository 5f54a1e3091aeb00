"""VM leases, on the VM and on the leader."""

import math
import zlib
from collections import deque
from dataclasses import dataclass
from typing import Final

from ibisjunction.clock import MS_PER_S
from ibisjunction.membership.messages import Heartbeat, LeaseRenewal

#: Renewals that wait for entries; older ones have expired before there are as
#: many.
_MAX_PENDING: Final = 64
#: Part of a lease in which a VM sends a heartbeat at least once, however many
#: VMs there are. One that gets no answer to two of them keeps its lease.
_MAX_HEARTBEAT_FRACTION: Final = 0.2


def digest_vms(vms: tuple[str, ...], capacities: tuple[int, ...]) -> int:
    """Return a number that tells lists of VMs with their capacities apart."""
    return zlib.crc32(f'{vms} {capacities}'.encode())


class VmLease:
    """The lease of this VM, timed by its own clock.

    It starts when the heartbeat was sent and is shortened by the clock-rate
    error, so that it never outlasts the lease in the leader's table.
    """

    def __init__(self, incarnation: int, clock_error: float) -> None:
        """Start without a lease."""
        self.until_ms = 0
        self._incarnation = incarnation
        self._clock_error = clock_error
        self._pending: deque[LeaseRenewal] = deque(maxlen=_MAX_PENDING)

    def renew(self, renewal: LeaseRenewal, applied_index: int) -> bool:
        """Apply a renewal and return whether it extended the lease.

        A renewal that requires log entries not yet applied is pending until
        :meth:`retry_pending` is called after they are applied. A later one does
        not replace it: a VM that always lags a little would never apply the
        latest in time.
        """
        if renewal.incarnation != self._incarnation:
            return False
        if applied_index < renewal.committed_index:
            self._pending.append(renewal)
            return False
        lease_ms = math.floor(renewal.lease_ms * (1 - self._clock_error))
        until_ms = renewal.sent_at + lease_ms
        is_extended = until_ms > self.until_ms
        self.until_ms = max(self.until_ms, until_ms)
        return is_extended

    def retry_pending(self, applied_index: int) -> bool:
        """Retry the pending renewals after log entries were applied.

        Return whether one extended the lease.
        """
        until_ms = self.until_ms
        pending = tuple(self._pending)
        self._pending.clear()
        for renewal in pending:
            self.renew(renewal, applied_index)
        return self.until_ms > until_ms

    def is_held(self, now: int) -> bool:
        """Return whether the VM may dispatch and send requests."""
        return now < self.until_ms


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """The last heartbeat of a VM, and the end of the lease it renewed.

    ``earlier_index`` is what the VM reported before, ``gap_ms`` earlier.
    """

    incarnation: int
    applied_index: int
    revision: int
    lease_end_ms: int
    is_serving: bool = True
    capacity: int = 1
    received_ms: int = 0
    earlier_index: int = 0
    gap_ms: int = 0


class LeaseTable:
    """The leases of all VMs, timed by the leader's clock."""

    def __init__(
        self,
        lease_ms: int,
        clock_error: float,
        now: int,
        max_heartbeats_per_s: int | None = None,
    ) -> None:
        """Start empty.

        A VM without a record may hold a lease from an earlier leader until the
        table is settled, so a new leader does not count it as lost before.

        :param max_heartbeats_per_s: heartbeats of all VMs in a second; each VM
            sends fewer if there are more VMs.
        """
        self._lease_ms = lease_ms
        self._max_heartbeats_per_s = max_heartbeats_per_s
        self._leader_lease_ms = math.ceil(lease_ms * (1 + clock_error))
        self._settled_at = now + self._leader_lease_ms
        self.records: dict[str, LeaseRecord] = {}
        # The result of find_applied_index, and the end of the first lease.
        self._applied: tuple[float, float] | None = None
        # The result of list_latest_first, as long as that of the former holds.
        self._latest_first: tuple[str, ...] | None = None

    def record_heartbeat(
        self,
        heartbeat: Heartbeat,
        now: int,
        term: int,
        committed_index: int,
    ) -> LeaseRenewal:
        """Record a heartbeat and return the renewal to send.

        A lease that has run out is not renewed while its VM is registered: the
        removal of the VM may be under way, and other VMs stop waiting for its
        tickets once that is committed. The VM registers again once it has
        applied its removal.
        """
        if heartbeat.is_registered and self._is_lost(heartbeat.vm, now):
            return LeaseRenewal(
                incarnation=heartbeat.incarnation,
                sent_at=heartbeat.sent_at,
                lease_ms=0,
                term=term,
                committed_index=committed_index,
            )
        self._applied = None
        earlier = self.records.get(heartbeat.vm)
        self.records[heartbeat.vm] = LeaseRecord(
            incarnation=heartbeat.incarnation,
            applied_index=heartbeat.applied_index,
            revision=heartbeat.revision,
            lease_end_ms=now + self._leader_lease_ms,
            is_serving=heartbeat.is_serving,
            capacity=heartbeat.capacity,
            received_ms=now,
            earlier_index=0 if earlier is None else earlier.applied_index,
            gap_ms=0 if earlier is None else now - earlier.received_ms,
        )
        vms, capacities = self._find_changed_vms(heartbeat, now)
        return LeaseRenewal(
            incarnation=heartbeat.incarnation,
            sent_at=heartbeat.sent_at,
            lease_ms=self._lease_ms,
            term=term,
            committed_index=committed_index,
            vms=vms,
            heartbeat_ms=self._choose_interval_ms(),
            capacities=capacities,
        )

    def _find_changed_vms(
        self, heartbeat: Heartbeat, now: int
    ) -> tuple[tuple[str, ...] | None, tuple[int, ...]]:
        """Return the serving VMs with their capacities.

        The list is ``None`` if the sender has it, or doesn't use it.
        """
        if heartbeat.vms_digest is None:
            return None, ()
        vms = self.serving_vms(now)
        capacities = tuple(self.records[vm].capacity for vm in vms)
        if digest_vms(vms, capacities) == heartbeat.vms_digest:
            return None, ()
        return vms, capacities

    def _choose_interval_ms(self) -> int:
        """Return the interval of heartbeats; 0 if the VMs choose it."""
        if self._max_heartbeats_per_s is None:
            return 0
        interval_ms = MS_PER_S * len(self.records) // self._max_heartbeats_per_s
        return min(interval_ms, int(self._lease_ms * _MAX_HEARTBEAT_FRACTION))

    def remove(self, vm: str, incarnation: int) -> None:
        """Remove the lease of a process that sends no more requests."""
        record = self.records.get(vm)
        if record is not None and record.incarnation == incarnation:
            self._applied = None
            self.records.pop(vm)

    def serving_vms(self, now: int) -> tuple[str, ...]:
        """Return the live VMs that are not shutting down, sorted by name."""
        live = self.live_vms(now)
        return tuple(sorted(vm for vm in live if self.records[vm].is_serving))

    def find_applied_index(self, now: int) -> float:
        """Return the index that all live VMs have applied.

        It is infinite if there are none. It is the same until a heartbeat
        arrives or a lease ends, so that many calls can be compared with it.
        """
        applied = self._applied
        if applied is None or now >= applied[1]:
            live = [self.records[vm] for vm in self.live_vms(now)]
            applied = (
                min((one.applied_index for one in live), default=math.inf),
                min((one.lease_end_ms for one in live), default=math.inf),
            )
            self._applied = applied
            self._latest_first = None
        return applied[0]

    def list_latest_first(self, now: int) -> tuple[str, ...]:
        """Return the live VMs, the one that reported last first.

        They are sorted once for all calls that a report answers.
        """
        # Discards the list if a heartbeat has arrived or a lease has ended.
        self.find_applied_index(now)
        if self._latest_first is None:
            self._latest_first = tuple(
                sorted(
                    self.live_vms(now),
                    key=lambda vm: (self.records[vm].received_ms, vm),
                    reverse=True,
                )
            )
        return self._latest_first

    def is_settled(self, now: int) -> bool:
        """Return whether every lease of an earlier leader has run out."""
        return now >= self._settled_at

    def revisions(self, now: int) -> dict[str, int]:
        """Return the revision that each live VM reported."""
        return {vm: self.records[vm].revision for vm in self.live_vms(now)}

    def _is_lost(self, vm: str, now: int) -> bool:
        record = self.records.get(vm)
        if record is None:
            return self.is_settled(now)
        return now >= record.lease_end_ms

    def live_vms(self, now: int) -> frozenset[str]:
        """Return the VMs whose lease may still run."""
        return frozenset(
            vm
            for vm, record in self.records.items()
            if now < record.lease_end_ms
        )
