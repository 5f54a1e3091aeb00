"""Gives large bodies their turns on the link of an entry VM."""

import asyncio
import contextlib
import logging
from collections.abc import Callable
from typing import Any, Final

from ibisjunction.clock import Clock, in_seconds
from ibisjunction.entry.link.arrivals import ArrivalQueue
from ibisjunction.entry.link.meter import LinkMeter, LinkUse
from ibisjunction.entry.link.model import (
    Arrived,
    AskDecision,
    AskRequest,
    Direction,
    PassRequest,
    StartRequest,
    Transfer,
    Unused,
    Withdrawn,
    find_piece_bytes,
)
from ibisjunction.entry.link.schedule import LinkSchedule, find_rate
from ibisjunction.entry.link.starts import StartQueue
from ibisjunction.events import Event, log_event
from ibisjunction.mailbox import Mailbox

_logger = logging.getLogger(__name__)

LinkMessage = (
    StartRequest | AskRequest | PassRequest | Arrived | Withdrawn | Unused
)
#: Interval of the metrics, as that of the traffic between VMs.
_REPORT_INTERVAL_MS: Final = 5000


class LinkTask:
    """Owns the schedule of the link; transfers ask it for each piece."""

    def __init__(
        self,
        clock: Clock,
        link_mbps: float,
        metrics: Mailbox[Any],
    ) -> None:
        """Start with a free link.

        ``clock``, ``meter``, ``piece_bytes`` and ``bytes_per_ms`` are those of
        all transfers.

        :param link_mbps: rate of the link in each direction.
        """
        self.clock = clock
        self.meter = LinkMeter()
        self.piece_bytes = find_piece_bytes(link_mbps)
        self.bytes_per_ms = find_rate(link_mbps)
        self._schedule = LinkSchedule(link_mbps)
        self._starts = StartQueue(self.bytes_per_ms)
        self._start_replies: dict[int, Mailbox[None]] = {}
        self._arrivals = ArrivalQueue(self.bytes_per_ms)
        self._ask_replies: dict[int, Mailbox[AskDecision]] = {}
        #: Returns the bytes of large answers that are being written to callers.
        self.count_unsent: Callable[[], int] = int
        self._metrics = metrics
        self._replies: dict[int, Mailbox[None]] = {}
        self._counted = dict.fromkeys(Direction, 0)
        self._counted_ms = clock.now()
        self._counted_other = 0
        self._arrived = 0
        self.mailbox: Mailbox[LinkMessage] = Mailbox()

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            await self._wait()
            for message in self.mailbox.take_queued():
                self.handle(message)
            self.give_turns(self.clock.now())

    async def run_reports(self) -> None:
        """Post the use of the link to the metrics until cancelled.

        It is logged if large bodies passed.
        """
        logged = LinkUse()
        while True:
            await asyncio.sleep(in_seconds(_REPORT_INTERVAL_MS))
            use = self._read_use()
            self._metrics.post(use)
            if use.bulk_bytes != logged.bulk_bytes:
                _log_use(use)
                logged = use

    def _read_use(self) -> LinkUse:
        schedule = self._schedule
        return self.meter.read(
            {lane: schedule.find_bulk_ms(lane) for lane in Direction},
            {lane: schedule.count_waiting(lane) for lane in Direction},
            self._starts.waiting_bytes,
            self._arrivals.waiting_bytes,
        )

    def handle(self, message: LinkMessage) -> None:
        """Process one message."""
        match message:
            case StartRequest(transfer=transfer, size=size, reply=reply):
                self._start_replies[transfer.number] = reply
                self._starts.add(transfer, size)
            case AskRequest(transfer=transfer, answer=answer, reply=asked):
                self._ask_replies[transfer.number] = asked
                self._arrivals.add(transfer, answer)
            case Arrived(transfer=transfer, size=size):
                self._arrived += size
                self._arrivals.record_arrived(transfer.number, size)
            case PassRequest(claim=claim, reply=reply):
                self._replies[claim.transfer.number] = reply
                self._schedule.add(claim)
            case Withdrawn(transfer=transfer):
                self._withdraw(transfer)
            case Unused(direction=direction, size=size):
                self._schedule.give_back(direction, size)

    def give_turns(self, now: int) -> None:
        """Let the pieces pass whose turn has come."""
        self._count_short(now)
        for claim in self._schedule.take_due(now):
            number = claim.transfer.number
            self._replies.pop(number).post(None)
            self._starts.record_passed(number, claim.size, now)
        for transfer in self._starts.take_due(now):
            self._start_replies.pop(transfer.number).post(None)
        if self._arrivals.is_due(now):
            self._decide_on_answers(now)

    def _decide_on_answers(self, now: int) -> None:
        # Answers wait for their callers, and not for the link, if it is free.
        is_busy = self._schedule.is_busy(Direction.SENT, now)
        unsent = self.count_unsent() if is_busy else 0
        for transfer, decision in self._arrivals.take_due(now, unsent):
            self._ask_replies.pop(transfer.number).post(decision)

    async def _wait(self) -> None:
        """Wait for a message, or until a piece may pass."""
        now = self.clock.now()
        next_ms = self._find_next_ms(now)
        wait_ms = None if next_ms is None else next_ms - now
        if wait_ms is not None and wait_ms <= 0:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                None if wait_ms is None else in_seconds(wait_ms)
            ):
                self.handle(await self.mailbox.get())

    def _find_next_ms(self, now: int) -> int | None:
        times = (
            self._schedule.find_next_ms(),
            self._starts.find_next_ms(now),
            self._arrivals.find_next_ms(now),
        )
        return min((time for time in times if time is not None), default=None)

    def _withdraw(self, transfer: Transfer) -> None:
        self._schedule.withdraw(transfer)
        self._starts.end(transfer.number)
        self._arrivals.end(transfer.number)
        self._replies.pop(transfer.number, None)
        self._start_replies.pop(transfer.number, None)
        self._ask_replies.pop(transfer.number, None)

    def _count_other(self, now: int) -> None:
        """Tell of the received bytes that no request has asked for."""
        total = self.meter.read_total(Direction.RECEIVED) - self._arrived
        # An answer is counted a moment before its message comes.
        size = max(0, total - self._counted_other)
        self._arrivals.count_other(size, now - self._counted_ms)
        self._counted_other += size

    def _count_short(self, now: int) -> None:
        """Tell the schedule of the short messages since the last time."""
        self._count_other(now)
        for direction in Direction:
            total = self.meter.read_short(direction)
            self._schedule.count_short(
                direction, total - self._counted[direction], self._counted_ms
            )
            self._counted[direction] = total
        self._counted_ms = now


def _log_use(use: LinkUse) -> None:
    for direction in Direction:
        log_event(
            _logger,
            Event.LINK_USED,
            direction=direction.value,
            short=use.short_bytes.get(direction, 0),
            bulk=use.bulk_bytes.get(direction, 0),
            bulk_ms=use.bulk_ms.get(direction, 0),
            now=use.waiting.get(direction, 0),
            unstarted=use.unstarted_bytes,
            unasked=use.unasked_bytes,
        )
