"""Turns outcomes of requests into answers to callers."""

from dataclasses import dataclass
from http import HTTPStatus
from types import MappingProxyType
from typing import Final

from tornado.httputil import HTTPHeaders

from ibisjunction.clock import MS_PER_S
from ibisjunction.entry.model import (
    CallerRequest,
    Failed,
    HeaderNames,
    Outcome,
    Passed,
    Refused,
    Why,
)

#: Statuses of refusals; all others are 503.
_STATUS: Final = MappingProxyType(
    {
        Why.NO_ROUTE: HTTPStatus.NOT_FOUND,
        Why.NO_KEY: HTTPStatus.BAD_REQUEST,
        Why.BAD_HEAD: HTTPStatus.BAD_REQUEST,
        Why.HEAD_TOO_LARGE: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    },
)


@dataclass(frozen=True, slots=True)
class Answer:
    """What a caller gets; ``sent`` is empty if only the head was asked for."""

    status: int
    headers: HTTPHeaders
    sent: bytes


def make_answer(
    request: CallerRequest,
    outcome: Outcome,
    names: HeaderNames,
    *,
    is_last: bool,
) -> Answer:
    """Return the answer; ``is_last`` closes the connection after it."""
    headers = HTTPHeaders()
    match outcome:
        case Passed(status=status, headers=fields, body=body):
            for name, text in fields:
                headers.add(name, text)
        case Refused() | Failed():
            status = _status_of(outcome)
            body = f'{outcome.why.value}\n'.encode()
            headers[names.request_id] = request.request_id
            headers['Content-Type'] = 'text/plain; charset=utf-8'
            _add_retry_after(headers, outcome)
    headers['Content-Length'] = str(len(body))
    if is_last:
        headers['Connection'] = 'close'
    return Answer(status, headers, b'' if request.method == 'HEAD' else body)


def _status_of(outcome: Refused | Failed) -> int:
    match outcome:
        case Refused(why=why):
            return _STATUS.get(why, HTTPStatus.SERVICE_UNAVAILABLE)
        case Failed(why=Why.TIMED_OUT):
            return HTTPStatus.GATEWAY_TIMEOUT
        case _:
            return HTTPStatus.BAD_GATEWAY


def _add_retry_after(headers: HTTPHeaders, outcome: Refused | Failed) -> None:
    if isinstance(outcome, Refused) and outcome.retry_after_ms is not None:
        seconds = outcome.retry_after_ms / MS_PER_S
        headers['Retry-After'] = f'{seconds:.3f}'
