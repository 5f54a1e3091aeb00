"""Puts the tasks of one daemon together and runs them."""

import asyncio
import contextlib
import logging
import random
import time
from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final, Protocol

from ibisjunction.admin.context import AdminContext
from ibisjunction.admin.server import make_admin_server
from ibisjunction.admin.task import AdminTask
from ibisjunction.clock import Clock, SystemClock
from ibisjunction.control.client import ControlClient
from ibisjunction.control.commands import RegisterVm
from ibisjunction.control.frames import StorageError
from ibisjunction.control.messages import (
    CommittedEntries,
    LeaderHint,
    ProposalResult,
    ProposeCommand,
    ReplicaMessage,
    StateSnapshot,
)
from ibisjunction.control.storage import find_identity, open_log
from ibisjunction.control.task import ControlTask, OpenedLog
from ibisjunction.dispatch.messages import (
    CheckTickets,
    SurveyTickets,
    TicketCancel,
    TicketDone,
    TicketGranted,
    TicketRefused,
    TicketRequest,
    TicketsHeld,
    UpstreamSpeed,
)
from ibisjunction.dispatch.task import DispatchTask
from ibisjunction.events import Event, log_event
from ibisjunction.ledger.messages import Holder
from ibisjunction.ledger.task import LEDGER_MESSAGES, LedgerTask
from ibisjunction.mailbox import Mailbox, run_task
from ibisjunction.membership.messages import (
    FetchReports,
    Heartbeat,
    LeaseRenewal,
    VmReports,
)
from ibisjunction.membership.registration import describe_vm
from ibisjunction.membership.reports import ReportsClient
from ibisjunction.membership.task import MembershipTask
from ibisjunction.metrics import MetricsTask
from ibisjunction.ownership.messages import ShardReleased, UpstreamLost
from ibisjunction.ownership.task import GrantCaller, OwnershipTask
from ibisjunction.peers.authentication import Authenticator
from ibisjunction.peers.codec import Codec
from ibisjunction.peers.link import PeerNetwork, PeerTask
from ibisjunction.placement.task import PlacementTask
from ibisjunction.routing.model import RequestContext
from ibisjunction.routing.server import CallerServer
from ibisjunction.routing.task import RoutingTask
from ibisjunction.settings import Settings
from ibisjunction.upstreams.cancellation import (
    CancelCaller,
    CancellationTask,
    call_cancel,
)
from ibisjunction.upstreams.grants import GrantConnections
from ibisjunction.upstreams.pool import ConnectionPool

_logger = logging.getLogger(__name__)

_NS_PER_MS: Final = 1_000_000
#: Every message that crosses the network between daemons.
PEER_MESSAGES: Final = (
    CheckTickets,
    CommittedEntries,
    FetchReports,
    Heartbeat,
    LeaderHint,
    LeaseRenewal,
    ProposalResult,
    ProposeCommand,
    ShardReleased,
    ReplicaMessage,
    StateSnapshot,
    SurveyTickets,
    TicketCancel,
    TicketDone,
    TicketGranted,
    TicketRefused,
    TicketRequest,
    *LEDGER_MESSAGES,
    VmReports,
    TicketsHeld,
    UpstreamLost,
    UpstreamSpeed,
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


class RunnableTask(Protocol):
    """A task with a mailbox."""

    mailbox: Mailbox[Any]

    async def run(self) -> None:
        """Handle messages until cancelled."""


class TimedTask(RunnableTask, Protocol):
    """A task that also has a timer."""

    async def run_timer(self) -> None:
        """Post periodic messages until cancelled."""


@dataclass(frozen=True, slots=True)
class DaemonTasks:
    """The tasks of one daemon; ``voter`` exists on VMs with a replica."""

    client: ControlClient
    reports: ReportsClient
    metrics: MetricsTask
    admin: AdminTask
    dispatch: DispatchTask
    ownership: OwnershipTask
    routing: RoutingTask
    placement: PlacementTask
    membership: MembershipTask
    voter: ControlTask | None
    cancellation: CancellationTask
    ledger: LedgerTask

    def with_timer(self) -> list[TimedTask]:
        """Return the tasks that post periodic messages to themselves."""
        timed: list[TimedTask] = [
            self.membership,
            self.dispatch,
            self.ownership,
            self.ledger,
        ]
        return timed if self.voter is None else [*timed, self.voter]

    def all(self) -> list[RunnableTask]:
        """Return every task."""
        return [
            self.client,
            self.reports,
            self.metrics,
            self.admin,
            self.routing,
            self.placement,
            self.cancellation,
            *self.with_timer(),
            *self._list_storage(),
        ]

    def _list_storage(self) -> list[RunnableTask]:
        return [] if self.voter is None else [self.voter.storage]


def build_tasks(
    settings: Settings,
    incarnation: int,
    clock: Clock,
    peers: PeerNetwork,
    call: GrantCaller,
    cancel: CancelCaller,
    opened: OpenedLog | None = None,
) -> DaemonTasks:
    """Connect the mailboxes of a daemon's tasks.

    ``opened`` are the files of this VM's replica of the control log, if any.
    """
    client = ControlClient(settings, incarnation, peers)
    reports = ReportsClient(settings, peers)
    admin = AdminTask(settings.vm, clock)
    grants: Mailbox[Any] = Mailbox()
    dispatch = DispatchTask(settings, clock, peers, grants)
    ownership = OwnershipTask(
        settings,
        clock,
        peers,
        dispatch.mailbox,
        call,
        grants,
    )
    routing = RoutingTask(settings.vm, clock, peers)
    ledger = LedgerTask(
        Holder(settings.vm, incarnation),
        clock,
        peers,
        [routing.mailbox],
    )
    placement = PlacementTask(settings, clock, peers, client)
    listeners = [
        task.mailbox
        for task in (
            client,
            reports,
            admin,
            dispatch,
            ownership,
            routing,
            ledger,
            placement,
        )
    ]
    voter = None
    if opened is not None:
        voter = ControlTask(
            settings,
            clock,
            peers,
            [placement.mailbox],
            opened,
            random.Random(f'{opened.node}-{incarnation}'),
        )
    return DaemonTasks(
        client=client,
        reports=reports,
        metrics=MetricsTask(),
        admin=admin,
        dispatch=dispatch,
        ownership=ownership,
        routing=routing,
        placement=placement,
        membership=MembershipTask(
            settings,
            incarnation,
            clock,
            peers,
            listeners,
        ),
        voter=voter,
        cancellation=CancellationTask(cancel),
        ledger=ledger,
    )


def make_context(
    tasks: DaemonTasks,
    clock: Clock,
    pool: ConnectionPool,
    seed: int,
) -> RequestContext:
    """Return what the tasks of all requests share."""
    return RequestContext(
        clock,
        tasks.routing.mailbox,
        pool,
        random.Random(seed),
        tasks.ledger.mailbox,
        tasks.cancellation.mailbox,
        tasks.metrics.mailbox,
    )


@contextlib.asynccontextmanager
async def run_daemon(
    settings: Settings,
    failed: asyncio.Event,
) -> AsyncIterator[Daemon]:
    """Run a daemon for the duration of the block.

    ``failed`` is set when one of its tasks ends with an error. The others
    can't work without it, so the daemon has to be stopped then.
    """
    clock = SystemClock()
    # Wall-clock time grows across restarts, unlike the time since boot.
    incarnation = time.time_ns() // _NS_PER_MS
    peers = make_peers(settings, incarnation, clock)
    calls = GrantConnections(clock)
    async with contextlib.AsyncExitStack() as stack:
        tasks = build_tasks(
            settings,
            incarnation,
            clock,
            peers,
            calls.call,
            call_cancel,
            stack.enter_context(open_replica(settings)),
        )
        stack.push_async_callback(calls.close)
        await stack.enter_async_context(peers.run())
        await _start_tasks(stack, tasks, failed)
        pool = ConnectionPool(clock)
        stack.push_async_callback(pool.close)
        server = make_admin_server(
            AdminContext(
                settings,
                tasks.admin,
                tasks.client,
                tasks.reports,
                tasks.metrics.mailbox,
            ),
        )
        server.listen(settings.admin.port, settings.admin.host)
        stack.callback(server.stop)
        await _register(tasks.client, describe_vm(settings, incarnation))
        callers = CallerServer(
            make_context(tasks, clock, pool, incarnation),
            settings.http,
        )
        callers.start()
        log_event(_logger, Event.DAEMON_STARTED, vm=settings.vm)
        yield Daemon(settings, tasks.admin, callers)
        log_event(_logger, Event.DAEMON_STOPPED, vm=settings.vm)


async def _register(client: ControlClient, command: RegisterVm) -> None:
    while await client.propose(command) is None:
        _logger.warning('no control leader answered the registration')


@contextlib.contextmanager
def open_replica(settings: Settings) -> Iterator[OpenedLog | None]:
    """Open the files of this VM's replica of the control log, if it has any.

    :raises StorageError: if they are damaged or missing on a voter.
    """
    data_folder = settings.data_folder
    identity = None if data_folder is None else find_identity(data_folder)
    if data_folder is None or identity is None:
        if settings.is_voter:
            raise StorageError(
                data_folder or Path(),
                f'{settings.vm} is a voter, but this folder has no identity;'
                ' run with --initialise if the deployment is new, or with'
                ' --join to replace a voter that lost its disk (a lost disk'
                ' must not vote again under its old identity)',
            )
        yield None
        return
    if identity.vm != settings.vm:
        raise StorageError(data_folder, f'belongs to VM {identity.vm}')
    with open_log(data_folder) as log:
        yield OpenedLog(identity.node, log.load(), log)


async def _start_tasks(
    stack: contextlib.AsyncExitStack,
    tasks: DaemonTasks,
    failed: asyncio.Event,
) -> None:
    """Run the tasks until the stack is closed."""
    for task in tasks.all():
        name = type(task).__name__
        await stack.enter_async_context(run_task(task.run(), name, failed))
    for timed in tasks.with_timer():
        name = f'{type(timed).__name__} timer'
        await stack.enter_async_context(
            run_task(timed.run_timer(), name, failed),
        )


def make_peers(
    settings: Settings,
    incarnation: int,
    clock: Clock,
) -> PeerTask:
    """Return the peer sockets of a daemon, not yet open."""
    peers = PeerTask(
        settings.vm,
        incarnation,
        clock,
        settings.peer,
        Codec(PEER_MESSAGES),
        Authenticator(settings.keys),
    )
    for voter in settings.voters:
        peers.set_address(voter.vm, voter.peer)
    return peers
