"""Runs the planner on the leader and proposes its commands."""

import logging
from typing import Any

from ibisjunction.control.client import ControlClient
from ibisjunction.control.commands import (
    AssignDispatcher,
    AssignShards,
    BeginMove,
    Command,
    RemoveVm,
)
from ibisjunction.control.messages import ControlView, Leadership, LiveVms
from ibisjunction.events import Event, log_event
from ibisjunction.mailbox import Mailbox
from ibisjunction.placement.planner import PlacementInput, plan_commands
from ibisjunction.services.collection import parse_collection

_logger = logging.getLogger(__name__)


class PlacementTask:
    """Plans while this VM leads the control log."""

    def __init__(self, control: ControlClient) -> None:
        """Start as a follower without a view."""
        self._control = control
        self._view: ControlView | None = None
        self._is_leader = False
        self._revision = 0
        self._shards: dict[str, int] = {}
        self.mailbox: Mailbox[Any] = Mailbox()

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            message = await self.mailbox.get()
            match message:
                case ControlView():
                    self._view = message
                case Leadership(is_leader=is_leader):
                    self._is_leader = is_leader
                case LiveVms(vms=live_vms, settled=True):
                    await self._plan(live_vms)

    async def _plan(self, live_vms: frozenset[str]) -> None:
        if not self._is_leader or self._view is None:
            return
        state = self._view.state
        if state.revision != self._revision:
            specs = parse_collection(state.files)
            self._shards = {spec.service: spec.shards for spec in specs}
            self._revision = state.revision
        known = PlacementInput(state, live_vms, self._shards)
        for command in plan_commands(known):
            _log_command(command)
            await self._control.propose(command)


def _log_command(command: Command) -> None:
    match command:
        case AssignDispatcher(upstream=upstream, vm=vm):
            log_event(
                _logger,
                Event.DISPATCHER_ASSIGNED,
                upstream=upstream,
                vm=vm,
            )
        case AssignShards(service=service, upstream=upstream, shards=shards):
            log_event(
                _logger,
                Event.SHARDS_ASSIGNED,
                service=service,
                upstream=upstream,
                shards=len(shards),
            )
        case BeginMove(service=service, shard=shard, to_upstream=upstream):
            log_event(
                _logger,
                Event.MOVE_STARTED,
                service=service,
                shard=shard,
                to=upstream,
            )
        case RemoveVm(vm=vm):
            log_event(_logger, Event.VM_LOST, vm=vm)
