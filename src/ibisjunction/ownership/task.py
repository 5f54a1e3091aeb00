"""Sends and renews grants, and reports released shards and lost upstreams."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Any, Final

from ibisjunction.clock import Clock, in_seconds
from ibisjunction.control.messages import ControlView, LeaderUpdate
from ibisjunction.dispatch.messages import GrantsInForce
from ibisjunction.events import Event, log_event
from ibisjunction.mailbox import Mailbox
from ibisjunction.membership.messages import LeaseExtended
from ibisjunction.ownership.messages import (
    ShardReleased,
    ShardsIdle,
    UpstreamLost,
)
from ibisjunction.ownership.upstream_grants import (
    CallFailed,
    GrantEffect,
    GrantsAnswered,
    SendCall,
    UpstreamGrants,
)
from ibisjunction.peers.link import PeerNetwork
from ibisjunction.settings import Settings
from ibisjunction.upstreams.protocol import (
    GrantAnswer,
    GrantCall,
    UpstreamUnreachableError,
)

_logger = logging.getLogger(__name__)

#: Two calls and a renewal interval take little more than one grant lease, so a
#: loss is detected at about the time when the lease expires.
_CALL_TIMEOUT_MS: Final = 200

#: Sends a grant call to an upstream; receives its ``host:port``, the call and
#: the timeout in ms.
GrantCallSender = Callable[[str, GrantCall, int], Awaitable[GrantAnswer]]


@dataclass(frozen=True, slots=True)
class RenewalDue:
    """Requests the renewal of all grants."""


@dataclass(frozen=True, slots=True)
class CallEnded:
    """A call to an upstream was answered or failed."""

    upstream: str
    result: GrantsAnswered | CallFailed


class OwnershipTask:
    """Keeps the grants of dispatched upstreams in force."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        peers: PeerNetwork,
        dispatch: Mailbox[Any],
        send_grant_call: GrantCallSender,
        mailbox: Mailbox[Any],
    ) -> None:
        """Report grants in force to the mailbox of the dispatch task."""
        self._send_grant_call = send_grant_call
        self._settings = settings
        self._clock = clock
        self._peers = peers
        self._dispatch = dispatch
        self._voters = tuple(voter.vm for voter in settings.voters)
        self._lease_until_ms = 0
        self._upstreams: dict[str, UpstreamGrants] = {}
        self._call_tasks: set[asyncio.Task[None]] = set()
        self.mailbox = mailbox

    async def run(self) -> None:
        """Handle messages until cancelled."""
        try:
            while True:
                self.handle(await self.mailbox.get())
        finally:
            for task in self._call_tasks:
                task.cancel()

    async def run_timer(self) -> None:
        """Post renewals until cancelled."""
        interval = in_seconds(self._settings.timing.grant_renewal_ms)
        while True:
            await asyncio.sleep(interval)
            self.mailbox.post(RenewalDue())

    def handle(self, message: Any) -> None:
        """Process one message."""
        now = self._clock.now()
        match message:
            case LeaderUpdate(voters=voters):
                self._voters = voters
            case LeaseExtended(until_ms=until_ms):
                self._lease_until_ms = until_ms
            case ControlView():
                self._apply_view(message, now)
            case RenewalDue():
                for upstream, grants in self._upstreams.items():
                    self._execute_effects(upstream, grants.renew(now), now)
            case ShardsIdle(upstream=upstream):
                idle_grants = self._upstreams.get(upstream)
                if (
                    idle_grants is not None
                    and idle_grants.epoch == message.epoch
                ):
                    effects = idle_grants.mark_idle(message.fences, now)
                    self._execute_effects(upstream, effects, now)
            case CallEnded(upstream=upstream, result=result):
                self._handle_result(upstream, result, now)

    def _apply_view(self, view: ControlView, now: int) -> None:
        state = view.state
        dispatched = {
            upstream: self._get_or_create_grants(view, upstream, now)
            for upstream, dispatcher in state.dispatchers.items()
            if dispatcher.vm == self._settings.vm
        }
        self._upstreams = dispatched
        for upstream, grants in dispatched.items():
            effects = grants.apply_grants(
                state.upstreams[upstream],
                state.grants_of(upstream),
                now,
            )
            self._execute_effects(upstream, effects, now)

    def _get_or_create_grants(
        self,
        view: ControlView,
        upstream: str,
        now: int,
    ) -> UpstreamGrants:
        epoch = view.state.dispatchers[upstream].epoch
        grants = self._upstreams.get(upstream)
        if grants is not None and grants.epoch == epoch:
            return grants
        return UpstreamGrants(
            self._settings.vm,
            view.state.upstreams[upstream],
            epoch,
            self._settings.timing,
            now,
        )

    def _handle_result(
        self,
        upstream: str,
        result: GrantsAnswered | CallFailed,
        now: int,
    ) -> None:
        _log_result(upstream, result)
        grants = self._upstreams.get(upstream)
        if grants is None or grants.epoch != result.call.epoch:
            return
        match result:
            case GrantsAnswered():
                effects = grants.handle_answer(result, now)
            case CallFailed():
                effects = grants.handle_failure(result, now)
        self._execute_effects(upstream, effects, now)

    def _execute_effects(
        self,
        upstream: str,
        effects: Iterable[GrantEffect],
        now: int,
    ) -> None:
        for effect in effects:
            match effect:
                case SendCall():
                    self._start_call(upstream, effect, now)
                case GrantsInForce():
                    self._dispatch.post(effect)
                case ShardReleased() | UpstreamLost():
                    self._send_report(effect)

    def _send_report(self, report: ShardReleased | UpstreamLost) -> None:
        _log_report(report)
        for vm in self._voters:
            self._peers.send(vm, report)

    def _start_call(self, upstream: str, effect: SendCall, now: int) -> None:
        # Without a VM lease the call is not sent and does not count as failed;
        # the next renewal sends another one.
        if now >= self._lease_until_ms:
            failed = CallFailed(effect.call, 'no VM lease')
            self._upstreams[upstream].discard_call(failed)
            return
        task = asyncio.create_task(self._call(upstream, effect))
        self._call_tasks.add(task)
        task.add_done_callback(self._call_tasks.discard)

    async def _call(self, upstream: str, effect: SendCall) -> None:
        sent_at = self._clock.now()
        result: GrantsAnswered | CallFailed
        try:
            answer = await self._send_grant_call(
                effect.address,
                effect.call,
                _CALL_TIMEOUT_MS,
            )
        except UpstreamUnreachableError as error:
            result = CallFailed(effect.call, str(error))
        except Exception as error:
            # A call without a result would stay pending for ever.
            _logger.exception('a grant call to %s failed', upstream)
            result = CallFailed(effect.call, str(error))
        else:
            result = GrantsAnswered(effect.call, answer, sent_at)
        self.mailbox.post(CallEnded(upstream, result))


def _log_result(upstream: str, result: GrantsAnswered | CallFailed) -> None:
    match result:
        case GrantsAnswered(answer=GrantAnswer(accepted=True)):
            log_event(
                _logger,
                Event.GRANT_ACCEPTED,
                logging.DEBUG,
                upstream=upstream,
                epoch=result.call.epoch,
                shards=len(result.call.grants),
            )
        case CallFailed(detail=detail):
            log_event(
                _logger,
                Event.GRANT_FAILED,
                logging.WARNING,
                upstream=upstream,
                epoch=result.call.epoch,
                detail=detail,
            )


def _log_report(report: ShardReleased | UpstreamLost) -> None:
    match report:
        case ShardReleased():
            log_event(
                _logger,
                Event.SHARD_RELEASED,
                service=report.service,
                shard=report.shard,
                fence=report.fence,
            )
        case UpstreamLost():
            log_event(
                _logger,
                Event.UPSTREAM_LOST,
                logging.WARNING,
                upstream=report.upstream,
                epoch=report.epoch,
                remaining_ms=report.remaining_ms,
            )
