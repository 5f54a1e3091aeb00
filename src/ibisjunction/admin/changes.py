"""Handlers of calls that change the control state."""

import logging
from http import HTTPStatus

import msgspec

from ibisjunction.admin.context import ApiError, ApiHandler
from ibisjunction.admin.model import (
    ChangeVotersRequest,
    PublishAnswer,
    PublishRequest,
    RenewalAnswer,
    RenewalRequest,
    RevisionAnswer,
)
from ibisjunction.control.commands import (
    AnnounceUpstream,
    ChangeVoters,
    DrainUpstream,
    PublishRevision,
    RenewTerms,
)
from ibisjunction.control.records import UpstreamRecord, VoterRecord
from ibisjunction.control.terms import Renewal
from ibisjunction.control.voters import list_initial_voters
from ibisjunction.events import Event, log_event
from ibisjunction.services.collection import parse_collection
from ibisjunction.services.model import ServiceFileError
from ibisjunction.settings.loader import is_address
from ibisjunction.upstreams.protocol import Announcement

_logger = logging.getLogger(__name__)


class RevisionsHandler(ApiHandler):
    """``/v1/revisions``: the published service files."""

    def get(self) -> None:
        """Return the revision in force on this VM, with its files."""
        self.check_operator()
        state = self.context.task.state
        self.answer(RevisionAnswer(state.revision, state.files))

    async def post(self) -> None:
        """Publish files as the revision after ``base_revision``."""
        self.check_operator()
        request = self.read_body(PublishRequest)
        try:
            parse_collection(request.files)
        except ServiceFileError as error:
            raise ApiError(HTTPStatus.BAD_REQUEST, str(error)) from error
        try:
            outcome = await self.propose(
                PublishRevision(
                    request.base_revision,
                    request.publication_id,
                    request.files,
                ),
            )
        except ApiError as error:
            _log_rejection(request, error)
            raise
        log_event(
            _logger,
            Event.REVISION_PUBLISHED,
            revision=outcome.revision,
            publication=request.publication_id,
        )
        self.answer(PublishAnswer(outcome.revision))


class RenewalsHandler(ApiHandler):
    """``/v1/services/<service>/clients/<client>/renewals``: renewed terms."""

    async def post(self, service: str, client: str) -> None:
        """Renew a client's terms, which may raise its level."""
        self.check_operator()
        body = self.read_body(RenewalRequest)
        renewal = Renewal(service, client, body.renewal_id)
        outcome = await self.propose(RenewTerms(renewal))
        log_event(
            _logger,
            Event.TERMS_RENEWED,
            service=service,
            client=client,
            level=outcome.level,
        )
        self.answer(RenewalAnswer(outcome.level))


class UpstreamsHandler(ApiHandler):
    """``/v1/upstreams``: announcements by upstreams."""

    async def post(self) -> None:
        """Add an upstream or change its record.

        A repeated announcement that changes nothing is not written to the
        control log.
        """
        self.check_upstream()
        announcement = self.read_body(Announcement)
        record = UpstreamRecord(**msgspec.structs.asdict(announcement))
        if not self.context.task.has_record(record):
            await self.propose(AnnounceUpstream(record))
            log_event(
                _logger,
                Event.UPSTREAM_ANNOUNCED,
                upstream=record.upstream,
                service=record.service,
                address=record.address,
            )
        self.set_status(HTTPStatus.NO_CONTENT)


class DrainHandler(ApiHandler):
    """``/v1/upstreams/<upstream>/drain``: draining an upstream."""

    async def post(self, upstream: str) -> None:
        """Start to drain an upstream; open to upstreams and operators."""
        self.check_operator_or_upstream()
        await self.propose(DrainUpstream(upstream))
        log_event(_logger, Event.UPSTREAM_DRAINING, upstream=upstream)
        self.set_status(HTTPStatus.NO_CONTENT)


def _log_rejection(request: PublishRequest, error: ApiError) -> None:
    log_event(
        _logger,
        Event.PUBLICATION_REJECTED,
        logging.WARNING,
        base=request.base_revision,
        publication=request.publication_id,
        detail=error.text,
    )


class VotersHandler(ApiHandler):
    """``/v1/voters``: the disks that store the control log."""

    async def post(self) -> None:
        """Add or remove one disk.

        The leader declines a change of more than one.
        """
        self.check_operator()
        change = self.read_body(ChangeVotersRequest)
        # The state has no voters until a command changes the initial ones.
        current = self.context.task.state.voters or list_initial_voters(
            self.context.settings,
        )
        voters = {voter.node: voter for voter in current}
        if change.remove is not None:
            voters.pop(change.remove, None)
        if change.add is not None:
            if not is_address(change.peer):
                text = 'peer: expected "IP number:port"'
                raise ApiError(HTTPStatus.BAD_REQUEST, text)
            vm = change.add.partition('/')[0]
            voters[change.add] = VoterRecord(change.add, vm, change.peer)
        await self.propose(ChangeVoters(tuple(voters.values())))
        self.set_status(HTTPStatus.NO_CONTENT)
