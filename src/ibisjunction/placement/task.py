"""Runs the planner on the leader and proposes its commands."""

import asyncio
import logging
from typing import Any

from ibisjunction.clock import Clock
from ibisjunction.control.client import ControlClient
from ibisjunction.control.commands import (
    AssignDispatcher,
    AssignShards,
    BeginMove,
    Command,
    CompleteMove,
    RemoveUpstream,
    RemoveVm,
)
from ibisjunction.control.messages import ControlView, Leadership, LiveVms
from ibisjunction.control.state import ControlState
from ibisjunction.dispatch.messages import UpstreamSpeed
from ibisjunction.events import Event, log_event
from ibisjunction.mailbox import Mailbox
from ibisjunction.ownership.messages import ShardReleased, UpstreamLost
from ibisjunction.peers.link import PeerNetwork, Received
from ibisjunction.placement.losses import LossTable
from ibisjunction.placement.planner import PlacementInput, plan_commands
from ibisjunction.services.collection import parse_collection
from ibisjunction.settings import Settings

_logger = logging.getLogger(__name__)


class PlacementTask:
    """Plans while this VM leads the control log.

    Messages are handled while proposals are under way, so that each plan is
    based on the latest state and reports.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        peers: PeerNetwork,
        control: ControlClient,
    ) -> None:
        """Start as a follower without a control state."""
        self._clock = clock
        self._control = control
        self._losses = LossTable(settings.timing)
        self._speeds: dict[str, UpstreamSpeed] = {}
        self._state: ControlState | None = None
        self._live_vms: frozenset[str] | None = None
        self._is_leader = False
        self._parsed_revision = 0
        self._shard_counts: dict[str, int] = {}
        self._plan_requested = asyncio.Event()
        self.mailbox: Mailbox[Any] = Mailbox()
        peers.subscribe(
            self.mailbox, ShardReleased, UpstreamLost, UpstreamSpeed
        )

    async def run(self) -> None:
        """Handle messages until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_planner(), name='planner')
            while True:
                self.handle(await self.mailbox.get())

    def handle(self, message: Any) -> None:
        """Process one message."""
        match message:
            case ControlView(state=state):
                self._state = state
            case Leadership(is_leader=is_leader):
                self._is_leader = is_leader
                self._speeds.clear()
            case LiveVms(vms=live_vms, settled=settled):
                self._live_vms = live_vms if settled else None
            case Received(message=ShardReleased() as released):
                self._losses.record_release(released)
            case Received(message=UpstreamLost() as lost):
                self._losses.record_loss(lost, self._clock.now())
            case Received(message=UpstreamSpeed() as report):
                self._record_speed(report)
        self._plan_requested.set()

    def _record_speed(self, report: UpstreamSpeed) -> None:
        """Record a speed, or that a new process has no measured speed yet.

        A new dispatcher has no measurement for some time, so a report without a
        speed does not replace an earlier speed of the same process.
        """
        recorded = self._speeds.get(report.upstream)
        is_same_process = (
            recorded is not None and recorded.incarnation == report.incarnation
        )
        if report.speed or not is_same_process:
            self._speeds[report.upstream] = report

    async def _run_planner(self) -> None:
        while True:
            await self._plan_requested.wait()
            self._plan_requested.clear()
            commands = self._plan()
            for command in commands:
                _log_command(command)
            # Proposed together, the commands share a few syncs of the log.
            # They are sent in order, and each names the fence or epoch that
            # it replaces.
            await asyncio.gather(*map(self._control.propose, commands))

    def _plan(self) -> list[Command]:
        state = self._state
        if not self._is_leader or state is None or self._live_vms is None:
            return []
        if state.revision != self._parsed_revision:
            specs = parse_collection(state.files)
            self._shard_counts = {spec.service: spec.shards for spec in specs}
            self._parsed_revision = state.revision
        now = self._clock.now()
        self._losses.update(state, now)
        return plan_commands(
            PlacementInput(
                state=state,
                live_vms=self._live_vms,
                shards=self._shard_counts,
                lost=self._losses.lost,
                expired=self._losses.find_expired(state, now),
                ended=self._losses.find_ended(state, now),
                speeds={
                    upstream: report.speed
                    for upstream, report in self._speeds.items()
                },
            ),
        )


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
        case CompleteMove(service=service, shard=shard, fence=fence):
            log_event(
                _logger,
                Event.MOVE_COMPLETED,
                service=service,
                shard=shard,
                ended_fence=fence,
            )
        case RemoveVm(vm=vm):
            log_event(_logger, Event.VM_LOST, vm=vm)
        case RemoveUpstream(upstream=upstream):
            log_event(_logger, Event.UPSTREAM_REMOVED, upstream=upstream)
