"""What a leader's decisions cause: proposals to the log, and answers."""

from dataclasses import dataclass

from ibisjunction.coordination.calls import CallAnswer
from ibisjunction.coordination.planned import PlannedCommand
from ibisjunction.coordination.spread import SlowVm
from ibisjunction.fleet.commands import FleetCommand


@dataclass(frozen=True, slots=True)
class Propose:
    """Proposes a command to the replicated log."""

    proposal_id: str
    command: FleetCommand
    why: str = ''


@dataclass(frozen=True, slots=True)
class Reply:
    """Answers a call.

    ``wait`` is set if the answer had to wait for entry VMs.
    """

    call_id: str
    answer: CallAnswer
    wait: 'ConfirmationWait | None' = None


@dataclass(frozen=True, slots=True)
class ConfirmationWait:
    """How long a call waited, and the VMs that had not applied its change.

    ``committed_ms`` is the time since the change was committed, in which
    ``slowest`` was the last VM to report it. ``uncommitted`` are the proposals
    of the call that were not committed.
    """

    call: str
    waited_ms: int
    behind: tuple[str, ...]
    committed_ms: int = 0
    slowest: SlowVm | None = None
    uncommitted: tuple[str, ...] = ()


Effect = Propose | Reply


class Proposals:
    """Makes the proposals of one term, with identifiers of their own."""

    def __init__(self, prefix: str) -> None:
        """Start without proposals; ``prefix`` differs for each term."""
        self._prefix = prefix
        self._count = 0

    def make_id(self) -> str:
        """Return a new identifier."""
        self._count += 1
        return f'{self._prefix}.{self._count}'

    def propose(self, planned: PlannedCommand) -> Propose:
        """Return the proposal of a command."""
        return Propose(self.make_id(), planned.command, planned.why)
