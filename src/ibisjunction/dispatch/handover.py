"""Takes over and hands over shards at the dispatcher of one upstream."""

from collections.abc import Iterable, Mapping
from dataclasses import replace

from ibisjunction.control.records import Grant, UpstreamRecord, VmRecord
from ibisjunction.control.state import ControlState
from ibisjunction.dispatch.dispatcher import (
    Dispatcher,
    Effect,
    OutstandingTicket,
)
from ibisjunction.dispatch.messages import (
    GrantsInForce,
    ResultKind,
    TicketDone,
    TicketsHeld,
    UpstreamSpeed,
)
from ibisjunction.dispatch.speed import SpeedMeter
from ibisjunction.dispatch.takeover import TicketSurvey
from ibisjunction.ownership.messages import ShardsIdle


class DispatchedUpstream:
    """One upstream of which this VM is the dispatcher, under one epoch.

    A shard is suspended, so that requests for it wait, until the survey of
    tickets of earlier epochs is complete and the upstream has confirmed the
    grant of the shard, and again from the start of its move.
    """

    def __init__(
        self,
        record: UpstreamRecord,
        epoch: int,
        vms: Mapping[str, VmRecord],
    ) -> None:
        """Start the survey of a new epoch."""
        self.dispatcher = Dispatcher(record.upstream, epoch, record.slots)
        self.survey = TicketSurvey(epoch, vms)
        self._record = record
        self._speed = SpeedMeter()
        self._vms = dict(vms)
        self._grants: dict[int, Grant] = {}
        self._confirmed: GrantsInForce | None = None
        self._reported_fences: frozenset[int] = frozenset()
        self._is_leased = False

    def apply_state(self, state: ControlState, now: int) -> list[Effect]:
        """Apply a new control state."""
        upstream = self.dispatcher.upstream
        effects = self._update_record(state.upstreams[upstream], now)
        grants = state.grants_of(upstream)
        self._grants = {grant.shard: grant for grant in grants}
        self.survey.discard_lost_vms(state.vms)
        self._update_suspended_shards()
        for vm, previous in self._vms.items():
            current = state.vms.get(vm)
            if current is None or current.incarnation != previous.incarnation:
                effects += self.dispatcher.discard_vm(vm, now)
        self._vms = dict(state.vms)
        return effects + self._apply_confirmed_grants(now)

    @property
    def service(self) -> str:
        """The service that the upstream belongs to."""
        return self._record.service

    def set_confirmed_grants(
        self, grants: GrantsInForce, now: int
    ) -> list[Effect]:
        """Apply the grants that the upstream confirmed."""
        if grants.epoch != self.dispatcher.epoch:
            return []
        self._confirmed = grants
        self._update_suspended_shards()
        return self._apply_confirmed_grants(now)

    def record_survey_answer(
        self,
        vm: str,
        answer: TicketsHeld,
        now: int,
    ) -> list[Effect]:
        """Add the tickets that a VM reports as in use."""
        if not self.survey.record_answer(vm, answer):
            return []
        self.dispatcher.restore_tickets(
            {
                ticket.ticket_id: OutstandingTicket(
                    vm,
                    ticket.shard,
                    now + ticket.remaining_ms,
                )
                for ticket in answer.tickets
            },
        )
        self._update_suspended_shards()
        return self.dispatcher.issue(now)

    def finish(self, done: TicketDone, now: int) -> list[Effect]:
        """Reclaim a ticket and measure the upstream's speed."""
        if done.result.kind is ResultKind.SUCCEEDED:
            self._speed.record(done.result.service_ms)
        return self.dispatcher.finish(done, now)

    def make_speed_report(self) -> UpstreamSpeed:
        """Return the speed report for the leader."""
        return UpstreamSpeed(
            self.dispatcher.upstream,
            self._record.incarnation,
            self._speed.reported_speed,
        )

    def set_leased(self, *, is_leased: bool) -> None:
        """Suspend every shard while the VM has no lease."""
        if is_leased != self._is_leased:
            self._is_leased = is_leased
            self._update_suspended_shards()

    def find_idle_shards(self) -> ShardsIdle | None:
        """Return the fences of moving shards without outstanding tickets.

        Returns None unless a shard became idle since the last call.
        """
        if not self.survey.is_complete:
            return None
        idle_fences = frozenset(
            grant.fence
            for grant in self._grants.values()
            if grant.moving_to and self.dispatcher.is_idle(grant.shard)
        )
        if idle_fences <= self._reported_fences:
            return None
        self._reported_fences = idle_fences
        return ShardsIdle(
            self.dispatcher.upstream,
            self.dispatcher.epoch,
            idle_fences,
        )

    def _update_record(self, record: UpstreamRecord, now: int) -> list[Effect]:
        """Store the upstream's record; a new process starts cold."""
        previous_incarnation = self._record.incarnation
        self._record = record
        if record.incarnation == previous_incarnation:
            return []
        self._speed = SpeedMeter()
        return self.dispatcher.reset_after_restart(now)

    def _apply_confirmed_grants(self, now: int) -> list[Effect]:
        """Set the confirmed grants that the control state still lists.

        The dispatcher refuses requests for shards without one.
        """
        confirmed = self._confirmed
        if confirmed is None:
            return []
        fences = {
            shard: fence
            for shard, fence in confirmed.fences.items()
            if shard in self._grants
        }
        return self.dispatcher.set_confirmed_grants(
            replace(confirmed, fences=fences),
            now,
        )

    def _update_suspended_shards(self) -> None:
        suspended: Iterable[int] = self._grants
        if self._is_leased and self.survey.is_complete:
            suspended = (
                grant.shard
                for grant in self._grants.values()
                if not self._may_issue(grant)
            )
        self.dispatcher.replace_suspended_shards(frozenset(suspended))

    def _may_issue(self, grant: Grant) -> bool:
        confirmed = self._confirmed
        if confirmed is None or grant.moving_to is not None:
            return False
        return confirmed.fences.get(grant.shard) == grant.fence
