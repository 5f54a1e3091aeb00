"""Checks the head of a request before the request is processed."""

from dataclasses import dataclass
from http import HTTPStatus
from typing import Final

from tornado.httputil import HTTPHeaders, RequestStartLine

#: Bytes of a header field besides its name and value: ``": "`` and CRLF.
_FIELD_OVERHEAD_BYTES: Final = 4
#: Ratio of the size limit of the server's parser to the limit of this check.
#: Above its limit the parser reads no further, so that the connection ends with
#: that request.
PARSER_LIMIT_FACTOR: Final = 4
#: Enough for any time in milliseconds.
_MAX_DIGITS: Final = 15
#: Statuses of HTTP answers lie below.
_END_OF_STATUSES: Final = 600


@dataclass(frozen=True, slots=True)
class HeadError:
    """Why a head is not valid, and the status of the answer to its request."""

    status: HTTPStatus
    detail: str


def find_head_error(
    start_line: RequestStartLine,
    headers: HTTPHeaders,
    max_header_bytes: int,
) -> HeadError | None:
    """Return why a head must be refused, or ``None`` if it is valid.

    The size is checked first; an oversized head is not checked any further.
    """
    size = len(start_line.path) + sum(
        len(name) + len(text) + _FIELD_OVERHEAD_BYTES
        for name, text in headers.get_all()
    )
    if size > max_header_bytes:
        return HeadError(
            HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            f'the headers have {size} bytes of at most {max_header_bytes}',
        )
    hosts = headers.get_list('Host')
    if not hosts and start_line.version == 'HTTP/1.1':
        return HeadError(HTTPStatus.BAD_REQUEST, 'Host: missing')
    if len(hosts) > 1:
        return HeadError(HTTPStatus.BAD_REQUEST, 'Host: given more than once')
    if not start_line.path.isascii():
        # Tornado would pass them on as UTF-8, so as another path.
        return HeadError(
            HTTPStatus.BAD_REQUEST,
            'the path or query contains bytes above 127, which have to be'
            ' percent-encoded',
        )
    return None


def parse_number(text: str | None) -> int | None:
    """Parse a decimal integer of a header.

    :return: ``None`` without the header, or if it is no decimal integer or has
        more digits than any number in a header needs. Python does not convert
        thousands of digits.
    """
    if text is None:
        return None
    digits = text.strip()
    if not digits.isdecimal() or len(digits) > _MAX_DIGITS:
        return None
    return int(digits)


def has_conflicting_values(headers: HTTPHeaders, name: str) -> bool:
    """Return whether a header is given with different values."""
    return len(set(headers.get_list(name))) > 1


def is_final_status(status: int) -> bool:
    """Return whether a status is that of a final answer, by RFC 9110.

    Others than 100 to 599 are not valid, and 1xx precedes a final answer.
    """
    return HTTPStatus.OK <= status < _END_OF_STATUSES


def is_interim_status(status: int) -> bool:
    """Return whether a final answer follows one with this status."""
    return HTTPStatus.CONTINUE <= status < HTTPStatus.OK
