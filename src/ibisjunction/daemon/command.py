"""The ``ibisjunctiond`` command."""

import asyncio
import contextlib
import logging
import signal
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Final

import cappa

from ibisjunction.control.frames import StorageError
from ibisjunction.control.storage import initialise, join
from ibisjunction.control.voters import list_initial_voters
from ibisjunction.daemon.assembly import Daemon, run_daemon
from ibisjunction.events import Event, log_event
from ibisjunction.settings import Settings, SettingsError, load_settings

_logger = logging.getLogger(__name__)

#: The settings or the files of the replica are not valid.
_EXIT_INVALID: Final = 2
_EXIT_FAILED: Final = 3
_LOG_FORMAT: Final = '%(asctime)s %(levelname)s %(name)s %(message)s'


@cappa.command(name='ibisjunctiond')
@dataclass
class DaemonCommand:
    """Run one daemon of the system.

    :param settings: TOML settings file.
    """

    settings: Path
    check: Annotated[
        bool,
        cappa.Arg(long=True, help='Check the settings and exit.'),
    ] = False
    initialise: Annotated[
        bool,
        cappa.Arg(
            long=True,
            help='Create the disk identity of a voter of a new deployment.',
        ),
    ] = False
    join: Annotated[
        bool,
        cappa.Arg(
            long=True,
            help='Create the disk identity of a replacement voter.',
        ),
    ] = False

    def __call__(self) -> int:
        """Load the settings and run until SIGTERM or SIGINT."""
        try:
            settings = load_settings(self.settings)
        except SettingsError as error:
            sys.stderr.write(f'{error}\n')
            return _EXIT_INVALID
        if self.check:
            sys.stdout.write(f'{self.settings}: valid\n')
            return 0
        logging.basicConfig(level=logging.INFO, format=_LOG_FORMAT)
        try:
            return self._run(settings)
        except StorageError as error:
            log_event(
                _logger,
                Event.STORAGE_REFUSED,
                logging.CRITICAL,
                error=error,
            )
            return _EXIT_INVALID

    def _run(self, settings: Settings) -> int:
        if self.initialise or self.join:
            disk = create_identity(settings, is_new=self.initialise)
            sys.stdout.write(f'{disk}\n')
            return 0
        return asyncio.run(_run_until_signal(settings))


def create_identity(settings: Settings, *, is_new: bool) -> str:
    """Create the identity of a VM's disk and return the disk's name.

    :param is_new: whether the deployment is new; otherwise the disk replaces
        one that was lost.
    :raises StorageError: if no data folder is set, if it holds files of a
        replica, or if the VM of a new deployment is not a voter.
    """
    data_folder = settings.data_folder
    if data_folder is None:
        raise StorageError(Path(settings.vm), 'data_folder is not set')
    if not is_new:
        return join(data_folder, settings.vm).node
    if not settings.is_voter:
        raise StorageError(
            data_folder,
            f'voters does not name {settings.vm}; use --join',
        )
    voters = list_initial_voters(settings)
    return initialise(data_folder, settings.vm, voters).node


async def _run_until_signal(settings: Settings) -> int:
    stop = asyncio.Event()
    failed = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    async with contextlib.AsyncExitStack() as stack:
        daemon = await _start(stack, settings, stop, failed)
        if daemon is None:
            return 0
        await wait_for_any(stop, failed)
        cut_off_count = await daemon.drain()
    if failed.is_set():
        log_event(_logger, Event.TASK_FAILED, logging.CRITICAL, vm=settings.vm)
        return _EXIT_FAILED
    return 1 if cut_off_count else 0


async def wait_for_any(*events: asyncio.Event) -> None:
    """Wait until one of the events is set."""
    waiters = [asyncio.ensure_future(event.wait()) for event in events]
    try:
        await asyncio.wait(waiters, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for waiter in waiters:
            waiter.cancel()


async def _start(
    stack: contextlib.AsyncExitStack,
    settings: Settings,
    stop: asyncio.Event,
    failed: asyncio.Event,
) -> Daemon | None:
    """Start the daemon, or return ``None`` if it is stopped during the start.

    The start waits for a control leader, which may take any time.
    """
    starting = asyncio.ensure_future(
        stack.enter_async_context(run_daemon(settings, failed)),
    )
    stopping = asyncio.ensure_future(wait_for_any(stop, failed))
    await asyncio.wait(
        {starting, stopping},
        return_when=asyncio.FIRST_COMPLETED,
    )
    stopping.cancel()
    if starting.done():
        return starting.result()
    starting.cancel()
    await asyncio.gather(starting, return_exceptions=True)
    return None


def main() -> int:
    """Run the command line and return the exit code."""
    return int(cappa.invoke(DaemonCommand) or 0)
