"""Counts upstreams that were lost while they ran a request.

Every VM counts every loss: losses are rare, and each VM can then refuse a
resend without asking another one.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from ibisjunction.ledger.effects import Effect, SendToVm
from ibisjunction.ledger.messages import (
    ClearCrashes,
    CrashSuspects,
    NoteFinished,
    ReportCrash,
)
from ibisjunction.ledger.records import RETENTION_MS

#: After this many losses in the whole system a request is not sent again.
CRASH_LIMIT: Final = 2
#: Reports are sent this often, because a message may be lost.
_REPORTS: Final = 3


@dataclass(frozen=True, slots=True)
class _Loss:
    """One loss; a cleared one is kept, because its report is repeated."""

    noted_ms: int
    is_cleared: bool = False


class CrashTable:
    """Losses by request fingerprint, each under the ticket of its run."""

    def __init__(self) -> None:
        """Start without losses."""
        self._losses: dict[str, dict[str, _Loss]] = {}
        self._reports: dict[ReportCrash | ClearCrashes, int] = {}

    def receive(
        self,
        message: ReportCrash | ClearCrashes,
        now: int,
    ) -> list[Effect]:
        """Take a report; the same ticket counts once."""
        match message:
            case ReportCrash(fingerprint=fingerprint, ticket_id=ticket_id):
                tickets = self._losses.setdefault(fingerprint, {})
                tickets.setdefault(ticket_id, _Loss(now))
            case ClearCrashes(fingerprint=fingerprint, ticket_ids=ticket_ids):
                self._clear(fingerprint, ticket_ids, now)
        return [self._list_suspects()]

    def note(
        self,
        message: ReportCrash | ClearCrashes,
        now: int,
        others: Iterable[str],
    ) -> list[Effect]:
        """Take a report of this VM's own request and pass it on."""
        effects = self.receive(message, now)
        self._reports[message] = _REPORTS
        return [*effects, *self.repeat(others)]

    def finish(
        self,
        finished: NoteFinished,
        now: int,
        others: Iterable[str],
    ) -> list[Effect]:
        """Clear a suspect of this VM that has finished, and pass it on."""
        tickets = self._losses.get(finished.fingerprint)
        if tickets is None:
            return []
        clearing = ClearCrashes(finished.fingerprint, tuple(sorted(tickets)))
        return self.note(clearing, now, others)

    def repeat(self, others: Iterable[str]) -> list[Effect]:
        """Return the reports that are to be sent again."""
        effects: list[Effect] = []
        for report, left in tuple(self._reports.items()):
            effects += [SendToVm(vm, report) for vm in others]
            if left > 1:
                self._reports[report] = left - 1
            else:
                self._reports.pop(report)
        return effects

    def expire(self, now: int) -> list[Effect]:
        """Forget what is older than the retention time."""
        expired = [
            fingerprint
            for fingerprint, tickets in self._losses.items()
            if all(
                now - loss.noted_ms >= RETENTION_MS for loss in tickets.values()
            )
        ]
        for fingerprint in expired:
            self._losses.pop(fingerprint)
        return [self._list_suspects()] if expired else []

    def _clear(
        self,
        fingerprint: str,
        ticket_ids: Iterable[str],
        now: int,
    ) -> None:
        tickets = self._losses.setdefault(fingerprint, {})
        for ticket_id in ticket_ids:
            tickets[ticket_id] = _Loss(now, is_cleared=True)

    def _list_suspects(self) -> CrashSuspects:
        counts = {
            fingerprint: sum(not loss.is_cleared for loss in tickets.values())
            for fingerprint, tickets in self._losses.items()
        }
        return CrashSuspects(
            suspected=frozenset(
                fingerprint for fingerprint, count in counts.items() if count
            ),
            blocked=frozenset(
                fingerprint
                for fingerprint, count in counts.items()
                if count >= CRASH_LIMIT
            ),
        )
