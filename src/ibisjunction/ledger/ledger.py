"""The decisions of one VM's ledger."""

from typing import Any

from ibisjunction.control.messages import ControlView
from ibisjunction.ledger.crashes import CrashTable
from ibisjunction.ledger.effects import Effect
from ibisjunction.ledger.holding import Holding
from ibisjunction.ledger.messages import (
    ClearCrashes,
    CloseRecord,
    Holder,
    NoteFinished,
    OpenRecord,
    RecordHeld,
    RecordReserved,
    RecordUnavailable,
    ReportCrash,
)
from ibisjunction.ledger.requesting import Requesting
from ibisjunction.peers.link import Received


class Ledger:
    """Records held, reservations asked for, and crashes counted."""

    def __init__(self, holder: Holder) -> None:
        """Start without records."""
        self.holding = Holding(holder)
        self._holder = holder
        self._requesting = Requesting()
        self._crashes = CrashTable()
        self._others: list[str] = []

    def handle(self, event: Any, now: int) -> list[Effect]:
        """Process one event of this daemon or message of another one."""
        match event:
            case Received(sender=sender, message=message):
                return self._receive(sender, message, now)
            case OpenRecord():
                return self._requesting.open(event, now)
            case CloseRecord():
                return self._requesting.close(event)
            case ReportCrash():
                return self._crashes.note(event, now, self._others)
            case NoteFinished():
                return self._crashes.finish(event, now, self._others)
            case ControlView():
                return self._follow(event, now)
        return []

    def tick(self, now: int) -> list[Effect]:
        """Repeat what may have been lost and end what took too long."""
        return [
            *self._requesting.tick(now),
            *self.holding.tick(now),
            *self._crashes.repeat(self._others),
            *self._crashes.expire(now),
        ]

    def _follow(self, view: ControlView, now: int) -> list[Effect]:
        vms = view.state.vms
        self._others = sorted(vms.keys() - {self._holder.vm})
        self._requesting.follow(vms)
        return self.holding.follow(view, now)

    def _receive(self, sender: str, message: Any, now: int) -> list[Effect]:
        match message:
            case RecordReserved() | RecordHeld() | RecordUnavailable():
                return self._requesting.vote(sender, message)
            case ReportCrash() | ClearCrashes():
                return self._crashes.receive(message, now)
            case _:
                return self.holding.receive(sender, message, now)
