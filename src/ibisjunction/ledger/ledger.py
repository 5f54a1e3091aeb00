"""Makes the decisions of one VM's ledger."""

from typing import Any

from ibisjunction.control.messages import ControlView
from ibisjunction.ledger.crashes import CrashTable
from ibisjunction.ledger.effects import Effect
from ibisjunction.ledger.held_records import HeldRecords
from ibisjunction.ledger.messages import (
    ClearCrashes,
    CloseRecord,
    Holder,
    OpenRecord,
    RecordHeld,
    RecordReserved,
    RecordUnavailable,
    ReportCrash,
    SuspectFinished,
)
from ibisjunction.ledger.reservations import RecordReservations
from ibisjunction.peers.link import Received


class Ledger:
    """The records that a VM holds, its reservations and its crash counts."""

    def __init__(self, holder: Holder) -> None:
        """Start without records."""
        self.held_records = HeldRecords(holder)
        self._holder = holder
        self._reservations = RecordReservations()
        self._crashes = CrashTable()
        self._other_vms: list[str] = []

    def handle(self, event: Any, now: int) -> list[Effect]:
        """Process an event of this daemon or a message from a VM."""
        match event:
            case Received(sender=sender, message=message):
                return self._receive(sender, message, now)
            case OpenRecord():
                return self._reservations.open(event, now)
            case CloseRecord():
                return self._reservations.close(event)
            case ReportCrash():
                return self._crashes.report(event, now, self._other_vms)
            case SuspectFinished():
                return self._crashes.clear_finished(event, now, self._other_vms)
            case ControlView():
                return self._apply_view(event, now)
        return []

    def handle_tick(self, now: int) -> list[Effect]:
        """Repeat unanswered messages and end what has timed out or expired."""
        return [
            *self._reservations.handle_tick(now),
            *self.held_records.handle_tick(now),
            *self._crashes.repeat_reports(self._other_vms),
            *self._crashes.expire(now),
        ]

    def _apply_view(self, view: ControlView, now: int) -> list[Effect]:
        vms = view.state.vms
        self._other_vms = sorted(vms.keys() - {self._holder.vm})
        self._reservations.apply_vms(vms)
        return self.held_records.apply_view(view, now)

    def _receive(self, sender: str, message: Any, now: int) -> list[Effect]:
        match message:
            case RecordReserved() | RecordHeld() | RecordUnavailable():
                return self._reservations.add_vote(sender, message)
            case ReportCrash() | ClearCrashes():
                return self._crashes.receive(message, now)
            case _:
                return self.held_records.receive(sender, message, now)
