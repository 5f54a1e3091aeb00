"""Puts the tasks of one daemon together and runs them."""

import contextlib
import logging
import random
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any, Final

from ibisjunction.admin.server import AdminContext, make_admin_server
from ibisjunction.admin.task import AdminTask
from ibisjunction.clock import Clock, SystemClock
from ibisjunction.control.client import ControlClient
from ibisjunction.control.commands import RegisterVm
from ibisjunction.control.messages import (
    CommittedEntries,
    ProposalResult,
    ProposeCommand,
    StateSnapshot,
)
from ibisjunction.control.records import VmRecord
from ibisjunction.control.task import ControlTask
from ibisjunction.dispatch.messages import (
    TicketCancel,
    TicketDone,
    TicketGranted,
    TicketRefused,
    TicketRequest,
)
from ibisjunction.dispatch.task import DispatchTask
from ibisjunction.events import Event, log_event
from ibisjunction.mailbox import run_task
from ibisjunction.membership.messages import Heartbeat, LeaseRenewal
from ibisjunction.membership.task import MembershipTask
from ibisjunction.ownership.task import OwnershipTask
from ibisjunction.peers.authentication import Authenticator
from ibisjunction.peers.codec import Codec
from ibisjunction.peers.link import PeerTask
from ibisjunction.placement.task import PlacementTask
from ibisjunction.routing.request import RequestContext
from ibisjunction.routing.server import CallerServer
from ibisjunction.routing.task import RoutingTask
from ibisjunction.settings import Settings
from ibisjunction.upstreams.pool import ConnectionPool

_logger = logging.getLogger(__name__)

_NS_PER_MS: Final = 1_000_000
#: Every message that crosses the network between daemons.
PEER_MESSAGES: Final = (
    CommittedEntries,
    Heartbeat,
    LeaseRenewal,
    ProposalResult,
    ProposeCommand,
    StateSnapshot,
    TicketCancel,
    TicketDone,
    TicketGranted,
    TicketRefused,
    TicketRequest,
)


@dataclass(frozen=True, slots=True)
class Daemon:
    """A running daemon."""

    settings: Settings
    admin: AdminTask
    callers: CallerServer

    async def drain(self) -> int:
        """Shut down gracefully.

        Readiness goes first, so that the balancer sends no new requests; then
        requests in flight are waited for.

        :return: the number of requests cut off at the timeout.
        """
        log_event(_logger, Event.DAEMON_DRAINING, vm=self.settings.vm)
        self.admin.is_draining = True
        return await self.callers.drain(self.settings.timing.drain_ms)


@contextlib.asynccontextmanager
async def run_daemon(settings: Settings) -> AsyncIterator[Daemon]:
    """Run a daemon for the duration of the block."""
    clock = SystemClock()
    # Wall-clock time grows across restarts, unlike the time since boot.
    incarnation = time.time_ns() // _NS_PER_MS
    peers = PeerTask(
        settings.vm,
        incarnation,
        settings.peer,
        Codec(PEER_MESSAGES),
        Authenticator(settings.keys),
    )
    for voter in settings.voters:
        peers.set_address(voter.vm, voter.peer)
    async with contextlib.AsyncExitStack() as stack:
        control = ControlClient(settings, incarnation, peers)
        admin = AdminTask(settings.vm, clock)
        callers = await _start_tasks(
            stack,
            settings,
            incarnation,
            clock,
            peers,
            control,
            admin,
        )
        server = make_admin_server(AdminContext(settings, admin, control))
        server.listen(settings.admin.port, settings.admin.host)
        stack.callback(server.stop)
        await control.propose(RegisterVm(_describe_vm(settings, incarnation)))
        callers.start()
        log_event(_logger, Event.DAEMON_STARTED, vm=settings.vm)
        yield Daemon(settings, admin, callers)
        log_event(_logger, Event.DAEMON_STOPPED, vm=settings.vm)


async def _start_tasks(
    stack: contextlib.AsyncExitStack,
    settings: Settings,
    incarnation: int,
    clock: Clock,
    peers: PeerTask,
    control: ControlClient,
    admin: AdminTask,
) -> CallerServer:
    dispatch = DispatchTask(settings.vm, clock, peers)
    ownership = OwnershipTask(settings, clock, dispatch.mailbox)
    routing = RoutingTask(settings.vm, clock, peers)
    placement = PlacementTask(control)
    listeners = [
        admin.mailbox,
        dispatch.mailbox,
        ownership.mailbox,
        routing.mailbox,
        placement.mailbox,
    ]
    membership = MembershipTask(
        settings,
        incarnation,
        clock,
        peers,
        listeners,
    )
    pool = ConnectionPool(clock)
    stack.push_async_callback(pool.close)
    await stack.enter_async_context(peers.run())
    tasks: list[Any] = [control, admin, dispatch, ownership, routing, placement]
    if settings.is_voter:
        voter = ControlTask(settings, clock, peers, [placement.mailbox])
        tasks.append(voter)
        await stack.enter_async_context(
            run_task(voter.run_timer(), 'control timer'),
        )
    for task in tasks:
        await stack.enter_async_context(
            run_task(task.run(), type(task).__name__),
        )
    for timed in (membership, dispatch, ownership):
        await stack.enter_async_context(
            run_task(timed.run_timer(), f'{type(timed).__name__} timer'),
        )
    await stack.enter_async_context(run_task(membership.run(), 'membership'))
    context = RequestContext(
        clock,
        routing.mailbox,
        pool,
        random.Random(incarnation),
    )
    return CallerServer(context, settings.http)


def _describe_vm(settings: Settings, incarnation: int) -> VmRecord:
    return VmRecord(
        vm=settings.vm,
        peer=str(settings.peer),
        http=str(settings.http),
        region=settings.region,
        failure_domain=settings.failure_domain,
        incarnation=incarnation,
    )
