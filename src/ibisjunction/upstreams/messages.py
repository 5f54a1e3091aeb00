"""Messages between a request's task and a connection's task."""

from dataclasses import dataclass

from ibisjunction.mailbox import Mailbox
from ibisjunction.outcomes import Reason
from ibisjunction.verdict import Verdict

HeaderList = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class BodyChunk:
    """Part of a request's body."""

    chunk: bytes


@dataclass(frozen=True, slots=True)
class BodyEnd:
    """The request's body is complete."""


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller closed its connection."""


BodyPart = BodyChunk | BodyEnd | CallerGone


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an answer."""

    status: int
    headers: HeaderList


@dataclass(frozen=True, slots=True)
class AnswerChunk:
    """Part of an answer's body."""

    chunk: bytes


@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """The answer is complete."""


@dataclass(frozen=True, slots=True)
class ExchangeFailed:
    """The exchange ended without a whole answer.

    ``verdict`` is ``NOT_RUN`` only if no byte was written.
    """

    reason: Reason
    verdict: Verdict
    detail: str = ''


AnswerPart = AnswerHead | AnswerChunk | AnswerEnd | ExchangeFailed


@dataclass(frozen=True, slots=True)
class Exchange:
    """One request to send and the mailboxes of its body and answer.

    Nothing is written at or after ``start_before_ms``, the end of the VM lease.
    Both mailboxes are bounded, so a slow end slows the other one down.
    """

    method: str
    target: str
    headers: HeaderList
    start_before_ms: int
    body: Mailbox[BodyPart]
    answers: Mailbox[AnswerPart]
