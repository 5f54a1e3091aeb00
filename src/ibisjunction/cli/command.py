"""The ``ibisjunction`` command."""

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import cappa

from ibisjunction.services.collection import parse_collection
from ibisjunction.services.model import ServiceFileError

_EXIT_INVALID: Final = 1


@cappa.command(name='check')
@dataclass
class CheckCommand:
    """Check service files without publishing them.

    :param files: TOML service files.
    """

    files: list[Path]

    def __call__(self) -> int:
        """Print each mistake; exit code 1 if there is one."""
        try:
            specs = parse_collection(
                {str(path): path.read_text() for path in self.files},
            )
        except (OSError, ServiceFileError) as error:
            sys.stderr.write(f'{error}\n')
            return _EXIT_INVALID
        for spec in specs:
            sys.stdout.write(f'{spec.service}: valid\n')
        return 0


@cappa.command(name='ibisjunction')
@dataclass
class OperatorCommand:
    """Operate a deployment."""

    command: cappa.Subcommands[CheckCommand]


def main() -> int:
    """Run the command line."""
    return int(cappa.invoke(OperatorCommand) or 0)
