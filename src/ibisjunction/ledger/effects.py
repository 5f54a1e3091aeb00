"""What the ledger's decisions ask its task to do."""

from dataclasses import dataclass
from typing import Any

from ibisjunction.ledger.messages import CrashSuspects, OpenRecord
from ibisjunction.ledger.reservation import Decision


@dataclass(frozen=True, slots=True)
class SendToVm:
    """Send a message to a VM."""

    vm: str
    message: Any


@dataclass(frozen=True, slots=True)
class Decide:
    """Tell a request of this VM whether it may run."""

    ask: OpenRecord
    decision: Decision


@dataclass(frozen=True, slots=True)
class Completed:
    """Log that the VM now holds all records that it has to hold."""

    records: int


Effect = SendToVm | Decide | CrashSuspects | Completed
