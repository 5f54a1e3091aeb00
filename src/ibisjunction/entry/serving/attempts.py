"""Classifies attempts, and decides on retries and final outcomes."""

from dataclasses import dataclass
from http import HTTPStatus
from typing import Final

from ibisjunction.entry.dispatching.health import HealthResult
from ibisjunction.entry.model import (
    Answered,
    Failed,
    HeaderNames,
    Outcome,
    Reason,
    Refused,
)
from ibisjunction.entry.upstream_calls.exchange import (
    ExchangeResult,
    NoAnswer,
    NotSent,
    UpstreamAnswer,
)
from ibisjunction.verdict import Verdict

#: Retry time given to callers whose request no upstream accepted.
_RETRY_AFTER_MS: Final = 400
#: Hop-by-hop headers, which concern one connection and are not forwarded.
HOP_BY_HOP_HEADERS: Final = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)
#: Statuses from which a caller concludes that its request has not run.
_NOT_RUN_STATUSES: Final = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    ),
)


@dataclass(frozen=True, slots=True)
class Ran:
    """An upstream ran the request; ``is_success`` is set for a 2xx status."""

    answer: UpstreamAnswer
    is_success: bool


@dataclass(frozen=True, slots=True)
class Declined:
    """An upstream reported that it did not run the request.

    ``is_wrong_upstream`` is set if the request was addressed to another
    upstream or process.
    """

    is_wrong_upstream: bool


@dataclass(frozen=True, slots=True)
class Unsent:
    """No byte of the request was sent to the upstream.

    ``is_held_back`` is set if this VM decided so.
    """

    is_held_back: bool = False


@dataclass(frozen=True, slots=True)
class Lost:
    """The request may have run; there is no usable answer."""


AttemptResult = Ran | Declined | Unsent | Lost


def classify(result: ExchangeResult, names: HeaderNames) -> AttemptResult:
    """Classify an exchange by whether the request ran."""
    match result:
        case NotSent(is_held_back=is_held_back):
            return Unsent(is_held_back)
        case NoAnswer():
            return Lost()
        case UpstreamAnswer():
            return _classify_answer(result, names)


def _classify_answer(
    answer: UpstreamAnswer,
    names: HeaderNames,
) -> AttemptResult:
    status = answer.status
    headers = answer.headers
    if names.not_run in headers or status == HTTPStatus.MISDIRECTED_REQUEST:
        return Declined(status == HTTPStatus.MISDIRECTED_REQUEST)
    is_success = HTTPStatus.OK <= status < HTTPStatus.MULTIPLE_CHOICES
    is_unverified = (
        names.receipt not in headers or 'Content-Encoding' in headers
    )
    if is_success and is_unverified:
        return Lost()
    return Ran(answer, is_success)


@dataclass(frozen=True, slots=True)
class Progress:
    """What a retry depends on besides the result of the last attempt.

    ``attempts`` counts the attempts that sent the request. ``verdict``
    combines all attempts so far.
    """

    attempts: int
    max_attempts: int
    is_idempotent: bool
    has_time: bool
    verdict: Verdict


def verdict_of(result: AttemptResult) -> Verdict:
    """Return whether the request may have run in this attempt."""
    match result:
        case Ran():
            return Verdict.RAN
        case Lost():
            return Verdict.MAY_HAVE_RUN
        case _:
            return Verdict.NOT_RUN


def may_retry(result: AttemptResult, progress: Progress) -> bool:
    """Return whether another attempt is allowed and may succeed."""
    if not progress.has_time or progress.attempts >= progress.max_attempts:
        return False
    match result:
        case Ran(is_success=True):
            return False
        case Ran(answer=answer):
            is_server_error = answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
            return progress.is_idempotent and is_server_error
        case Lost():
            return progress.is_idempotent
        case Declined() | Unsent():
            has_not_run = progress.verdict is Verdict.NOT_RUN
            return progress.is_idempotent or has_not_run


def make_outcome(result: AttemptResult, verdict: Verdict) -> Outcome:
    """Return the final outcome after the last attempt.

    :param verdict: the combined verdict of all attempts of the request.
    """
    match result:
        case Ran(answer=answer):
            return _make_answer_outcome(answer)
        case Declined() | Unsent() if verdict is Verdict.NOT_RUN:
            return Refused(Reason.NOT_ACCEPTED, _RETRY_AFTER_MS)
        case _:
            return Failed(Reason.BROKEN, verdict)


def _make_answer_outcome(answer: UpstreamAnswer) -> Outcome:
    """Return the outcome for a request that an upstream ran and answered.

    Its answer is forwarded, unless the caller would conclude from its status
    that the request has not run. The answer isn't marked as not run, so that
    conclusion would be wrong.
    """
    if answer.status in _NOT_RUN_STATUSES:
        return Failed(Reason.BROKEN, Verdict.RAN)
    headers = tuple(
        (name, text)
        for name, text in answer.headers.get_all()
        if name.lower() not in HOP_BY_HOP_HEADERS
        and name.lower() != 'content-length'
    )
    return Answered(answer.status, headers, answer.body)


def health_result_of(result: AttemptResult) -> HealthResult:
    """Return how an attempt counts for the health of its upstream."""
    match result:
        case Ran(is_success=True):
            return HealthResult.ANSWERED
        case Ran():
            return HealthResult.ERROR
        case Declined(is_wrong_upstream=True):
            return HealthResult.WRONG
        case Declined():
            return HealthResult.FULL
        case Unsent(is_held_back=True):
            return HealthResult.UNUSED
        case Unsent() | Lost():
            return HealthResult.BROKEN
