"""Answers questions about this daemon and forwards changes."""

from dataclasses import replace
from typing import Any

from ibisjunction.admin.model import GrantStatus, StatusAnswer
from ibisjunction.clock import Clock
from ibisjunction.control.messages import ControlView, LeaderKnown
from ibisjunction.control.records import UpstreamRecord, VoterRecord
from ibisjunction.control.state import ControlState
from ibisjunction.mailbox import Mailbox
from ibisjunction.membership.messages import LeaseExtended


class AdminTask:
    """Holds what the administration API reports."""

    def __init__(self, vm: str, clock: Clock) -> None:
        """Start without a view and not ready."""
        self._vm = vm
        self._clock = clock
        self._view = ControlView(0, ControlState())
        self._lease_until_ms = 0
        self._leader: str | None = None
        self.is_draining = False
        self.mailbox: Mailbox[Any] = Mailbox()

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            match await self.mailbox.get():
                case ControlView() as view:
                    self._view = view
                case LeaseExtended(until_ms=until_ms):
                    self._lease_until_ms = until_ms
                case LeaderKnown(vm=leader):
                    self._leader = leader

    def is_ready(self) -> bool:
        """Return whether the balancer may send requests to this VM."""
        is_leased = self._clock.now() < self._lease_until_ms
        return is_leased and not self.is_draining

    def knows(self, record: UpstreamRecord) -> bool:
        """Return whether an announcement only renews what is recorded."""
        known = self._view.state.upstreams.get(record.upstream)
        return known is not None and replace(known, draining=False) == record

    def list_voters(self) -> tuple[VoterRecord, ...]:
        """Return the voters, or nothing while the settings name them."""
        return self._view.state.voters

    def report_status(self) -> StatusAnswer:
        """Return the state as this daemon sees it."""
        state = self._view.state
        return StatusAnswer(
            vm=self._vm,
            ready=self.is_ready(),
            revision=state.revision,
            leader=self._leader,
            voters=[voter.node for voter in state.voters],
            index=self._view.index,
            vms=sorted(state.vms),
            upstreams=[
                _describe_upstream(state, upstream)
                for upstream in sorted(state.upstreams)
            ],
        )


def _describe_upstream(state: ControlState, upstream: str) -> GrantStatus:
    record = state.upstreams[upstream]
    dispatcher = state.dispatchers.get(upstream)
    return GrantStatus(
        upstream=upstream,
        service=record.service,
        address=record.address,
        shards=len(state.grants_of(upstream)),
        dispatcher=None if dispatcher is None else dispatcher.vm,
        draining=record.draining,
    )
