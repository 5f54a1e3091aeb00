"""The tasks of one daemon and the connections of their mailboxes."""

import random
from dataclasses import dataclass
from typing import Any, Final, Protocol

from ibisjunction.admin.task import AdminTask
from ibisjunction.clock import Clock
from ibisjunction.control.client import ControlClient
from ibisjunction.control.messages import (
    CommittedEntries,
    LeaderHint,
    ProposalResult,
    ProposeCommand,
    ReplicaMessage,
    StateSnapshot,
)
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
from ibisjunction.ledger.messages import Holder
from ibisjunction.ledger.task import LEDGER_MESSAGES, LedgerTask
from ibisjunction.mailbox import Mailbox
from ibisjunction.membership.messages import (
    FetchReports,
    Heartbeat,
    LeaseRenewal,
    VmReports,
)
from ibisjunction.membership.reports import ReportsClient
from ibisjunction.membership.task import MembershipTask
from ibisjunction.metrics import MetricsTask
from ibisjunction.ownership.messages import ShardReleased, UpstreamLost
from ibisjunction.ownership.task import GrantCallSender, OwnershipTask
from ibisjunction.peers.link import PeerNetwork
from ibisjunction.placement.task import PlacementTask
from ibisjunction.routing.model import RequestContext
from ibisjunction.routing.task import RoutingTask
from ibisjunction.settings import Settings
from ibisjunction.upstreams.cancellation import (
    CancellationSender,
    CancellationTask,
)
from ibisjunction.upstreams.pool import ConnectionPool

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
    """The tasks of one daemon; only a VM with a replica has ``control``."""

    client: ControlClient
    reports: ReportsClient
    metrics: MetricsTask
    admin: AdminTask
    dispatch: DispatchTask
    ownership: OwnershipTask
    routing: RoutingTask
    placement: PlacementTask
    membership: MembershipTask
    control: ControlTask | None
    cancellation: CancellationTask
    ledger: LedgerTask

    def list_timed(self) -> list[TimedTask]:
        """Return the tasks that post periodic messages to themselves."""
        timed: list[TimedTask] = [
            self.membership,
            self.dispatch,
            self.ownership,
            self.ledger,
        ]
        return timed if self.control is None else [*timed, self.control]

    def list_all(self) -> list[RunnableTask]:
        """Return every task."""
        return [
            self.client,
            self.reports,
            self.metrics,
            self.admin,
            self.routing,
            self.placement,
            self.cancellation,
            *self.list_timed(),
            *self._list_storage(),
        ]

    def _list_storage(self) -> list[RunnableTask]:
        return [] if self.control is None else [self.control.storage]


def build_tasks(
    settings: Settings,
    incarnation: int,
    clock: Clock,
    peers: PeerNetwork,
    send_grant_call: GrantCallSender,
    send_cancellation: CancellationSender,
    opened: OpenedLog | None = None,
) -> DaemonTasks:
    """Create a daemon's tasks and connect their mailboxes.

    ``opened`` is the open log of this VM's replica, if it has one.
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
        send_grant_call,
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
    control = None
    if opened is not None:
        control = ControlTask(
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
        control=control,
        cancellation=CancellationTask(send_cancellation),
        ledger=ledger,
    )


def make_context(
    tasks: DaemonTasks,
    clock: Clock,
    pool: ConnectionPool,
    seed: int,
) -> RequestContext:
    """Return the context that the tasks of all requests share."""
    return RequestContext(
        clock,
        tasks.routing.mailbox,
        pool,
        random.Random(seed),
        tasks.ledger.mailbox,
        tasks.cancellation.mailbox,
        tasks.metrics.mailbox,
    )
