"""Runs the dispatchers of one VM."""

import asyncio
import logging
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Final

from ibisjunction.clock import Clock, in_seconds
from ibisjunction.control.messages import ControlView, LeaderUpdate
from ibisjunction.control.state import ControlState
from ibisjunction.dispatch.decision_log import log_effect
from ibisjunction.dispatch.dispatcher import Effect, SendToVm
from ibisjunction.dispatch.handover import DispatchedUpstream
from ibisjunction.dispatch.messages import (
    GrantsInForce,
    LoadReported,
    SurveyTickets,
    TicketCancel,
    TicketDone,
    TicketRefused,
    TicketRequest,
    TicketsHeld,
)
from ibisjunction.dispatch.overdue import OverdueCheck
from ibisjunction.events import Event, log_event
from ibisjunction.mailbox import Mailbox
from ibisjunction.membership.messages import LeaseExtended
from ibisjunction.outcomes import Reason
from ibisjunction.peers.link import PeerNetwork, Received
from ibisjunction.services.catalogue import ServiceCatalogue
from ibisjunction.services.collection import parse_collection
from ibisjunction.services.spec import ServiceSpec
from ibisjunction.settings import Settings

_logger = logging.getLogger(__name__)

_TICK_MS: Final = 20
_SPEED_INTERVAL_MS: Final = 1000


@dataclass(frozen=True, slots=True)
class Tick:
    """Timer tick; tickets are issued, and messages are repeated."""


class DispatchTask:
    """Owns the dispatchers of this VM and answers ticket requests.

    ``ownership`` receives :class:`ShardsIdle`.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        peers: PeerNetwork,
        ownership: Mailbox[Any],
    ) -> None:
        """Subscribe to the messages of VMs that request tickets."""
        self._vm = settings.vm
        self._voters = tuple(voter.vm for voter in settings.voters)
        self._next_speed_report_ms = 0
        self._clock = clock
        self._peers = peers
        self._upstreams: dict[str, DispatchedUpstream] = {}
        self._lease_until_ms = 0
        self._ownership = ownership
        self._overdue = OverdueCheck()
        self._revision = -1
        self._specs: dict[str, ServiceSpec] = {}
        self.mailbox: Mailbox[Any] = Mailbox()
        peers.subscribe(
            self.mailbox,
            TicketRequest,
            TicketDone,
            TicketCancel,
            TicketsHeld,
        )

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            self.handle(await self.mailbox.get())

    async def run_timer(self) -> None:
        """Post ticks until cancelled."""
        while True:
            await asyncio.sleep(in_seconds(_TICK_MS))
            self.mailbox.post(Tick())

    def handle(self, message: Any) -> None:
        """Process one message."""
        now = self._clock.now()
        self._check_lease(now)
        match message:
            case LeaseExtended(until_ms=until_ms):
                self._lease_until_ms = until_ms
                self._check_lease(now)
            case LeaderUpdate(voters=voters):
                self._voters = voters
            case ControlView(state=state):
                self._apply_state(state, now)
            case GrantsInForce(upstream=upstream):
                dispatched = self._upstreams.get(upstream)
                if dispatched is not None:
                    self._execute_effects(
                        dispatched.set_confirmed_grants(message, now)
                    )
            case LoadReported(upstream=upstream):
                dispatched = self._upstreams.get(upstream)
                if dispatched is not None:
                    health = dispatched.dispatcher.health
                    health.record_load_report(message.is_busy, now)
            case Received():
                self._handle_peer_message(message, now)
            case Tick():
                self._handle_tick(now)
        self._send_idle_shards()

    def _handle_tick(self, now: int) -> None:
        """Process a tick of the timer."""
        for dispatched in self._upstreams.values():
            self._send_survey(dispatched)
            self._execute_effects(dispatched.dispatcher.issue(now))
        self._send_speed_reports(now)
        for vm, check in self._overdue.list_checks(self._upstreams, now):
            self._peers.send(vm, check)

    def _check_lease(self, now: int) -> None:
        """Check the lease and suspend every shard while the VM has none."""
        is_leased = now < self._lease_until_ms
        for dispatched in self._upstreams.values():
            dispatched.set_leased(is_leased=is_leased)

    def _apply_state(self, state: ControlState, now: int) -> None:
        self._update_specs(state)
        current = {}
        for upstream, dispatcher in state.dispatchers.items():
            if dispatcher.vm == self._vm:
                current[upstream] = self._get_or_create_dispatched(
                    state,
                    upstream,
                    dispatcher.epoch,
                )
        self._upstreams = current
        for dispatched in current.values():
            self._execute_effects(dispatched.apply_state(state, now))
            self._set_ranks(dispatched)
        self._check_lease(now)

    def _update_specs(self, state: ControlState) -> None:
        if state.revision != self._revision:
            self._revision = state.revision
            self._specs = ServiceCatalogue(parse_collection(state.files)).specs

    def _set_ranks(self, dispatched: DispatchedUpstream) -> None:
        spec = self._specs.get(dispatched.service)
        if spec is not None:
            dispatched.dispatcher.set_ranks(spec.ranks)

    def _get_or_create_dispatched(
        self,
        state: ControlState,
        upstream: str,
        epoch: int,
    ) -> DispatchedUpstream:
        existing = self._upstreams.get(upstream)
        if existing is not None and existing.dispatcher.epoch == epoch:
            return existing
        record = state.upstreams[upstream]
        dispatched = DispatchedUpstream(record, epoch, state.vms)
        log_event(
            _logger,
            Event.TAKEOVER_STARTED,
            upstream=upstream,
            epoch=epoch,
            vms=len(dispatched.survey.pending_vms),
        )
        self._send_survey(dispatched)
        return dispatched

    def _send_survey(self, dispatched: DispatchedUpstream) -> None:
        survey = dispatched.survey
        request = SurveyTickets(dispatched.dispatcher.upstream, survey.epoch)
        for vm in sorted(survey.pending_vms):
            self._peers.send(vm, request)

    def _handle_peer_message(self, received: Received, now: int) -> None:
        message = received.message
        dispatched = self._upstreams.get(message.upstream)
        if dispatched is None:
            self._refuse_as_not_dispatcher(received)
            return
        dispatcher = dispatched.dispatcher
        match message:
            case TicketRequest():
                if now >= self._lease_until_ms:
                    self._refuse_as_not_dispatcher(received)
                    return
                effects = dispatcher.request(received.sender, message, now)
            case TicketDone():
                effects = dispatched.finish(message, now)
            case TicketCancel():
                effects = dispatcher.cancel(message, now)
            case TicketsHeld():
                effects = self._handle_survey_answer(dispatched, received, now)
        self._execute_effects(effects)

    def _handle_survey_answer(
        self,
        dispatched: DispatchedUpstream,
        received: Received,
        now: int,
    ) -> list[Effect]:
        was_complete = dispatched.survey.is_complete
        answer: TicketsHeld = received.message
        effects = dispatched.record_survey_answer(received.sender, answer, now)
        if dispatched.survey.is_complete and not was_complete:
            log_event(
                _logger,
                Event.TAKEOVER_COMPLETED,
                upstream=answer.upstream,
                epoch=answer.epoch,
            )
        return effects

    def _refuse_as_not_dispatcher(self, received: Received) -> None:
        """Refuse a ticket request; other messages are ignored."""
        if isinstance(received.message, TicketRequest):
            refusal = TicketRefused(
                received.message.ticket_id,
                Reason.NOT_DISPATCHER,
            )
            self._execute_effects([SendToVm(received.sender, refusal)])

    def _send_idle_shards(self) -> None:
        for dispatched in self._upstreams.values():
            idle = dispatched.find_idle_shards()
            if idle is not None:
                self._ownership.post(idle)

    def _send_speed_reports(self, now: int) -> None:
        if now < self._next_speed_report_ms:
            return
        self._next_speed_report_ms = now + _SPEED_INTERVAL_MS
        for dispatched in self._upstreams.values():
            # Any of the voters may be the leader.
            for voter in self._voters:
                self._peers.send(voter, dispatched.make_speed_report())

    def _execute_effects(self, effects: Iterable[Effect]) -> None:
        for effect in effects:
            log_effect(effect)
            if isinstance(effect, SendToVm):
                self._peers.send(effect.vm, effect.message)
