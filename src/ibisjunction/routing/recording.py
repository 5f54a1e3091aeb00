"""Keeps a non-idempotent request recorded while it runs."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

from ibisjunction.ledger.messages import CloseRecord, OpenRecord
from ibisjunction.mailbox import Mailbox
from ibisjunction.outcomes import Answered, Failed, Outcome, Refused
from ibisjunction.routing.identity import make_digest
from ibisjunction.routing.model import CallerRequest
from ibisjunction.verdict import Verdict


@dataclass(slots=True)
class Recording:
    """The record of a request.

    ``refusal`` is set if the request must not run. ``verdict`` is what is to
    be recorded if the block ends without an outcome.
    """

    refusal: Refused | Failed | None = None
    outcome: Outcome | None = None
    verdict: Verdict = Verdict.NOT_RUN


@asynccontextmanager
async def record_request(
    ledger: Mailbox[Any],
    request: CallerRequest,
    record_key: str,
) -> AsyncIterator[Recording]:
    """Record a request for the duration of the block, and its end after it."""
    recording = Recording()
    reply: Mailbox[Any] = Mailbox()
    digest = make_digest(request.head)
    ledger.post(OpenRecord(request.request_id, record_key, digest, reply))
    try:
        recording.refusal = await reply.get()
        yield recording
    finally:
        ledger.post(_describe_end(request.request_id, recording))


def _describe_end(request_id: str, recording: Recording) -> CloseRecord:
    match recording.outcome:
        case Answered(status=status, verdict=verdict):
            return CloseRecord(request_id, verdict, status)
        case Refused(verdict=verdict) | Failed(verdict=verdict):
            return CloseRecord(request_id, verdict)
        case None:
            return CloseRecord(request_id, recording.verdict)
