"""Builds the HTTP answer to a caller from the outcome of its request."""

from dataclasses import dataclass
from http import HTTPStatus
from types import MappingProxyType
from typing import Final

from tornado.httputil import HTTPHeaders

from ibisjunction.clock import MS_PER_S
from ibisjunction.entry.model import (
    Answered,
    CallerRequest,
    Failed,
    HeaderNames,
    Outcome,
    Reason,
    Refused,
)
from ibisjunction.verdict import Verdict

#: Statuses of refusals by reason; a refusal for any other reason is a 503.
_REFUSAL_STATUSES: Final = MappingProxyType(
    {
        Reason.NO_ROUTE: HTTPStatus.NOT_FOUND,
        Reason.NO_KEY: HTTPStatus.BAD_REQUEST,
        Reason.BAD_HEAD: HTTPStatus.BAD_REQUEST,
        Reason.HEAD_TOO_LARGE: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
        Reason.SLOW_HEAD: HTTPStatus.REQUEST_TIMEOUT,
        Reason.MALFORMED: HTTPStatus.BAD_REQUEST,
        Reason.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    },
)


@dataclass(frozen=True, slots=True)
class CallerAnswer:
    """The answer to a caller; ``body`` is empty for a HEAD request."""

    status: int
    headers: HTTPHeaders
    body: bytes

    def encode_head(self) -> bytes:
        """Return the status line and the headers as they are sent.

        :raises ValueError: if a header contains a line break, with which an
            upstream could forge further headers or answers.
        """
        lines = [f'HTTP/1.1 {self.status} ']
        lines += [f'{name}: {text}' for name, text in self.headers.get_all()]
        if any('\r' in line or '\n' in line for line in lines):
            raise ValueError('a header of the answer contains a line break')
        return '\r\n'.join((*lines, '', '')).encode('latin1')


def make_answer(
    request: CallerRequest,
    outcome: Outcome,
    names: HeaderNames,
    *,
    is_last: bool,
) -> CallerAnswer:
    """Return the answer to a request.

    :param is_last: whether the connection is closed after the answer; a
        header announces that to the caller.
    """
    headers = HTTPHeaders()
    match outcome:
        case Answered(status=status, headers=fields, body=body):
            for name, text in fields:
                headers.add(name, text)
        case Refused() | Failed():
            status = _status_of(outcome)
            body = f'{outcome.reason.value}\n'.encode()
            headers[names.request_id] = request.request_id
            headers['Content-Type'] = 'text/plain; charset=utf-8'
            _add_retry_after(headers, outcome)
    headers['Content-Length'] = str(len(body))
    if is_last:
        headers['Connection'] = 'close'
    elif request.version == 'HTTP/1.0':
        headers['Connection'] = 'keep-alive'
    return CallerAnswer(
        status,
        headers,
        b'' if request.method == 'HEAD' else body,
    )


def _status_of(outcome: Refused | Failed) -> int:
    match outcome:
        case Refused(reason=reason):
            return _REFUSAL_STATUSES.get(reason, HTTPStatus.SERVICE_UNAVAILABLE)
        case Failed(verdict=Verdict.NOT_RUN):
            return HTTPStatus.SERVICE_UNAVAILABLE
        case Failed(reason=Reason.TIMED_OUT):
            return HTTPStatus.GATEWAY_TIMEOUT
        case _:
            return HTTPStatus.BAD_GATEWAY


def _add_retry_after(headers: HTTPHeaders, outcome: Refused | Failed) -> None:
    if isinstance(outcome, Refused) and outcome.retry_after_ms is not None:
        seconds = outcome.retry_after_ms / MS_PER_S
        headers['Retry-After'] = f'{seconds:.3f}'
