"""Runs a control process on a VM with a disk."""

import asyncio
import contextlib
import logging
import random
import shutil
from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

from ibisjunction.clock import SystemClock, in_seconds
from ibisjunction.control.frames import FolderInUseError, StorageError
from ibisjunction.control.protocol import Voters
from ibisjunction.control.records import VoterRecord
from ibisjunction.control.storage import (
    Identity,
    find_identity,
    initialise,
    join,
    open_log,
)
from ibisjunction.control.task import OpenedLog
from ibisjunction.coordination.messages import PrepareToStop
from ibisjunction.coordination.task import FleetTask, ReplicaOptions
from ibisjunction.events import Event, log_event
from ibisjunction.mailbox import Mailbox, run_task
from ibisjunction.nodes.links import make_peers, read_incarnation
from ibisjunction.nodes.settings import NodeSettings

_logger = logging.getLogger(__name__)

_REPLICA_FOLDER: Final = 'control'
#: Random bits in the prefix of proposal ids. They keep the ids unique if the
#: wall clock was set back and a start gets the incarnation of an earlier start.
_RANDOM_BITS: Final = 32
#: Part of the grace period in which a process that is stopped waits until
#: another replica votes in its place.
_LEAVE_PART: Final = 0.5


@dataclass(frozen=True, slots=True)
class ControlNode:
    """A running control process."""

    settings: NodeSettings
    mailbox: Mailbox[Any]

    async def leave(self) -> None:
        """Give up the vote of this replica if another one can take its place.

        A process that is stopped may never come back. Without this its vote
        would still count until the leader notices its silence, and fewer of the
        other disks could be lost meanwhile.
        """
        log_event(_logger, Event.DAEMON_DRAINING, vm=self.settings.vm)
        reply: Mailbox[None] = Mailbox()
        self.mailbox.post(PrepareToStop(reply))
        wait_ms = round(self.settings.grace_ms * _LEAVE_PART)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(in_seconds(wait_ms)):
                await reply.get()


@contextlib.asynccontextmanager
async def run_control(
    settings: NodeSettings,
    failed: asyncio.Event,
) -> AsyncIterator[ControlNode]:
    """Run a replica for the duration of the block.

    ``failed`` is set when one of its tasks ends with an error.
    """
    clock = SystemClock()
    incarnation = read_incarnation()
    peers = make_peers(settings, incarnation, clock)
    async with contextlib.AsyncExitStack() as stack:
        opened = stack.enter_context(open_replica(settings))
        rng = random.Random()
        options = ReplicaOptions(
            str(settings.vm),
            f'{settings.vm}.{incarnation}.{rng.getrandbits(_RANDOM_BITS):x}',
            settings.seed_names,
            settings.election,
            settings.timing,
            frozenset(settings.failure_domains),
        )
        task = FleetTask(options, clock, peers, opened, rng)
        await stack.enter_async_context(peers.run())
        for name, coroutine in (
            ('storage', task.log.storage.run()),
            ('replica', task.run()),
            ('replica timer', task.run_timer()),
        ):
            await stack.enter_async_context(run_task(coroutine, name, failed))
        log_event(
            _logger,
            Event.DAEMON_STARTED,
            vm=settings.vm,
            replica=opened.node,
        )
        yield ControlNode(settings, task.mailbox)
        log_event(_logger, Event.DAEMON_STOPPED, vm=settings.vm)


@contextlib.contextmanager
def open_replica(settings: NodeSettings) -> Iterator[OpenedLog]:
    """Open the files of this VM's replica, creating them on an empty disk.

    Only seeds start as voters, and only at the first start of the deployment.
    A disk that is empty at a later start has lost entries that its replica
    acknowledged, so the replica gets a new name and votes only after the
    leader has made it a voter. The same holds if the files are damaged.

    :raises FolderInUseError: if another process has the files open.
    """
    folder = settings.data_folder or Path('data')
    with contextlib.ExitStack() as stack:
        try:
            identity = find_identity(folder) or _create_identity(
                settings, folder
            )
            log = stack.enter_context(open_log(folder))
        except FolderInUseError:
            raise
        except StorageError as error:
            log_event(
                _logger,
                Event.STORAGE_REFUSED,
                logging.CRITICAL,
                error=error,
            )
            shutil.rmtree(folder / _REPLICA_FOLDER, ignore_errors=True)
            identity = join(folder, str(settings.vm))
            log = stack.enter_context(open_log(folder))
        yield OpenedLog(identity.node, log.load(), log)


def _create_identity(settings: NodeSettings, folder: Path) -> Identity:
    # The identity is written last, so files without one were never used.
    shutil.rmtree(folder / _REPLICA_FOLDER, ignore_errors=True)
    vm = str(settings.vm)
    is_seed = settings.vm in settings.seeds
    if settings.is_first_start and is_seed:
        return initialise(folder, vm, _list_initial_voters(settings))
    return join(folder, vm)


def _list_initial_voters(settings: NodeSettings) -> Voters:
    return tuple(VoterRecord(seed, seed, seed) for seed in settings.seed_names)
