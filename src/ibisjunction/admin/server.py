"""The HTTP front end for operators, upstreams and the platform's balancer."""

import hmac
import logging
from http import HTTPStatus
from typing import Any, TypeVar

import msgspec
from tornado.httpserver import HTTPServer
from tornado.web import Application, HTTPError, RequestHandler

from ibisjunction.admin.model import (
    ChangeVotersRequest,
    ErrorAnswer,
    PublishAnswer,
    PublishRequest,
)
from ibisjunction.admin.task import AdminTask
from ibisjunction.control.client import ControlClient
from ibisjunction.control.commands import (
    Accepted,
    AnnounceUpstream,
    ChangeVoters,
    Command,
    DrainUpstream,
    PublishRevision,
    Rejected,
)
from ibisjunction.control.records import UpstreamRecord, VoterRecord
from ibisjunction.control.voters import describe_voters
from ibisjunction.events import Event, log_event
from ibisjunction.services.collection import parse_collection
from ibisjunction.services.model import ServiceFileError
from ibisjunction.settings import Settings
from ibisjunction.settings.loader import is_address
from ibisjunction.upstreams.protocol import Announcement

_logger = logging.getLogger(__name__)
_Body = TypeVar('_Body')


class AdminContext:
    """What the handlers use."""

    def __init__(
        self,
        settings: Settings,
        task: AdminTask,
        control: ControlClient,
    ) -> None:
        """Keep the parts."""
        self.settings = settings
        self.task = task
        self.control = control


class _ApiHandler(RequestHandler):
    """Base of all handlers: typed bodies and JSON errors."""

    def initialize(self, context: AdminContext) -> None:
        self.context = context

    def check_token(self, expected: str) -> None:
        """Refuse a caller that does not know the token."""
        given = self.request.headers.get('Authorization', '')
        if not hmac.compare_digest(given, f'Bearer {expected}'):
            log_event(
                _logger,
                Event.MESSAGE_REJECTED,
                logging.WARNING,
                sender=self.request.remote_ip,
                detail=f'token for {self.request.path}',
            )
            raise HTTPError(
                HTTPStatus.UNAUTHORIZED, reason='token is not valid'
            )

    def read_body(self, body_type: type[_Body]) -> _Body:
        """Decode the body."""
        try:
            return msgspec.json.decode(self.request.body, type=body_type)
        except msgspec.DecodeError as error:
            raise HTTPError(
                HTTPStatus.BAD_REQUEST, reason=str(error)
            ) from error

    async def propose(self, command: Command) -> Accepted:
        """Commit a command or answer with the reason it was not."""
        outcome = await self.context.control.propose(command)
        match outcome:
            case Accepted():
                return outcome
            case Rejected(detail=detail):
                raise HTTPError(HTTPStatus.CONFLICT, reason=detail)
            case None:
                raise HTTPError(
                    HTTPStatus.SERVICE_UNAVAILABLE,
                    reason='outcome unknown; send the same call again',
                )

    def answer(self, body: msgspec.Struct) -> None:
        """Send a body as JSON."""
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode(body))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Send the reason of an error as JSON."""
        self.answer(ErrorAnswer(self._reason))


class _ReadyHandler(_ApiHandler):
    def get(self) -> None:
        if not self.context.task.is_ready():
            raise HTTPError(HTTPStatus.SERVICE_UNAVAILABLE, reason='not ready')
        self.finish('ready\n')


class _StatusHandler(_ApiHandler):
    def get(self) -> None:
        self.check_token(self.context.settings.operator_token)
        self.answer(self.context.task.report_status())


class _RevisionsHandler(_ApiHandler):
    async def post(self) -> None:
        self.check_token(self.context.settings.operator_token)
        publish = self.read_body(PublishRequest)
        try:
            parse_collection(publish.files)
        except ServiceFileError as error:
            raise HTTPError(
                HTTPStatus.BAD_REQUEST, reason=str(error)
            ) from error
        outcome = await self.propose(
            PublishRevision(
                publish.base_revision,
                publish.publication_id,
                publish.files,
            ),
        )
        log_event(
            _logger,
            Event.REVISION_PUBLISHED,
            revision=outcome.revision,
            publication=publish.publication_id,
        )
        self.answer(PublishAnswer(outcome.revision))


class _VotersHandler(_ApiHandler):
    async def post(self) -> None:
        self.check_token(self.context.settings.operator_token)
        change = self.read_body(ChangeVotersRequest)
        voters = {voter.node: voter for voter in self._list_voters()}
        if change.remove is not None:
            voters.pop(change.remove, None)
        if change.add is not None:
            if not is_address(change.peer):
                raise HTTPError(
                    HTTPStatus.BAD_REQUEST,
                    reason='peer: expected "IP number:port"',
                )
            vm = change.add.partition('/')[0]
            voters[change.add] = VoterRecord(change.add, vm, change.peer)
        await self.propose(ChangeVoters(tuple(voters.values())))
        self.set_status(HTTPStatus.NO_CONTENT)

    def _list_voters(self) -> tuple[VoterRecord, ...]:
        changed = self.context.task.list_voters()
        return changed or describe_voters(self.context.settings)


class _UpstreamsHandler(_ApiHandler):
    async def post(self) -> None:
        self.check_token(self.context.settings.upstream_token)
        announcement = self.read_body(Announcement)
        record = UpstreamRecord(**msgspec.structs.asdict(announcement))
        if not self.context.task.knows(record):
            await self.propose(AnnounceUpstream(record))
            log_event(
                _logger,
                Event.UPSTREAM_ANNOUNCED,
                upstream=record.upstream,
                service=record.service,
                address=record.address,
            )
        self.set_status(HTTPStatus.NO_CONTENT)


class _DrainHandler(_ApiHandler):
    async def post(self, upstream: str) -> None:
        self.check_token(self.context.settings.upstream_token)
        await self.propose(DrainUpstream(upstream))
        log_event(_logger, Event.UPSTREAM_DRAINING, upstream=upstream)
        self.set_status(HTTPStatus.NO_CONTENT)


def make_admin_server(context: AdminContext) -> HTTPServer:
    """Return a server that is not yet listening."""
    shared = {'context': context}
    return HTTPServer(
        Application(
            [
                ('/ready', _ReadyHandler, shared),
                ('/v1/status', _StatusHandler, shared),
                ('/v1/revisions', _RevisionsHandler, shared),
                ('/v1/voters', _VotersHandler, shared),
                ('/v1/upstreams', _UpstreamsHandler, shared),
                ('/v1/upstreams/([^/]+)/drain', _DrainHandler, shared),
            ],
            log_function=_skip_access_log,
        ),
    )


def _skip_access_log(handler: RequestHandler) -> None:
    """Leave logging to the numbered events."""
