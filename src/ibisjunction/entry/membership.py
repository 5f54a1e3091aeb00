"""Keeps an entry VM's copy of the fleet and its lease."""

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
from ibisjunction.coordination.replicas import FleetReplica
from ibisjunction.entry.messages import DispatchersKnown
from ibisjunction.entry.relay import RelayChooser
from ibisjunction.entry.requests import EntryParts, RequestDesk
from ibisjunction.entry.view import FleetView
from ibisjunction.events import Event, log_event
from ibisjunction.fleet.report import ReadState, Standing, encode_report
from ibisjunction.mailbox import Mailbox
from ibisjunction.membership.leader import LeaderTracker
from ibisjunction.membership.messages import Heartbeat, LeaseRenewal
from ibisjunction.membership.task import HeartbeatDue
from ibisjunction.peers.link import PeerNetwork, Received

_logger = logging.getLogger(__name__)

_HEARTBEAT_MS: Final = 200


class EntryMembership:
    """The entry VM's side of its membership; owns the copy of the state."""

    def __init__(
        self,
        vm: str,
        incarnation: int,
        seeds: tuple[str, ...],
        clock: Clock,
        peers: PeerNetwork,
        desk: RequestDesk,
        parts: EntryParts,
    ) -> None:
        """Subscribe to the messages of the leader."""
        self._vm = vm
        self._incarnation = incarnation
        self._seeds = seeds
        self._clock = clock
        self._peers = peers
        self._lease = parts.lease
        self._desk = desk
        self._budget = parts.budget
        self._tickets = parts.tickets
        self._replica = FleetReplica()
        self._tracker = LeaderTracker(_HEARTBEAT_MS)
        self._relays = RelayChooser(clock.now())
        self._relay_in_use = ''
        self._was_held = False
        self._is_leaving = False
        self._vms: tuple[str, ...] = ()
        #: False once this VM is about to leave.
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
        """Post a heartbeat request at each interval until cancelled."""
        while True:
            self.mailbox.post(HeartbeatDue())
            await asyncio.sleep(in_seconds(_HEARTBEAT_MS))

    def handle(self, message: Any) -> None:
        """Process one message."""
        now = self._clock.now()
        match message:
            case HeartbeatDue():
                self._send_heartbeat(now)
                self._report_lease(now)
            case SeedsChanged(seeds=seeds):
                self._seeds = seeds
            case Received(message=LeaderHint(vm=vm, term=term)):
                self._tracker.take_hint(vm, term)
            case Received(sender=sender, message=LeaseRenewal() as renewal):
                self._tracker.hear(sender, renewal.term, now)
                self._relays.hear_leader(now)
                self._take_renewal(renewal, now)
            case Received(message=CommittedEntries() as entries):
                self._take_entries(entries)
            case Received(message=StateSnapshot() as snapshot):
                self._take_snapshot(snapshot)
            case Received(message=RelayedHeartbeat() as relayed):
                self._relay(relayed, now)
            case Received(sender=sender, message=RelayedAnswer() as answer):
                self._take_relayed(sender, answer, now)
            case ReadState(reply=reply):
                reply.post(self._report(now))

    def _report(self, now: int) -> bytes:
        state = self._replica.state
        standing = Standing(
            vm=self._vm,
            role='entry',
            duty='serving' if self._lease.is_held(now) else 'waiting',
            term=0,
            index=self._replica.index,
            leader=self._tracker.find(now) or '',
            voters=tuple(voter.vm for voter in state.voters),
            vms=self._vms,
        )
        return encode_report(standing, state)

    def _take_renewal(self, renewal: LeaseRenewal, now: int) -> None:
        self._lease.renew(renewal, self._replica.index)
        self._learn_vms(renewal.vms)
        self._report_lease(now)

    def _take_entries(self, entries: CommittedEntries | None) -> None:
        if entries is not None and self._replica.apply_entries(entries):
            self._publish()

    def _take_snapshot(self, snapshot: StateSnapshot | None) -> None:
        if snapshot is not None and self._replica.install(snapshot):
            self._publish()

    def _relay(self, relayed: RelayedHeartbeat, now: int) -> None:
        """Pass on the heartbeat of a VM that does not reach the leader."""
        leader = self._tracker.find(now)
        if leader is not None:
            self._peers.send(leader, relayed)

    def _take_relayed(
        self,
        sender: str,
        answer: RelayedAnswer,
        now: int,
    ) -> None:
        """Take an answer that is for this VM, or pass it on."""
        if answer.vm != self._vm:
            self._peers.send(answer.vm, answer)
            return
        self._relays.hear_relay(sender, now)
        self._take_entries(answer.entries)
        self._take_snapshot(answer.snapshot)
        self._take_renewal(answer.renewal, now)

    def leave(self) -> None:
        """Tell the leader that this VM sends nothing any more."""
        self._is_leaving = True
        leader = self._tracker.find(self._clock.now())
        if leader is not None:
            self._peers.send(leader, ForgetVm(self._vm, self._incarnation))

    def _learn_vms(self, vms: tuple[str, ...]) -> None:
        if vms != self._vms:
            self._vms = vms
            self._budget.vms = max(1, len(vms))
            self._tickets.post(DispatchersKnown(vms))

    def _publish(self) -> None:
        self._lease.advance(self._replica.index)
        self._desk.update_view(
            FleetView(
                self._replica.state,
                self._replica.index,
                self._desk.view,
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
        )
        targets = self._tracker.choose_targets(self._list_control_vms(), now)
        for vm in targets:
            self._peers.send(vm, heartbeat)
        report = LoadReport(
            self._desk.take_loads(),
            self._desk.take_speeds(),
        )
        relay = self._choose_relay(now)
        if relay:
            self._peers.send(relay, RelayedHeartbeat(heartbeat, report))
        elif len(targets) == 1 and (report.loads or report.speeds):
            self._peers.send(targets.pop(), report)

    def _choose_relay(self, now: int) -> str:
        relay = self._relays.choose(self._list_others(), now)
        if relay != self._relay_in_use:
            self._relay_in_use = relay
            log_event(
                _logger,
                Event.RELAY_CHOSEN if relay else Event.LEADER_REACHED,
                logging.WARNING if relay else logging.INFO,
                vm=self._vm,
                relay=relay,
            )
        return relay

    def _list_others(self) -> tuple[str, ...]:
        """Return the other entry VMs, beginning after this one."""
        after = tuple(vm for vm in self._vms if vm > self._vm)
        before = tuple(vm for vm in self._vms if vm < self._vm)
        return after + before

    def _list_control_vms(self) -> tuple[str, ...]:
        """Return whom to ask for the leader: known voters, then the seeds."""
        voters = tuple(voter.vm for voter in self._replica.state.voters)
        return tuple(dict.fromkeys((*voters, *self._seeds)))

    def _report_lease(self, now: int) -> None:
        is_held = self._lease.is_held(now)
        if is_held == self._was_held:
            return
        self._was_held = is_held
        log_event(
            _logger,
            Event.LEASE_HELD if is_held else Event.LEASE_LOST,
            logging.INFO if is_held else logging.WARNING,
            vm=self._vm,
            index=self._replica.index,
        )
