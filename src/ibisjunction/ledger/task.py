"""Runs the ledger of one VM."""

import asyncio
import logging
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Final

from ibisjunction.clock import Clock, in_seconds
from ibisjunction.events import Event, log_event
from ibisjunction.ledger.effects import (
    DeliverDecision,
    Effect,
    LogCompletion,
    SendToVm,
)
from ibisjunction.ledger.ledger import Ledger
from ibisjunction.ledger.messages import (
    ClearCrashes,
    ConcludeRecord,
    CrashSuspects,
    Holder,
    OpenRecord,
    PullRecords,
    RecordHeld,
    RecordReserved,
    RecordsPulled,
    RecordUnavailable,
    ReportCrash,
    ReserveRecord,
)
from ibisjunction.ledger.reservation import MayRun
from ibisjunction.mailbox import Mailbox
from ibisjunction.outcomes import Failed, Refused
from ibisjunction.peers.link import PeerNetwork

_logger = logging.getLogger(__name__)

_TICK_MS: Final = 50
#: Every message that ledgers exchange.
LEDGER_MESSAGES: Final = (
    ClearCrashes,
    ConcludeRecord,
    PullRecords,
    RecordHeld,
    RecordReserved,
    RecordUnavailable,
    RecordsPulled,
    ReportCrash,
    ReserveRecord,
)


@dataclass(frozen=True, slots=True)
class Tick:
    """Timer tick; messages are repeated, and deadlines are checked."""


class LedgerTask:
    """Owns the ledger of this VM and executes its decisions.

    ``listeners`` receive :class:`CrashSuspects`.
    """

    def __init__(
        self,
        holder: Holder,
        clock: Clock,
        peers: PeerNetwork,
        listeners: list[Mailbox[Any]],
    ) -> None:
        """Subscribe to the messages of other ledgers."""
        self._ledger = Ledger(holder)
        self._clock = clock
        self._peers = peers
        self._listeners = listeners
        self._blocked: frozenset[str] = frozenset()
        self.mailbox: Mailbox[Any] = Mailbox()
        peers.subscribe(self.mailbox, *LEDGER_MESSAGES)

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            self.handle(await self.mailbox.get())

    async def run_timer(self) -> None:
        """Post ticks until cancelled."""
        while True:
            await asyncio.sleep(in_seconds(_TICK_MS))
            self.mailbox.post(Tick())

    def handle(self, message: Any) -> None:
        """Process one message."""
        now = self._clock.now()
        if isinstance(message, Tick):
            self._execute_effects(self._ledger.handle_tick(now))
        else:
            self._execute_effects(self._ledger.handle(message, now))

    def _execute_effects(self, effects: Iterable[Effect]) -> None:
        for effect in effects:
            match effect:
                case SendToVm(vm=vm, message=message):
                    self._peers.send(vm, message)
                case DeliverDecision(request=request, decision=decision):
                    _reply(request, decision)
                case CrashSuspects():
                    self._publish(effect)
                case LogCompletion(records=records):
                    log_event(_logger, Event.LEDGER_COMPLETE, records=records)

    def _publish(self, suspects: CrashSuspects) -> None:
        for fingerprint in suspects.blocked - self._blocked:
            log_event(
                _logger,
                Event.REQUEST_BLOCKED,
                logging.WARNING,
                fingerprint=fingerprint,
            )
        self._blocked = suspects.blocked
        for listener in self._listeners:
            listener.post(suspects)


def _reply(request: OpenRecord, decision: MayRun | Refused | Failed) -> None:
    if isinstance(decision, MayRun):
        request.reply.post(None)
        return
    log_event(
        _logger,
        Event.RECORD_REFUSED,
        request=request.request_id,
        reason=decision.reason.name,
        verdict=decision.verdict.value,
    )
    request.reply.post(decision)
