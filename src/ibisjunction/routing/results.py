"""Classifies the outcomes of attempts for the dispatcher."""

from http import HTTPStatus
from types import MappingProxyType
from typing import Final

from ibisjunction.dispatch.messages import ResultKind
from ibisjunction.outcomes import Answered, Failed, Outcome, Reason, Refused

_KIND_OF_REASON: Final = MappingProxyType(
    {
        Reason.UPSTREAM_SHED: ResultKind.SHED,
        Reason.CONNECT_FAILED: ResultKind.UNREACHED,
        Reason.CONNECTION_LOST: ResultKind.FAILED,
        Reason.BAD_ANSWER: ResultKind.FAILED,
        Reason.DEADLINE_PASSED: ResultKind.TIMED_OUT,
    },
)


def classify_outcome(outcome: Outcome) -> ResultKind:
    """Return the kind of result of an attempt that had a ticket.

    An answer with a server error counts as a failure. A lost lease, a fence or
    a caller that disconnected does not count against the upstream.
    """
    match outcome:
        case Answered(status=status):
            if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
                return ResultKind.FAILED
            return ResultKind.SUCCEEDED
        case Refused(reason=reason) | Failed(reason=reason):
            return _KIND_OF_REASON.get(reason, ResultKind.CANCELLED)
