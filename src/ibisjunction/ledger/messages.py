"""Messages of the ledger, between daemons and inside one."""

from dataclasses import dataclass
from typing import Any

from ibisjunction.mailbox import Mailbox
from ibisjunction.verdict import Verdict


@dataclass(frozen=True, slots=True)
class Holder:
    """One incarnation of a VM; its records are in memory and end with it."""

    vm: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class ReserveRecord:
    """Reserves the record of a request at a holder, before its dispatch.

    ``digest`` distinguishes different requests under one key. ``holders`` are
    the holders of the key in the sender's view; a holder whose view yields
    others answers with :class:`RecordUnavailable`.
    """

    request_id: str
    key: str
    digest: str
    holders: tuple[Holder, ...]


@dataclass(frozen=True, slots=True)
class RecordReserved:
    """The holder keeps the record of this request."""

    request_id: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class RecordHeld:
    """The holder keeps the record of an earlier request with the key.

    ``verdict`` is ``None`` while the earlier request is in progress;
    ``status`` is that of its answer, or 0.
    """

    request_id: str
    digest: str
    verdict: Verdict | None
    status: int


@dataclass(frozen=True, slots=True)
class RecordUnavailable:
    """The holder cannot determine whether the key was used before."""

    request_id: str
    detail: str


@dataclass(frozen=True, slots=True)
class ConcludeRecord:
    """States how a request ended; ``NOT_RUN`` removes its record."""

    request_id: str
    key: str
    verdict: Verdict
    status: int


@dataclass(frozen=True, slots=True)
class PullRecords:
    """Requests the records that the sender must hold, from ``bucket`` on.

    It is answered only by a VM whose copy of the control state has reached
    ``index``: from then on that VM accepts no reservation for the holders of
    an earlier view.
    """

    incarnation: int
    index: int
    bucket: int


@dataclass(frozen=True, slots=True)
class RecordCopy:
    """A copy of a record that is sent to another holder.

    ``age_ms`` is a duration because clocks of two VMs cannot be compared.
    """

    key: str
    request_id: str
    digest: str
    verdict: Verdict | None
    status: int
    age_ms: int


@dataclass(frozen=True, slots=True)
class RecordsPulled:
    """Answers :class:`PullRecords` with one bucket.

    ``incarnation`` and ``index`` are those of the request, and ``holder`` is
    the answering VM. ``next_bucket`` is ``None`` after the last bucket.
    ``new_vms`` joined while the answering VM was running, under names that it
    had not seen before, so they cannot have lost a record.
    """

    incarnation: int
    index: int
    holder: Holder
    bucket: int
    next_bucket: int | None
    is_complete: bool
    new_vms: list[Holder]
    records: list[RecordCopy]


@dataclass(frozen=True, slots=True)
class ReportCrash:
    """An upstream was lost while it ran the request of this fingerprint."""

    fingerprint: str
    ticket_id: str


@dataclass(frozen=True, slots=True)
class ClearCrashes:
    """Clears losses of upstreams of which a request was suspected.

    The request has finished since, so it did not cause them.
    """

    fingerprint: str
    ticket_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SuspectFinished:
    """Inside a daemon: a suspected request has finished."""

    fingerprint: str


@dataclass(frozen=True, slots=True)
class OpenRecord:
    """Inside a daemon: records a request before it is dispatched.

    The reply is ``None`` if the request may run, or else its outcome.
    """

    request_id: str
    key: str
    digest: str
    reply: Mailbox[Any]


@dataclass(frozen=True, slots=True)
class CloseRecord:
    """Inside a daemon: a recorded request has ended."""

    request_id: str
    verdict: Verdict
    status: int = 0


@dataclass(frozen=True, slots=True)
class CrashSuspects:
    """Inside a daemon: requests that were running when upstreams were lost.

    Both sets hold fingerprints. Requests in ``blocked`` have reached the limit
    of losses and are not sent again.
    """

    suspected: frozenset[str]
    blocked: frozenset[str]
