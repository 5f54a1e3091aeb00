"""Sends heartbeats and maintains the VM lease and a copy of the state."""

import asyncio
import logging
from dataclasses import dataclass
from typing import Any

from ibisjunction.clock import Clock, in_seconds
from ibisjunction.control.codec import encode_command
from ibisjunction.control.messages import (
    CommittedEntries,
    ControlView,
    LeaderHint,
    LeaderUpdate,
    ProposeCommand,
    StateSnapshot,
)
from ibisjunction.control.replica import ControlReplica
from ibisjunction.control.state import ControlState
from ibisjunction.events import Event, log_event
from ibisjunction.mailbox import Mailbox
from ibisjunction.membership.leader import LeaderTracker
from ibisjunction.membership.leases import VmLease
from ibisjunction.membership.messages import (
    Heartbeat,
    LeaseExtended,
    LeaseRenewal,
)
from ibisjunction.membership.registration import (
    Registration,
    build_registration,
)
from ibisjunction.peers.link import PeerNetwork, Received
from ibisjunction.settings import Settings
from ibisjunction.settings.loader import parse_address

_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class HeartbeatDue:
    """Requests that the task sends its next heartbeat."""


class MembershipTask:
    """The VM's side of membership.

    ``listeners`` receive :class:`ControlView`, :class:`LeaderUpdate` and
    :class:`LeaseExtended`.
    """

    def __init__(
        self,
        settings: Settings,
        incarnation: int,
        clock: Clock,
        peers: PeerNetwork,
        listeners: list[Mailbox[Any]],
    ) -> None:
        """Subscribe to the messages of the leader."""
        self._settings = settings
        self._incarnation = incarnation
        self._clock = clock
        self._peers = peers
        self._listeners = listeners
        self._replica = ControlReplica()
        self._lease = VmLease(incarnation, settings.timing.clock_error)
        self._registration = Registration(settings.vm, incarnation)
        self._was_lease_held = False
        self._tracker = LeaderTracker(settings.timing.heartbeat_ms)
        self._published_leader = LeaderUpdate(None, self._list_voters())
        self.mailbox: Mailbox[Any] = Mailbox()
        peers.subscribe(
            self.mailbox,
            LeaseRenewal,
            CommittedEntries,
            StateSnapshot,
            LeaderHint,
        )

    @property
    def state(self) -> ControlState:
        """The control state as this VM has applied it."""
        return self._replica.state

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            self.handle(await self.mailbox.get())

    async def run_timer(self) -> None:
        """Post a heartbeat request at each interval until cancelled."""
        interval = in_seconds(self._settings.timing.heartbeat_ms)
        while True:
            self.mailbox.post(HeartbeatDue())
            await asyncio.sleep(interval)

    def handle(self, message: Any) -> None:
        """Process one message."""
        match message:
            case HeartbeatDue():
                self._send_heartbeat()
                self._register()
                self._log_lease_change()
            case Received(message=LeaderHint(vm=vm, term=term)):
                self._tracker.record_hint(vm, term)
            case Received(sender=sender, message=LeaseRenewal() as renewal):
                self._tracker.record_leader(
                    sender, renewal.term, self._clock.now()
                )
                self._publish_leader()
                if self._lease.renew(renewal, self._replica.index):
                    self._publish_lease()
            case Received(message=CommittedEntries() as entries):
                self._publish_state(self._replica.apply_entries(entries))
            case Received(message=StateSnapshot() as snapshot):
                self._publish_state(self._replica.install_snapshot(snapshot))

    def _send_heartbeat(self) -> None:
        heartbeat = Heartbeat(
            vm=self._settings.vm,
            incarnation=self._incarnation,
            sent_at=self._clock.now(),
            applied_index=self._replica.index,
            revision=self._replica.state.revision,
            is_registered=self._registration.is_registered,
        )
        targets = self._tracker.choose_targets(
            self._list_voters(),
            self._clock.now(),
        )
        for vm in sorted(targets):
            self._peers.send(vm, heartbeat)
        self._publish_leader()

    def _list_voters(self) -> tuple[str, ...]:
        voters = self._replica.state.voters or self._settings.voters
        return tuple(voter.vm for voter in voters)

    def _publish_leader(self) -> None:
        leader = self._tracker.find_leader(self._clock.now())
        announcement = LeaderUpdate(leader, self._list_voters())
        if announcement != self._published_leader:
            self._published_leader = announcement
            self._notify(announcement)

    def _register(self) -> None:
        """Propose the registration of this VM while the state lacks it.

        The proposal is repeated under the same id with each heartbeat until it
        is applied. The leader counts the VM as live again once it has renewed
        the lease.
        """
        if not self._registration.is_missing:
            return
        if not self._lease.is_held(self._clock.now()):
            return
        command = build_registration(self._settings, self._incarnation)
        proposal = ProposeCommand(
            f'{self._settings.vm}-{self._incarnation}-register-'
            f'{self._replica.index}',
            encode_command(command),
        )
        leader = self._tracker.find_leader(self._clock.now())
        for vm in (leader,) if leader else self._list_voters():
            self._peers.send(vm, proposal)

    def _publish_state(self, changed: bool) -> None:
        if not changed:
            return
        view = self._replica.view()
        self._registration.update(view.state)
        self._update_addresses(view)
        self._notify(view)
        self._lease.retry_pending(self._replica.index)
        self._publish_lease()

    def _update_addresses(self, view: ControlView) -> None:
        for record in view.state.vms.values():
            self._peers.set_address(record.vm, parse_address(record.peer))
        for voter in view.state.voters:
            self._peers.set_address(voter.vm, parse_address(voter.peer))

    def _publish_lease(self) -> None:
        """Publish the lease if the VM is registered.

        An unregistered VM may not use its lease, because dispatchers survey the
        tickets of registered VMs only.
        """
        if not self._registration.is_registered:
            return
        self._notify(LeaseExtended(self._lease.until_ms))
        self._log_lease_change()

    def _log_lease_change(self) -> None:
        is_held = self._lease.is_held(self._clock.now())
        if is_held == self._was_lease_held:
            return
        self._was_lease_held = is_held
        event = Event.LEASE_HELD if is_held else Event.LEASE_LOST
        log_event(_logger, event, vm=self._settings.vm)

    def _notify(self, message: object) -> None:
        for listener in self._listeners:
            listener.post(message)
