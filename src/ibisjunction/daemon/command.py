"""The ``ibisjunctiond`` command."""

import asyncio
import logging
import signal
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Final

import cappa

from ibisjunction.daemon.assembly import run_daemon
from ibisjunction.settings import Settings, SettingsError, load_settings

_EXIT_USAGE: Final = 2
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

    def __call__(self) -> int:
        """Load the settings and run until SIGTERM or SIGINT."""
        try:
            settings = load_settings(self.settings)
        except SettingsError as error:
            sys.stderr.write(f'{error}\n')
            return _EXIT_USAGE
        if self.check:
            sys.stdout.write(f'{self.settings}: valid\n')
            return 0
        logging.basicConfig(level=logging.INFO, format=_LOG_FORMAT)
        return asyncio.run(_run_until_signal(settings))


async def _run_until_signal(settings: Settings) -> int:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    async with run_daemon(settings) as daemon:
        await stop.wait()
        cut_requests = await daemon.drain()
    return 1 if cut_requests else 0


def main() -> int:
    """Run the command line."""
    return int(cappa.invoke(DaemonCommand) or 0)
