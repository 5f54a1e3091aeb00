"""Keeps the lease of an entry VM and its replica of the fleet state."""

import asyncio
import logging
from typing import Any, Final

from ibisjunction.clock import Clock, in_seconds
from ibisjunction.control.messages import (
    CommittedEntries,
    LeaderHint,
    StateSnapshot,
)
from ibisjunction.coordination.messages import (
    ForgetVm,
    LoadReport,
    RelayedAnswer,
    RelayedHeartbeat,
    SeedsChanged,
)
from ibisjunction.coordination.replica import FleetReplica
from ibisjunction.entry.components import EntryComponents
from ibisjunction.entry.following.heartbeats import (
    HEARTBEAT_MS,
    HeartbeatSchedule,
)
from ibisjunction.entry.following.relay import RelayChooser
from ibisjunction.entry.following.view import FleetView
from ibisjunction.entry.serving.requests import RequestProcessor
from ibisjunction.entry.tickets.messages import (
    CrashRecorded,
    DispatchersChanged,
)
from ibisjunction.events import Event, log_event
from ibisjunction.fleet.report import ReadState, VmSummary, encode_report
from ibisjunction.mailbox import Mailbox
from ibisjunction.membership.leader import LeaderTracker
from ibisjunction.membership.leases import digest_vms
from ibisjunction.membership.messages import Heartbeat, LeaseRenewal
from ibisjunction.membership.task import HeartbeatDue
from ibisjunction.peers.link import PeerNetwork, Received

_logger = logging.getLogger(__name__)

#: Interval at which updates of the view are logged.
_VIEW_LOG_INTERVAL_MS: Final = 5000


class _ViewUpdates:
    """Counts how often the state changed and how long that took, for logs."""

    def __init__(self, now: int) -> None:
        """Start a first interval."""
        self._interval_start_ms = now
        self._count = 0
        self._total_ms = 0

    def add(self, started_ms: int, now: int) -> None:
        """Count an update."""
        self._count += 1
        self._total_ms += now - started_ms

    def log_if_due(self, vm: str, now: int) -> None:
        """Log the updates of an interval that is over, if there were any."""
        if now < self._interval_start_ms + _VIEW_LOG_INTERVAL_MS:
            return
        if self._count:
            log_event(
                _logger,
                Event.VIEW_UPDATES,
                vm=vm,
                updates=self._count,
                total_ms=self._total_ms,
            )
        self._interval_start_ms = now
        self._count = 0
        self._total_ms = 0


class EntryMembership:
    """Sends heartbeats to the leader and applies its answers.

    The task owns the replica of the fleet state.
    """

    def __init__(
        self,
        vm: str,
        incarnation: int,
        seeds: tuple[str, ...],
        clock: Clock,
        peers: PeerNetwork,
        processor: RequestProcessor,
        components: EntryComponents,
        capacity: int = 1,
    ) -> None:
        """Subscribe to the messages of the leader.

        :param capacity: that of this VM, compared with those of others.
        """
        self._capacity = capacity
        self._vm = vm
        self._incarnation = incarnation
        self._seeds = seeds
        self._clock = clock
        self._peers = peers
        self._lease = components.lease
        self._processor = processor
        self._components = components
        self._replica = FleetReplica()
        self._tracker = LeaderTracker(HEARTBEAT_MS)
        self._relay_chooser = RelayChooser(clock.now())
        self._schedule = HeartbeatSchedule()
        self._current_relay = ''
        self._had_lease = False
        self._is_leaving = False
        self._vms: tuple[str, ...] = ()
        self._capacities: tuple[int, ...] = ()
        self._view_updates = _ViewUpdates(clock.now())
        #: Set to false when this VM begins to shut down.
        self.is_serving = True
        self.mailbox: Mailbox[Any] = Mailbox()
        peers.subscribe(
            self.mailbox,
            LeaseRenewal,
            CommittedEntries,
            StateSnapshot,
            LeaderHint,
            RelayedHeartbeat,
            RelayedAnswer,
        )

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            self.handle(await self.mailbox.get())

    async def run_timer(self) -> None:
        """Post ``HeartbeatDue`` at each interval until cancelled."""
        while True:
            self.mailbox.post(HeartbeatDue())
            await asyncio.sleep(in_seconds(HEARTBEAT_MS))

    def handle(self, message: Any) -> None:
        """Process one message."""
        now = self._clock.now()
        match message:
            case HeartbeatDue():
                self._handle_heartbeat_due(now)
            case CrashRecorded():
                self._send_report()
            case SeedsChanged(seeds=seeds):
                self._seeds = seeds
            case Received(message=LeaderHint(vm=vm, term=term)):
                self._tracker.record_hint(vm, term)
            case Received(sender=sender, message=LeaseRenewal() as renewal):
                self._tracker.record_leader(sender, renewal.term, now)
                self._relay_chooser.record_leader_answer(now)
                self._apply_renewal(renewal, now)
            case Received(
                message=(CommittedEntries() | StateSnapshot()) as state
            ):
                self._apply_state(state)
            case Received(message=RelayedHeartbeat() as relayed):
                self._forward_heartbeat(relayed, now)
            case Received(sender=sender, message=RelayedAnswer() as answer):
                self._handle_relayed_answer(sender, answer, now)
            case ReadState(reply=reply):
                reply.post(self._encode_report(now))

    def _handle_heartbeat_due(self, now: int) -> None:
        if self._schedule.is_due(now):
            self._send_heartbeat(now)
        self._log_lease_change(now)
        self._view_updates.log_if_due(self._vm, now)

    def _encode_report(self, now: int) -> bytes:
        state = self._replica.state
        summary = VmSummary(
            vm=self._vm,
            role='entry',
            duty='serving' if self._lease.is_held(now) else 'waiting',
            term=0,
            index=self._replica.index,
            leader=self._tracker.find_leader(now) or '',
            voters=tuple(voter.vm for voter in state.voters),
            vms=self._vms,
        )
        return encode_report(summary, state)

    def _apply_renewal(self, renewal: LeaseRenewal, now: int) -> None:
        self._lease.renew(renewal, self._replica.index)
        if renewal.vms is not None:
            self._update_vms(renewal.vms, renewal.capacities)
        self._schedule.set_interval(renewal.heartbeat_ms)
        self._tracker.set_heartbeat(self._schedule.interval_ms)
        self._relay_chooser.set_heartbeat(self._schedule.interval_ms)
        self._log_lease_change(now)

    def _apply_state(
        self, message: CommittedEntries | StateSnapshot | None
    ) -> None:
        """Apply what the leader sent, if it is new."""
        started_ms = self._clock.now()
        wants_report = True
        match message:
            case CommittedEntries():
                is_new = self._replica.apply_entries(message)
                wants_report = message.wants_report
            case StateSnapshot():
                is_new = self._replica.install_snapshot(message)
            case None:
                is_new = False
        if is_new:
            self._publish_view()
            self._view_updates.add(started_ms, self._clock.now())
        if is_new and wants_report:
            self._send_report()

    def _send_report(self) -> None:
        """Send a heartbeat and a report without waiting for the interval."""
        now = self._clock.now()
        self._schedule.request_report()
        if self._schedule.is_report_due(now):
            self._send_heartbeat(now)

    def _forward_heartbeat(self, relayed: RelayedHeartbeat, now: int) -> None:
        """Forward the heartbeat of a VM that does not reach the leader."""
        leader = self._tracker.find_leader(now)
        if leader is not None:
            self._peers.send(leader, relayed)

    def _handle_relayed_answer(
        self,
        sender: str,
        answer: RelayedAnswer,
        now: int,
    ) -> None:
        """Apply an answer for this VM, or forward it to the VM it is for."""
        if answer.vm != self._vm:
            self._peers.send(answer.vm, answer)
            return
        self._relay_chooser.record_relay_answer(sender, now)
        self._apply_state(answer.entries)
        self._apply_state(answer.snapshot)
        self._apply_renewal(answer.renewal, now)

    def leave(self) -> None:
        """Stop heartbeats; notify the leader that no more requests are sent."""
        self._is_leaving = True
        leader = self._tracker.find_leader(self._clock.now())
        if leader is not None:
            self._peers.send(leader, ForgetVm(self._vm, self._incarnation))

    def _update_vms(
        self, vms: tuple[str, ...], capacities: tuple[int, ...]
    ) -> None:
        if (vms, capacities) != (self._vms, self._capacities):
            self._vms = vms
            self._capacities = capacities
            self._components.budget.vm_count = max(1, len(vms))
            self._components.tickets.post(DispatchersChanged(vms, capacities))

    def _publish_view(self) -> None:
        self._lease.retry_pending(self._replica.index)
        self._processor.update_view(
            FleetView(
                self._replica.state,
                self._replica.index,
                self._processor.view,
            ),
        )

    def _send_heartbeat(self, now: int) -> None:
        if self._is_leaving:
            return
        heartbeat = Heartbeat(
            vm=self._vm,
            incarnation=self._incarnation,
            sent_at=now,
            applied_index=self._replica.index,
            revision=0,
            is_serving=self.is_serving,
            vms_digest=digest_vms(self._vms, self._capacities),
            capacity=self._capacity,
        )
        self._schedule.record_sent(now)
        targets = self._tracker.choose_targets(self._list_control_vms(), now)
        for vm in targets:
            self._peers.send(vm, heartbeat)
        relay = self._choose_relay(now)
        has_recipient = bool(relay) or len(targets) == 1
        suspects = self._components.suspects
        report = LoadReport(
            self._processor.take_loads(),
            self._processor.take_speeds(),
            suspects.take_reports(now) if has_recipient else (),
        )
        if relay:
            self._peers.send(relay, RelayedHeartbeat(heartbeat, report))
        elif len(targets) == 1 and not report.is_empty:
            self._peers.send(targets.pop(), report)

    def _choose_relay(self, now: int) -> str:
        relay = self._relay_chooser.choose(
            _list_other_vms(self._vm, self._vms), now
        )
        if relay != self._current_relay:
            self._current_relay = relay
            log_event(
                _logger,
                Event.RELAY_CHOSEN if relay else Event.LEADER_REACHED,
                logging.WARNING if relay else logging.INFO,
                vm=self._vm,
                relay=relay,
            )
        return relay

    def _list_control_vms(self) -> tuple[str, ...]:
        """Return the VMs to contact without a leader: voters, then seeds."""
        voters = tuple(voter.vm for voter in self._replica.state.voters)
        return tuple(dict.fromkeys((*voters, *self._seeds)))

    def _log_lease_change(self, now: int) -> None:
        is_held = self._lease.is_held(now)
        if is_held == self._had_lease:
            return
        self._had_lease = is_held
        log_event(
            _logger,
            Event.LEASE_HELD if is_held else Event.LEASE_LOST,
            logging.INFO if is_held else logging.WARNING,
            vm=self._vm,
            index=self._replica.index,
        )


def _list_other_vms(vm: str, vms: tuple[str, ...]) -> tuple[str, ...]:
    """Return the other entry VMs by name, starting after this one.

    VMs that need a relay thus try different ones first.
    """
    after = tuple(other for other in vms if other > vm)
    before = tuple(other for other in vms if other < vm)
    return after + before
