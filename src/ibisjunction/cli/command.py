"""The ``ibisjunction`` command.

Exit codes: 0 done, 1 invalid input, 2 wrong usage, 3 rejected, 4 not
reachable or outcome unknown, 5 published but not yet in force everywhere.
"""

import sys
from dataclasses import dataclass

import cappa

from ibisjunction.cli.changes import (
    AddVoterCommand,
    DrainUpstreamCommand,
    RemoveVoterCommand,
    RenewTermsCommand,
)
from ibisjunction.cli.connection import EXIT_INVALID, CommandError
from ibisjunction.cli.fleet import FleetStateCommand, OwnerCommand
from ibisjunction.cli.history import ExplainRequestCommand
from ibisjunction.cli.inspection import (
    ExplainEventCommand,
    ExplainKeyCommand,
    StatusCommand,
    VmsCommand,
)
from ibisjunction.cli.key_history import KeyHistoryCommand
from ibisjunction.cli.publication import CheckCommand, PublishCommand
from ibisjunction.services.model import ServiceFileError


@cappa.command(name='ibisjunction')
@dataclass
class OperatorCommand:
    """Operate a deployment.

    The operator token is read from IBISJUNCTION_TOKEN and the address of the
    administration API from --admin or IBISJUNCTION_ADMIN.
    """

    command: cappa.Subcommands[
        CheckCommand
        | PublishCommand
        | StatusCommand
        | VmsCommand
        | ExplainKeyCommand
        | FleetStateCommand
        | OwnerCommand
        | KeyHistoryCommand
        | ExplainEventCommand
        | ExplainRequestCommand
        | DrainUpstreamCommand
        | RenewTermsCommand
        | AddVoterCommand
        | RemoveVoterCommand
    ]


def main() -> int:
    """Run the command line and return the exit code."""
    try:
        return int(cappa.invoke(OperatorCommand) or 0)
    except ServiceFileError as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_INVALID
    except CommandError as error:
        sys.stderr.write(f'{error}\n')
        return error.exit_code
