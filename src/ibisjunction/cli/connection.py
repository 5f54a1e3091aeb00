"""Calls of the command line to the administration API."""

import os
import sys
from dataclasses import dataclass
from http import HTTPStatus
from typing import Annotated, Final, TypeVar

import cappa
import msgspec
from tornado.httpclient import HTTPClient, HTTPClientError, HTTPRequest

from ibisjunction.admin.model import ErrorAnswer

_Answer = TypeVar('_Answer')

EXIT_INVALID: Final = 1
EXIT_USAGE: Final = 2
EXIT_REJECTED: Final = 3
EXIT_UNREACHABLE: Final = 4
EXIT_NOT_IN_FORCE: Final = 5

#: Longer than the 20 s that a new voter has to catch up before it is declined.
_TIMEOUT_S: Final = 30.0
_ADMIN_VARIABLE: Final = 'IBISJUNCTION_ADMIN'
_TOKEN_VARIABLE: Final = 'IBISJUNCTION_TOKEN'


class CommandError(Exception):
    """A command failed; the text includes what the operator can do next."""

    def __init__(self, text: str, exit_code: int) -> None:
        """Store the text and the exit code."""
        super().__init__(text)
        self.exit_code = exit_code


@dataclass(frozen=True, slots=True)
class AdminApi:
    """The administration API of one VM."""

    address: str
    token: str

    def fetch(
        self,
        method: str,
        path: str,
        answer_type: type[_Answer],
        body: msgspec.Struct | None = None,
    ) -> _Answer:
        """Send a call and return its decoded answer.

        :raises CommandError: if the call failed or the answer is not valid.
        """
        response_body = self._send(method, path, body)
        try:
            return msgspec.json.decode(response_body, type=answer_type)
        except msgspec.DecodeError as error:
            raise CommandError(
                f'{self.address}: unexpected answer: {error}; is the address'
                ' that of the administration API?',
                EXIT_UNREACHABLE,
            ) from error

    def send(
        self,
        method: str,
        path: str,
        body: msgspec.Struct | None = None,
    ) -> None:
        """Send a call whose answer has no body.

        :raises CommandError: if the call failed.
        """
        self._send(method, path, body)

    def _send(
        self,
        method: str,
        path: str,
        body: msgspec.Struct | None,
    ) -> bytes:
        request = HTTPRequest(
            f'http://{self.address}{path}',
            method=method,
            headers={'Authorization': f'Bearer {self.token}'},
            body=None if body is None else msgspec.json.encode(body),
            request_timeout=_TIMEOUT_S,
            allow_nonstandard_methods=True,
        )
        try:
            return HTTPClient().fetch(request).body
        except HTTPClientError as error:
            raise _to_command_error(self.address, error) from error
        except OSError as error:
            raise CommandError(
                f'{self.address}: {error}; is the daemon running there?',
                EXIT_UNREACHABLE,
            ) from error


JsonFlag = Annotated[bool, cappa.Arg(long=True, help='Print JSON for scripts.')]


@dataclass
class Connection:
    """Options of all commands that call the administration API."""

    admin: Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env(_ADMIN_VARIABLE, default=''),
            help='Administration address of any VM, host:port.',
        ),
    ]
    json: JsonFlag = False

    def make_api(self) -> AdminApi:
        """Return the API at the given address.

        :raises CommandError: if no address was given.
        """
        if not self.admin:
            raise CommandError(
                f'no VM given; use --admin host:port or set {_ADMIN_VARIABLE}',
                EXIT_USAGE,
            )
        return AdminApi(self.admin, os.environ.get(_TOKEN_VARIABLE, ''))


def print_json(answer: object) -> None:
    """Print an answer or a report as indented JSON."""
    text = msgspec.json.format(msgspec.json.encode(answer), indent=2)
    sys.stdout.write(f'{text.decode()}\n')


def _to_command_error(address: str, error: HTTPClientError) -> CommandError:
    text = f'{address}: {_read_error(error)}'
    match error.code:
        case HTTPStatus.BAD_REQUEST | HTTPStatus.NOT_FOUND:
            return CommandError(text, EXIT_INVALID)
        case HTTPStatus.CONFLICT:
            return CommandError(text, EXIT_REJECTED)
        case HTTPStatus.UNAUTHORIZED:
            return CommandError(
                f'{text}; set {_TOKEN_VARIABLE} to the operator token',
                EXIT_REJECTED,
            )
    return CommandError(f'{text}; run the command again', EXIT_UNREACHABLE)


def _read_error(error: HTTPClientError) -> str:
    body = b'' if error.response is None else error.response.body
    try:
        return msgspec.json.decode(body, type=ErrorAnswer).error
    except msgspec.DecodeError:
        return str(error)
