"""Decides what follows a send, and what the caller is told."""

from dataclasses import dataclass
from http import HTTPStatus
from typing import Final

from ibisjunction.entry.exchange import Answer, NoAnswer, NotConnected, Result
from ibisjunction.entry.health import Result as Health
from ibisjunction.entry.model import (
    Failed,
    HeaderNames,
    Outcome,
    Passed,
    Refused,
    Why,
)
from ibisjunction.verdict import Verdict

_RETRY_AFTER_MS: Final = 400
#: Headers of a message that concern only one connection.
HOP_HEADERS: Final = frozenset(
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
#: Statuses that promise that a request has not run.
_PROMISES: Final = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    ),
)


@dataclass(frozen=True, slots=True)
class Ran:
    """An upstream answered; ``is_success`` if it did what was asked."""

    answer: Answer
    is_success: bool


@dataclass(frozen=True, slots=True)
class Declined:
    """An upstream said that it did not run the request."""

    is_wrong_upstream: bool


@dataclass(frozen=True, slots=True)
class Unsent:
    """No byte reached the upstream."""


@dataclass(frozen=True, slots=True)
class Lost:
    """The request may have run; there is no usable answer."""


Judgement = Ran | Declined | Unsent | Lost


def judge(result: Result, names: HeaderNames) -> Judgement:
    """Return what a result says about the request."""
    match result:
        case NotConnected():
            return Unsent()
        case NoAnswer():
            return Lost()
        case Answer():
            return _judge_answer(result, names)


def _judge_answer(answer: Answer, names: HeaderNames) -> Judgement:
    status = answer.status
    headers = answer.headers
    if names.not_run in headers or status == HTTPStatus.MISDIRECTED_REQUEST:
        return Declined(status == HTTPStatus.MISDIRECTED_REQUEST)
    is_success = HTTPStatus.OK <= status < HTTPStatus.MULTIPLE_CHOICES
    is_foreign = names.receipt not in headers or 'Content-Encoding' in headers
    if is_success and is_foreign:
        return Lost()
    return Ran(answer, is_success)


@dataclass(frozen=True, slots=True)
class Progress:
    """What the decision depends on besides the last judgement.

    ``sends`` counts the upstreams that the request reached. ``verdict``
    combines all sends so far.
    """

    sends: int
    max_sends: int
    is_idempotent: bool
    has_time: bool
    verdict: Verdict


def verdict_of(judgement: Judgement) -> Verdict:
    """Return whether the request may have run by this send."""
    match judgement:
        case Ran():
            return Verdict.RAN
        case Lost():
            return Verdict.MAY_HAVE_RUN
        case _:
            return Verdict.NOT_RUN


def may_send_again(judgement: Judgement, progress: Progress) -> bool:
    """Return whether another send is allowed and may help."""
    if not progress.has_time or progress.sends >= progress.max_sends:
        return False
    match judgement:
        case Ran(is_success=True):
            return False
        case Ran(answer=answer):
            is_server_error = answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
            return progress.is_idempotent and is_server_error
        case Lost():
            return progress.is_idempotent
        case Declined() | Unsent():
            is_unrun = progress.verdict is Verdict.NOT_RUN
            return progress.is_idempotent or is_unrun


def conclude(judgement: Judgement, verdict: Verdict) -> Outcome:
    """Return the caller's answer after the last send.

    :param verdict: over all sends of the request.
    """
    match judgement:
        case Ran(answer=answer):
            return _pass_on(answer)
        case Declined() | Unsent() if verdict is Verdict.NOT_RUN:
            return Refused(Why.NOT_ACCEPTED, _RETRY_AFTER_MS)
        case _:
            return Failed(Why.BROKEN, verdict)


def _pass_on(answer: Answer) -> Outcome:
    """Return an upstream's answer.

    A status that promises that the request has not run is not passed on: only
    an answer that is marked as not run is such a promise.
    """
    if answer.status in _PROMISES:
        return Failed(Why.BROKEN, Verdict.RAN)
    headers = tuple(
        (name, text)
        for name, text in answer.headers.get_all()
        if name.lower() not in HOP_HEADERS and name.lower() != 'content-length'
    )
    return Passed(answer.status, headers, answer.body)


def health_of(judgement: Judgement) -> Health:
    """Return what a send told about its upstream."""
    match judgement:
        case Ran(is_success=True):
            return Health.ANSWERED
        case Ran():
            return Health.ERROR
        case Declined(is_wrong_upstream=True):
            return Health.WRONG
        case Declined():
            return Health.FULL
        case Unsent() | Lost():
            return Health.BROKEN
