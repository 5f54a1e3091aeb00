"""Messages about VM leases."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sent by each daemon to the leader, or to voters while it is unknown.

    ``sent_at`` is a time of the sender's clock, returned in the answer.
    ``is_registered`` is whether the applied control state lists this process.
    ``is_serving`` is false once the VM is shutting down. ``capacity`` compares
    the processors and links of VMs. ``vms_digest`` is that
    of the list of VMs that the sender has; a sender that does not use the list
    sends none.
    """

    vm: str
    incarnation: int
    sent_at: int
    applied_index: int
    revision: int
    is_registered: bool = False
    is_serving: bool = True
    vms_digest: int | None = None
    capacity: int = 1


@dataclass(frozen=True, slots=True)
class LeaseRenewal:
    """The leader's answer to a heartbeat, which renews the VM's lease.

    The lease lasts ``lease_ms`` from ``sent_at`` on the VM's own clock; 0 does
    not extend it. The renewal takes effect once the VM has applied the log up
    to ``committed_index``. ``vms`` are the live VMs that are not shutting down;
    ``None`` if the VM has this list. ``capacities`` are theirs. The next
    heartbeat is due after ``heartbeat_ms``; 0 leaves the interval to the VM.
    """

    incarnation: int
    sent_at: int
    lease_ms: int
    term: int
    committed_index: int
    vms: tuple[str, ...] | None = None
    heartbeat_ms: int = 0
    capacities: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class FetchReports:
    """Requests the revisions that live VMs reported to the leader."""

    request_id: int


@dataclass(frozen=True, slots=True)
class VmReports:
    """The revision that each live VM has in force."""

    request_id: int
    revisions: dict[str, int]


@dataclass(frozen=True, slots=True)
class LeaseExtended:
    """Published inside a daemon: its VM lease lasts until ``until_ms``."""

    until_ms: int
