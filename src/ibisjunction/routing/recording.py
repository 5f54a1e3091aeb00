"""Records a non-idempotent request in the ledger while it runs."""

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
    """The record of a request, from its opening until it is closed.

    ``refusal`` is set if the request must not run. ``verdict`` is recorded if
    the block ends without an outcome.
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
    """Open the record of a request for the block and close it at the end."""
    recording = Recording()
    reply: Mailbox[Any] = Mailbox()
    digest = make_digest(request.head)
    ledger.post(OpenRecord(request.request_id, record_key, digest, reply))
    try:
        recording.refusal = await reply.get()
        yield recording
    finally:
        ledger.post(_make_close_record(request.request_id, recording))


def _make_close_record(request_id: str, recording: Recording) -> CloseRecord:
    match recording.outcome:
        case Answered(status=status, verdict=verdict):
            return CloseRecord(request_id, verdict, status)
        case Refused(verdict=verdict) | Failed(verdict=verdict):
            return CloseRecord(request_id, verdict)
        case None:
            return CloseRecord(request_id, recording.verdict)
