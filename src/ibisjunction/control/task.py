"""Runs a replica of the control log on a voter."""

import asyncio
import logging
from dataclasses import dataclass
from typing import Any

from ibisjunction.clock import Clock, in_seconds
from ibisjunction.control.codec import decode_command, encode_state
from ibisjunction.control.commands import Accepted, CommandOutcome, Rejected
from ibisjunction.control.messages import (
    CommittedEntries,
    Leadership,
    LiveVms,
    ProposalResult,
    ProposeCommand,
    StateSnapshot,
)
from ibisjunction.control.state import ControlState, apply_command
from ibisjunction.mailbox import Mailbox
from ibisjunction.membership.leases import LeaseTable
from ibisjunction.membership.messages import (
    FetchReports,
    Heartbeat,
    VmReports,
)
from ibisjunction.peers.link import PeerNetwork, Received
from ibisjunction.settings import Settings

_logger = logging.getLogger(__name__)

_TICK_MS = 50


@dataclass(frozen=True, slots=True)
class Tick:
    """Tells the task to look at the clock."""


class ControlTask:
    """The control log on one VM; the first voter leads.

    ``listeners`` receive :class:`Leadership` and :class:`LiveVms`.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        peers: PeerNetwork,
        listeners: list[Mailbox[Any]],
    ) -> None:
        """Subscribe to proposals and heartbeats."""
        self._settings = settings
        self._clock = clock
        self._peers = peers
        self._listeners = listeners
        self._log: list[bytes] = []
        self._state = ControlState()
        self._is_leader = settings.voters[0].vm == settings.vm
        timing = settings.timing
        self._leases = LeaseTable(
            timing.vm_lease_ms,
            timing.clock_error,
            clock.now(),
        )
        self.mailbox: Mailbox[Any] = Mailbox()
        peers.subscribe(self.mailbox, ProposeCommand, Heartbeat, FetchReports)

    async def run(self) -> None:
        """Handle messages until cancelled."""
        self._notify(Leadership(self._is_leader, 1))
        while True:
            self.handle(await self.mailbox.get())

    async def run_timer(self) -> None:
        """Post ticks until cancelled."""
        while True:
            await asyncio.sleep(in_seconds(_TICK_MS))
            self.mailbox.post(Tick())

    def handle(self, message: Any) -> None:
        """Process one message."""
        if not self._is_leader:
            return
        now = self._clock.now()
        match message:
            case Received(sender=sender, message=ProposeCommand() as proposal):
                self._commit(sender, proposal)
            case Received(sender=sender, message=Heartbeat() as heartbeat):
                self._answer_heartbeat(sender, heartbeat, now)
            case Received(sender=sender, message=FetchReports() as fetch):
                self._peers.send(
                    sender,
                    VmReports(fetch.request_id, self._leases.revisions(now)),
                )
            case Tick():
                self._notify(
                    LiveVms(
                        self._leases.live_vms(now),
                        self._leases.is_settled(now),
                    ),
                )

    def _commit(self, sender: str, proposal: ProposeCommand) -> None:
        command = decode_command(proposal.command)
        self._state, outcome = apply_command(self._state, command)
        self._log.append(proposal.command)
        entries = CommittedEntries(len(self._log), [proposal.command])
        for vm in self._leases.reports:
            self._peers.send(vm, entries)
        self._peers.send(sender, _to_result(proposal.proposal_id, outcome))

    def _answer_heartbeat(
        self,
        sender: str,
        heartbeat: Heartbeat,
        now: int,
    ) -> None:
        committed = len(self._log)
        if heartbeat.applied_index == 0 and committed:
            snapshot = StateSnapshot(committed, encode_state(self._state))
            self._peers.send(sender, snapshot)
        elif heartbeat.applied_index < committed:
            missing = self._log[heartbeat.applied_index :]
            first_index = heartbeat.applied_index + 1
            self._peers.send(sender, CommittedEntries(first_index, missing))
        renewal = self._leases.accept(heartbeat, now, 1, committed)
        self._peers.send(sender, renewal)

    def _notify(self, message: object) -> None:
        for listener in self._listeners:
            listener.post(message)


def _to_result(proposal_id: str, outcome: CommandOutcome) -> ProposalResult:
    match outcome:
        case Accepted(revision=revision, level=level):
            return ProposalResult(
                proposal_id,
                accepted=True,
                revision=revision,
                level=level,
            )
        case Rejected(detail=detail):
            return ProposalResult(proposal_id, accepted=False, detail=detail)
