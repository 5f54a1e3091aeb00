"""Base class, context and errors of the administration API's handlers."""

import hmac
import logging
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, TypeVar

import msgspec
from tornado.web import HTTPError, RequestHandler

from ibisjunction.admin.model import ErrorAnswer
from ibisjunction.admin.task import AdminTask
from ibisjunction.control.client import ControlClient
from ibisjunction.control.commands import Accepted, Command, Rejected
from ibisjunction.events import Event, log_event
from ibisjunction.mailbox import Mailbox
from ibisjunction.membership.reports import ReportsClient
from ibisjunction.settings import Settings

_logger = logging.getLogger(__name__)
_Body = TypeVar('_Body')


class ApiError(HTTPError):
    """An error whose text is sent to the caller.

    The text may have several lines, which tornado's ``reason`` may not.
    """

    def __init__(self, status: HTTPStatus, text: str) -> None:
        """Store the status and the text of the answer."""
        super().__init__(status)
        self.text = text


@dataclass(frozen=True, slots=True)
class AdminContext:
    """Settings, state and clients of the daemon that the handlers use.

    ``metrics`` is the mailbox of the metrics task.
    """

    settings: Settings
    task: AdminTask
    control: ControlClient
    reports: ReportsClient
    metrics: Mailbox[Any]


class ApiHandler(RequestHandler):
    """Base of all handlers: tokens, typed bodies and JSON errors."""

    def initialize(self, context: AdminContext) -> None:
        """Store the context, which all handlers share."""
        self.context = context

    def check_operator(self) -> None:
        """Reject a call without the operator token.

        :raises ApiError: if the token is missing or wrong.
        """
        self._check_token(self.context.settings.operator_token)

    def check_upstream(self) -> None:
        """Reject a call without the upstream token.

        :raises ApiError: if the token is missing or wrong.
        """
        self._check_token(self.context.settings.upstream_token)

    def check_operator_or_upstream(self) -> None:
        """Reject a call without the operator token or the upstream token.

        :raises ApiError: if the token is missing or wrong.
        """
        settings = self.context.settings
        self._check_token(settings.operator_token, settings.upstream_token)

    def read_body(self, body_type: type[_Body]) -> _Body:
        """Decode the JSON body of the request.

        :raises ApiError: if the body is not a valid ``body_type``.
        """
        try:
            return msgspec.json.decode(self.request.body, type=body_type)
        except msgspec.DecodeError as error:
            raise ApiError(HTTPStatus.BAD_REQUEST, str(error)) from error

    async def propose(self, command: Command) -> Accepted:
        """Commit a command and return its outcome.

        :raises ApiError: if it was rejected or its outcome is unknown.
        """
        outcome = await self.context.control.propose(command)
        match outcome:
            case Accepted():
                return outcome
            case Rejected(detail=detail):
                raise ApiError(HTTPStatus.CONFLICT, detail)
            case None:
                raise ApiError(
                    HTTPStatus.SERVICE_UNAVAILABLE,
                    'outcome unknown; send the same call again',
                )

    def answer(self, body: msgspec.Struct) -> None:
        """Send a body as JSON."""
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode(body))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Send the reason of an error as JSON."""
        match kwargs.get('exc_info', (None, None)):
            case (_, ApiError(text=text), *_):
                self.answer(ErrorAnswer(text))
            case _:
                self.answer(ErrorAnswer(self._reason))

    def _check_token(self, *tokens: str) -> None:
        credentials = self.request.headers.get('Authorization', '').encode()
        for token in tokens:
            if hmac.compare_digest(credentials, f'Bearer {token}'.encode()):
                return
        log_event(
            _logger,
            Event.MESSAGE_REJECTED,
            logging.WARNING,
            sender=self.request.remote_ip,
            detail=f'no valid token for {self.request.path}',
        )
        raise ApiError(HTTPStatus.UNAUTHORIZED, 'token is not valid')
