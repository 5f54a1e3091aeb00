"""Sends grants to upstreams and renews them."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from ibisjunction.clock import Clock, in_seconds
from ibisjunction.control.messages import ControlView
from ibisjunction.control.records import Grant, UpstreamRecord
from ibisjunction.dispatch.messages import GrantsFailed, GrantsInForce
from ibisjunction.events import Event, log_event
from ibisjunction.mailbox import Mailbox
from ibisjunction.membership.messages import LeaseExtended
from ibisjunction.settings import Settings
from ibisjunction.upstreams.protocol import (
    GrantAnswer,
    GrantCall,
    GrantedShard,
    UpstreamUnreachableError,
)

_logger = logging.getLogger(__name__)


#: Sends a call to an address within a timeout in milliseconds.
GrantCaller = Callable[[str, GrantCall, int], Awaitable[GrantAnswer]]


@dataclass(frozen=True, slots=True)
class RenewalDue:
    """Tells the task to send all grants again."""


@dataclass(frozen=True, slots=True)
class GrantsAnswered:
    """The answer of an upstream to a call that was sent at ``sent_at``."""

    upstream: str
    call: GrantCall
    answer: GrantAnswer
    sent_at: int


class OwnershipTask:
    """Keeps the grants of dispatched upstreams in force."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        dispatch: Mailbox[Any],
        call: GrantCaller,
    ) -> None:
        """Report results to the mailbox of the dispatch task."""
        self._call_upstream = call
        self._settings = settings
        self._clock = clock
        self._dispatch = dispatch
        self._view: ControlView | None = None
        self._lease_until_ms = 0
        self._last_answers: dict[str, GrantsAnswered] = {}
        self._calls: dict[str, asyncio.Task[None]] = {}
        self.mailbox: Mailbox[Any] = Mailbox()

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            self.handle(await self.mailbox.get())

    async def run_timer(self) -> None:
        """Post renewals until cancelled."""
        interval = in_seconds(self._settings.timing.grant_renewal_ms)
        while True:
            await asyncio.sleep(interval)
            self.mailbox.post(RenewalDue())

    def handle(self, message: Any) -> None:
        """Process one message."""
        match message:
            case LeaseExtended(until_ms=until_ms):
                self._lease_until_ms = until_ms
            case ControlView():
                self._view = message
                self._renew_all()
            case RenewalDue():
                self._renew_all()
            case GrantsAnswered():
                self._take_answer(message)
            case GrantsFailed():
                self._report_failure(message)

    def _renew_all(self) -> None:
        view = self._view
        if view is None or self._clock.now() >= self._lease_until_ms:
            return
        for upstream, dispatcher in view.state.dispatchers.items():
            if dispatcher.vm != self._settings.vm:
                continue
            pending = self._calls.get(upstream)
            if pending is None or pending.done():
                record = view.state.upstreams[upstream]
                grants = view.state.grants_of(upstream)
                self._start_call(record, dispatcher.epoch, grants)

    def _start_call(
        self,
        record: UpstreamRecord,
        epoch: int,
        grants: list[Grant],
    ) -> None:
        last = self._last_answers.get(record.upstream)
        call = GrantCall(
            vm=self._settings.vm,
            epoch=epoch,
            echo=None if last is None else last.answer.clock,
            lease_ms=self._settings.timing.grant_lease_ms,
            grants=[
                GrantedShard(grant.service, grant.shard, grant.fence)
                for grant in grants
                if grant.moving_to is None
            ],
        )
        self._calls[record.upstream] = asyncio.create_task(
            self._call(record, call),
        )

    async def _call(self, record: UpstreamRecord, call: GrantCall) -> None:
        timeout_ms = self._settings.timing.grant_lease_ms
        sent_at = self._clock.now()
        try:
            answer = await self._call_upstream(record.address, call, timeout_ms)
        except UpstreamUnreachableError as error:
            self.mailbox.post(
                GrantsFailed(record.upstream, call.epoch, str(error)),
            )
            return
        self.mailbox.post(
            GrantsAnswered(record.upstream, call, answer, sent_at),
        )

    def _take_answer(self, answered: GrantsAnswered) -> None:
        last = self._last_answers.get(answered.upstream)
        self._last_answers[answered.upstream] = answered
        call = answered.call
        if not answered.answer.accepted or last is None:
            if call.echo is None:
                self._renew_all()
            return
        lease_ms = int(
            call.lease_ms * (1 - self._settings.timing.clock_error),
        )
        in_force = GrantsInForce(
            upstream=answered.upstream,
            epoch=call.epoch,
            fences={grant.shard: grant.fence for grant in call.grants},
            until_ms=last.sent_at + lease_ms,
        )
        log_event(
            _logger,
            Event.GRANT_ACCEPTED,
            logging.DEBUG,
            upstream=answered.upstream,
            epoch=call.epoch,
            shards=len(call.grants),
        )
        self._dispatch.post(in_force)

    def _report_failure(self, failure: GrantsFailed) -> None:
        log_event(
            _logger,
            Event.GRANT_FAILED,
            logging.WARNING,
            upstream=failure.upstream,
            epoch=failure.epoch,
            detail=failure.detail,
        )
        self._dispatch.post(failure)
