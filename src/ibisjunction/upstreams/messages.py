"""Messages between a request's task and a connection's task."""

from dataclasses import dataclass
from typing import Protocol

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


class BodySource(Protocol):
    """Source from which a connection reads the body of a request."""

    async def get(self) -> BodyPart:
        """Return the next part, waiting for one."""


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
    """The exchange ended without a complete answer.

    ``verdict`` is ``NOT_RUN`` only if no byte was written.
    """

    reason: Reason
    verdict: Verdict
    detail: str = ''


@dataclass(frozen=True, slots=True)
class StopConnection:
    """Ends a connection's task."""


AnswerPart = AnswerHead | AnswerChunk | AnswerEnd | ExchangeFailed


@dataclass(frozen=True, slots=True)
class Exchange:
    """A request to send, the source of its body and the mailbox for its answer.

    The exchange is not started at or after ``start_before_ms``, the end of the
    VM lease. A caller's body and its answer pass through bounded mailboxes, so
    that a slow receiver throttles the sender. An answer with another id than
    ``request_id`` is rejected; ``None`` turns the check off, for a request
    without an id to a server that assigns ids of its own.
    """

    request_id: str | None
    method: str
    target: str
    headers: HeaderList
    start_before_ms: int
    body: BodySource
    answer_parts: Mailbox[AnswerPart]
