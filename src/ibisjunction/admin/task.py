"""The daemon's state that the administration API reports."""

from dataclasses import replace
from typing import Any

from ibisjunction.admin.model import KeyAnswer, StatusAnswer, UpstreamStatus
from ibisjunction.clock import Clock
from ibisjunction.control.messages import ControlView, LeaderUpdate
from ibisjunction.control.records import UpstreamRecord
from ibisjunction.control.state import ControlState
from ibisjunction.control.terms import find_spec
from ibisjunction.mailbox import Mailbox
from ibisjunction.membership.messages import LeaseExtended
from ibisjunction.services.keys import shard_of


class AdminTask:
    """Keeps the latest control state, VM lease and leader for the API."""

    def __init__(self, vm: str, clock: Clock) -> None:
        """Start with an empty state and without a lease, thus not ready."""
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
                case LeaderUpdate(vm=leader):
                    self._leader = leader

    @property
    def state(self) -> ControlState:
        """The daemon's latest copy of the control state."""
        return self._view.state

    def find_unready_reason(self) -> str | None:
        """Return why this VM must not receive requests, or ``None``."""
        if self.is_draining:
            return 'this VM is shutting down'
        if self._clock.now() >= self._lease_until_ms:
            return (
                'this VM holds no lease, so its revision may be outdated;'
                ' check the network to the voters'
            )
        return None

    def explain_key(self, service: str, key: str) -> KeyAnswer | None:
        """Return the placement of a key.

        Returns ``None`` for a service that is not published.
        """
        state = self._view.state
        spec = find_spec(state.files, service)
        if spec is None:
            return None
        shard = shard_of(key, spec.shards)
        grant = state.grant_of(service, shard)
        if grant is None:
            return KeyAnswer(service, key, shard)
        dispatcher = state.dispatchers.get(grant.upstream)
        return KeyAnswer(
            service=service,
            key=key,
            shard=shard,
            upstream=grant.upstream,
            fence=grant.fence,
            moving_to=grant.moving_to,
            dispatcher=None if dispatcher is None else dispatcher.vm,
            epoch=None if dispatcher is None else dispatcher.epoch,
        )

    def has_record(self, record: UpstreamRecord) -> bool:
        """Return whether the state has this record already.

        Ignores ``draining``: a repeated announcement does not undo a drain.
        """
        stored = self._view.state.upstreams.get(record.upstream)
        return stored is not None and replace(stored, draining=False) == record

    def report_status(self) -> StatusAnswer:
        """Return the status of this VM and its copy of the control state."""
        state = self._view.state
        return StatusAnswer(
            vm=self._vm,
            ready=self.find_unready_reason() is None,
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


def _describe_upstream(state: ControlState, upstream: str) -> UpstreamStatus:
    record = state.upstreams[upstream]
    dispatcher = state.dispatchers.get(upstream)
    return UpstreamStatus(
        upstream=upstream,
        service=record.service,
        address=record.address,
        shards=len(state.grants_of(upstream)),
        dispatcher=None if dispatcher is None else dispatcher.vm,
        draining=record.draining,
    )
