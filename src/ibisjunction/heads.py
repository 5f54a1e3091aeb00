"""Checks the head of a request before anything of it is acted on."""

from dataclasses import dataclass
from http import HTTPStatus
from typing import Final

from tornado.httputil import HTTPHeaders, RequestStartLine

#: Bytes of a header field beside its name and its value.
_FIELD_BYTES: Final = 4
#: Room that a server's parser gets above the limit. Beyond it the parser can
#: only reset the connection, and the caller would not learn why.
PARSER_ROOM: Final = 4


@dataclass(frozen=True, slots=True)
class HeadFault:
    """Why a request is refused; ``detail`` names the header."""

    status: HTTPStatus
    detail: str


def find_head_fault(
    line: RequestStartLine,
    headers: HTTPHeaders,
    max_header_bytes: int,
) -> HeadFault | None:
    """Return what is wrong with a head, if anything.

    Size goes first: the rest of an oversized head is not looked at.
    """
    size = len(line.path) + sum(
        len(name) + len(text) + _FIELD_BYTES for name, text in headers.get_all()
    )
    if size > max_header_bytes:
        return HeadFault(
            HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            f'the headers have {size} bytes of at most {max_header_bytes}',
        )
    hosts = headers.get_list('Host')
    if not hosts and line.version == 'HTTP/1.1':
        return HeadFault(HTTPStatus.BAD_REQUEST, 'Host: missing')
    if len(hosts) > 1:
        return HeadFault(HTTPStatus.BAD_REQUEST, 'Host: given more than once')
    return None


def is_contradictory(headers: HTTPHeaders, name: str) -> bool:
    """Return whether a header is given with different values."""
    return len(set(headers.get_list(name))) > 1
