"""Effects that the ledger's decisions return for its task to execute."""

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
class DeliverDecision:
    """Deliver to a request of this VM the decision whether it may run."""

    request: OpenRecord
    decision: Decision


@dataclass(frozen=True, slots=True)
class LogCompletion:
    """Log that this VM now holds all records that it must hold."""

    records: int


Effect = SendToVm | DeliverDecision | CrashSuspects | LogCompletion
