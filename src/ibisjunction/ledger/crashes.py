"""Counts the losses of upstreams that were running a request.

Every VM counts every loss: losses are rare, and each VM can then refuse a
resend without a message to another VM.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from ibisjunction.ledger.effects import Effect, SendToVm
from ibisjunction.ledger.messages import (
    ClearCrashes,
    CrashSuspects,
    ReportCrash,
    SuspectFinished,
)
from ibisjunction.ledger.records import RETENTION_MS

#: After this many losses in the whole system a request is not sent again.
CRASH_LIMIT: Final = 2
#: Number of times that a report is sent, because a message may be lost.
_REPORT_SENDS: Final = 3


@dataclass(frozen=True, slots=True)
class _Loss:
    """A loss of an upstream.

    A cleared loss is kept, so that a repeated report does not count it again.
    """

    recorded_ms: int
    is_cleared: bool = False


class CrashTable:
    """Losses by request fingerprint and by the ticket of the attempt."""

    def __init__(self) -> None:
        """Start without losses."""
        self._losses: dict[str, dict[str, _Loss]] = {}
        self._reports: dict[ReportCrash | ClearCrashes, int] = {}

    def receive(
        self,
        message: ReportCrash | ClearCrashes,
        now: int,
    ) -> list[Effect]:
        """Record a report; each ticket counts once."""
        match message:
            case ReportCrash(fingerprint=fingerprint, ticket_id=ticket_id):
                tickets = self._losses.setdefault(fingerprint, {})
                tickets.setdefault(ticket_id, _Loss(now))
            case ClearCrashes(fingerprint=fingerprint, ticket_ids=ticket_ids):
                self._clear(fingerprint, ticket_ids, now)
        return [self._list_suspects()]

    def report(
        self,
        message: ReportCrash | ClearCrashes,
        now: int,
        other_vms: Iterable[str],
    ) -> list[Effect]:
        """Record a report about this VM's request and send it to the others."""
        effects = self.receive(message, now)
        self._reports[message] = _REPORT_SENDS
        return [*effects, *self.repeat_reports(other_vms)]

    def clear_finished(
        self,
        finished: SuspectFinished,
        now: int,
        other_vms: Iterable[str],
    ) -> list[Effect]:
        """Clear the losses of a request that has finished, on all VMs."""
        tickets = self._losses.get(finished.fingerprint)
        if tickets is None:
            return []
        clearing = ClearCrashes(finished.fingerprint, tuple(sorted(tickets)))
        return self.report(clearing, now, other_vms)

    def repeat_reports(self, other_vms: Iterable[str]) -> list[Effect]:
        """Send each report again until its number of sends is reached."""
        effects: list[Effect] = []
        for report, remaining_sends in tuple(self._reports.items()):
            effects += [SendToVm(vm, report) for vm in other_vms]
            if remaining_sends > 1:
                self._reports[report] = remaining_sends - 1
            else:
                self._reports.pop(report)
        return effects

    def expire(self, now: int) -> list[Effect]:
        """Remove requests whose losses have all exceeded the retention time."""
        expired = [
            fingerprint
            for fingerprint, tickets in self._losses.items()
            if all(
                now - loss.recorded_ms >= RETENTION_MS
                for loss in tickets.values()
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
