"""Messages of the ledger, between daemons and inside one."""

from dataclasses import dataclass
from typing import Any

from ibisjunction.mailbox import Mailbox
from ibisjunction.verdict import Verdict


@dataclass(frozen=True, slots=True)
class Holder:
    """One life of a VM: its memory ends with its incarnation."""

    vm: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class ReserveRecord:
    """Asks a holder to record a request before it is dispatched.

    ``digest`` tells different requests under one key apart. ``holders`` are
    those that the sender's view yields; a holder with another view declines.
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
    """The holder cannot tell whether the key was used before."""

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
    """Asks for the records that the sender has to hold, from ``bucket`` on.

    It is answered only by a VM whose copy of the control state has reached
    ``index``: from then on that VM takes no reservation for earlier holders.
    """

    incarnation: int
    index: int
    bucket: int


@dataclass(frozen=True, slots=True)
class RecordCopy:
    """A record on its way to another holder."""

    key: str
    request_id: str
    digest: str
    verdict: Verdict | None
    status: int
    age_ms: int


@dataclass(frozen=True, slots=True)
class RecordsPulled:
    """Answers :class:`PullRecords` with one bucket.

    ``incarnation`` and ``index`` are those of the question, ``holder`` is who
    answers. ``next_bucket`` is ``None`` at the end. ``new_vms`` joined while
    the holder watched, under a name it had not seen before: they cannot have
    lost a record.
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
    """The request has finished after these losses: it did not cause them."""

    fingerprint: str
    ticket_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class NoteFinished:
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
    """Inside a daemon: the request that was recorded has ended."""

    request_id: str
    verdict: Verdict
    status: int = 0


@dataclass(frozen=True, slots=True)
class CrashSuspects:
    """Inside a daemon: requests in whose run an upstream was lost.

    Those in ``blocked`` reached the limit and are not sent again.
    """

    suspected: frozenset[str]
    blocked: frozenset[str]
