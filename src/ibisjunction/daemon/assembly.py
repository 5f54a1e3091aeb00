"""Runs the tasks of one daemon and shuts them down."""

import asyncio
import contextlib
import logging
import time
from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from ibisjunction.admin.context import AdminContext
from ibisjunction.admin.server import make_admin_server
from ibisjunction.admin.task import AdminTask
from ibisjunction.clock import Clock, SystemClock
from ibisjunction.control.client import ControlClient
from ibisjunction.control.commands import RegisterVm
from ibisjunction.control.frames import StorageError
from ibisjunction.control.storage import find_identity, open_log
from ibisjunction.control.task import OpenedLog
from ibisjunction.daemon.tasks import (
    PEER_MESSAGES,
    DaemonTasks,
    build_tasks,
    make_context,
)
from ibisjunction.events import Event, log_event
from ibisjunction.mailbox import run_task
from ibisjunction.membership.registration import build_registration
from ibisjunction.peers.authentication import Authenticator
from ibisjunction.peers.codec import Codec
from ibisjunction.peers.link import PeerTask
from ibisjunction.routing.server import CallerServer
from ibisjunction.settings import Settings
from ibisjunction.upstreams.cancellation import (
    send_cancellation,
)
from ibisjunction.upstreams.grants import GrantConnections
from ibisjunction.upstreams.pool import ConnectionPool

_logger = logging.getLogger(__name__)

_NS_PER_MS: Final = 1_000_000


@dataclass(frozen=True, slots=True)
class Daemon:
    """A running daemon."""

    settings: Settings
    admin: AdminTask
    caller_server: CallerServer

    async def drain(self) -> int:
        """Shut down gracefully.

        The VM reports that it is not ready, so that the balancer sends no new
        requests, and then waits for the requests in flight.

        :return: the number of requests cut off at the timeout.
        """
        log_event(_logger, Event.DAEMON_DRAINING, vm=self.settings.vm)
        self.admin.is_draining = True
        return await self.caller_server.drain(self.settings.timing.drain_ms)


@contextlib.asynccontextmanager
async def run_daemon(
    settings: Settings,
    failed: asyncio.Event,
) -> AsyncIterator[Daemon]:
    """Run a daemon for the duration of the block.

    ``failed`` is set when one of its tasks ends with an error. The other tasks
    depend on it, so the caller then has to stop the daemon.
    """
    clock = SystemClock()
    # Wall-clock time increases across reboots, unlike the time since boot.
    incarnation = time.time_ns() // _NS_PER_MS
    peers = make_peers(settings, incarnation, clock)
    grant_connections = GrantConnections(clock)
    async with contextlib.AsyncExitStack() as stack:
        tasks = build_tasks(
            settings,
            incarnation,
            clock,
            peers,
            grant_connections.send,
            send_cancellation,
            stack.enter_context(open_replica(settings)),
        )
        stack.push_async_callback(grant_connections.close)
        await stack.enter_async_context(peers.run())
        await _start_tasks(stack, tasks, failed)
        pool = ConnectionPool(clock)
        stack.push_async_callback(pool.close)
        admin_server = make_admin_server(
            AdminContext(
                settings,
                tasks.admin,
                tasks.client,
                tasks.reports,
                tasks.metrics.mailbox,
            ),
        )
        admin_server.listen(settings.admin.port, settings.admin.host)
        stack.callback(admin_server.stop)
        await _register(tasks.client, build_registration(settings, incarnation))
        caller_server = CallerServer(
            make_context(tasks, clock, pool, incarnation),
            settings.http,
        )
        caller_server.start()
        log_event(_logger, Event.DAEMON_STARTED, vm=settings.vm)
        yield Daemon(settings, tasks.admin, caller_server)
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
    for task in tasks.list_all():
        name = type(task).__name__
        await stack.enter_async_context(run_task(task.run(), name, failed))
    for timed_task in tasks.list_timed():
        name = f'{type(timed_task).__name__} timer'
        await stack.enter_async_context(
            run_task(timed_task.run_timer(), name, failed),
        )


def make_peers(
    settings: Settings,
    incarnation: int,
    clock: Clock,
) -> PeerTask:
    """Return the task that owns the sockets to other VMs, not yet open."""
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
