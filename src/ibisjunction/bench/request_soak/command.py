"""The ``soak-requests`` command."""

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from ibisjunction.bench.request_soak.run import (
    PACKAGE_FOLDER,
    SoakSettings,
    run_request_soaks,
)
from ibisjunction.clock import MS_PER_S


@cappa.command(name='soak-requests')
@dataclass
class SoakRequestsCommand:
    """Send requests through real processes while signals and faults come.

    The exit code is 1 if a check finds a violation.

    :param source: folder of the package that the processes run, if not this.
    """

    seed: Annotated[int, cappa.Arg(long=True, help='First seed.')] = 1
    runs: Annotated[int, cappa.Arg(long=True)] = 1
    seconds: Annotated[int, cappa.Arg(long=True)] = 20
    entries: Annotated[int, cappa.Arg(long=True)] = 3
    controls: Annotated[int, cappa.Arg(long=True)] = 3
    planned: Annotated[
        bool, cappa.Arg(long=True, help='Play no unplanned faults.')
    ] = False
    source: Annotated[Path, cappa.Arg(long=True)] = PACKAGE_FOLDER

    def __call__(self) -> int:
        """Print each run with its violations."""
        settings = SoakSettings(
            seed=self.seed,
            duration_ms=self.seconds * MS_PER_S,
            entries=self.entries,
            controls=self.controls,
            is_planned_only=self.planned,
            source=self.source,
        )
        return run_request_soaks(settings, self.runs, sys.stdout)
