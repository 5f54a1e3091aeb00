"""Decides when a request with a large answer is sent.

Answers the load of large answers that arrive together. An upstream sends as
much as the window of the connection holds before this VM reads, so an answer
can't be held back once its request has been sent. Other requests, tickets and
heartbeats wait behind it. So requests with large answers are sent at the rate
at which the link passes their answers.

The class does no I/O and reads no clock.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from ibisjunction.entry.link.model import (
    AskDecision,
    AskNow,
    ExpectedAnswer,
    TooLate,
    Transfer,
    find_turn_order,
)
from ibisjunction.entry.link.schedule import LONGEST_WAIT_TURN, MIN_BULK_SHARE

#: An answer is asked for when the link has passed all earlier ones but what
#: takes this time. It covers a late timer.
_PACE_AHEAD_MS: Final = 50
#: Answers on their way to callers and to this VM may take the link for this
#: time more than the upstream needs. It covers the round trip for a ticket.
_COMING_AHEAD_MS: Final = 150
#: An answer counts as coming for this time after it was due. Its request waits
#: for an upstream, and others may use the link meanwhile.
_MAX_DELAY_MS: Final = 300
#: Other messages that arrived at once delay answers by this time at most.
_MAX_OTHER_MS: Final = 500
#: Interval of checks whether callers have taken earlier answers.
_CHECK_INTERVAL_MS: Final = 50
#: Bounds of the retry time given to callers; other VMs may serve them sooner.
_MIN_RETRY_AFTER_MS: Final = 50
_MAX_RETRY_AFTER_MS: Final = 500


@dataclass(frozen=True, slots=True)
class _Waiting:
    transfer: Transfer
    answer: ExpectedAnswer


@dataclass(slots=True)
class _Asked:
    """An answer that was asked for; ``arrived`` is in bytes."""

    size: int
    until_ms: int
    arrived: int = 0


class ArrivalQueue:
    """Requests that wait to ask for large answers, and answers on their way."""

    def __init__(self, bytes_per_ms: float) -> None:
        """Start without answers.

        :param bytes_per_ms: rate at which answers pass the link.
        """
        self._bytes_per_ms = bytes_per_ms
        self._free_ms: float = 0
        self._other_ms: float = 0
        self._waiting: dict[int, _Waiting] = {}
        self._asked: dict[int, _Asked] = {}
        #: Whether a request came or ended since the last decision.
        self._is_changed = False
        self._check_ms = 0
        self._turns = 0

    @property
    def waiting_bytes(self) -> int:
        """Expected bytes of the answers that are not asked for yet."""
        return sum(waiting.answer.size for waiting in self._waiting.values())

    def add(self, transfer: Transfer, answer: ExpectedAnswer) -> None:
        """Let a request wait until its answer may be asked for."""
        self._waiting[transfer.number] = _Waiting(transfer, answer)
        self._is_changed = True

    def record_arrived(self, number: int, size: int) -> None:
        """Record bytes of an answer, read in turn or not."""
        asked = self._asked.get(number)
        if asked is not None:
            asked.arrived += size

    def count_other(self, size: int, elapsed_ms: int) -> None:
        """Delay answers by received bytes of other messages.

        :param elapsed_ms: time since the last call. Answers get a part of it
            however much else arrives, so that they do not starve.
        """
        other_ms = self._other_ms + size / self._bytes_per_ms
        delay_ms = min(other_ms, elapsed_ms * (1 - MIN_BULK_SHARE))
        self._free_ms += delay_ms
        self._other_ms = min(other_ms - delay_ms, _MAX_OTHER_MS)

    def end(self, number: int) -> None:
        """Forget a request, whether its answer has arrived or not."""
        self._waiting.pop(number, None)
        asked = self._asked.pop(number, None)
        if asked is not None:
            self._is_changed = True
            difference = asked.arrived - asked.size
            self._free_ms += difference / self._bytes_per_ms

    def is_due(self, now: int) -> bool:
        """Return whether to decide now.

        Many messages pass the link between two decisions on what waits.
        """
        return bool(self._waiting) and (
            self._is_changed or now >= max(self._check_ms, self._paced_ms)
        )

    def take_due(
        self, now: int, unsent: int
    ) -> list[tuple[Transfer, AskDecision]]:
        """Decide on the requests that need not wait any longer.

        :param unsent: bytes of large answers to callers that wait for the link.
        """
        decisions = list(self._take_late(now, unsent))
        self._is_changed = False
        self._check_ms = now + _CHECK_INTERVAL_MS
        while self._waiting and self._free_ms <= now + _PACE_AHEAD_MS:
            first = self._find_first(now)
            if not self._has_room(first.answer, now, unsent):
                break
            self._ask(first, now)
            decisions.append((first.transfer, AskNow()))
        return decisions

    def find_next_ms(self, now: int) -> int | None:
        """Return when to decide next without a message, if a request waits."""
        if not self._waiting:
            return None
        return max(now + 1, self._check_ms, self._paced_ms)

    @property
    def _paced_ms(self) -> int:
        """When the link has passed earlier answers but a lead."""
        return int(self._free_ms - _PACE_AHEAD_MS) + 1

    def _take_late(
        self, now: int, unsent: int
    ) -> Iterator[tuple[Transfer, AskDecision]]:
        """Remove the requests whose answers can't pass the link in time.

        Only what is ahead of an answer makes it late: a request that nothing
        delays is sent, as the time left or the upstream may have changed.
        """
        ahead_ms = self._find_ahead_ms(now, unsent)
        in_order = sorted(
            self._waiting.values(),
            key=lambda waiting: find_turn_order(waiting.transfer, now),
        )
        for waiting in in_order:
            answer = waiting.answer
            size_ms = answer.size / self._bytes_per_ms
            # The link passes earlier answers while the upstream works, and
            # this one twice: from the upstream and to the caller.
            end_ms = now + ahead_ms + 2 * size_ms
            is_delayed = ahead_ms > answer.duration_ms
            if not is_delayed or end_ms <= answer.give_up_ms:
                ahead_ms += size_ms
                continue
            self._waiting.pop(waiting.transfer.number)
            yield waiting.transfer, TooLate(_limit_retry_ms(ahead_ms))

    def _find_ahead_ms(self, now: int, unsent: int) -> float:
        """Return for how long answers take the link that come before others."""
        coming_ms = (self._count_coming(now) + unsent) / self._bytes_per_ms
        return max(coming_ms, self._free_ms - now)

    def _find_first(self, now: int) -> _Waiting:
        """Return the request whose turn it is."""
        if self._turns % LONGEST_WAIT_TURN == LONGEST_WAIT_TURN - 1:
            return min(
                self._waiting.values(),
                key=lambda waiting: waiting.transfer.number,
            )
        return min(
            self._waiting.values(),
            key=lambda waiting: find_turn_order(waiting.transfer, now),
        )

    def _has_room(self, answer: ExpectedAnswer, now: int, unsent: int) -> bool:
        allowed_ms = answer.duration_ms + _COMING_AHEAD_MS
        coming = self._count_coming(now) + unsent
        return coming < allowed_ms * self._bytes_per_ms

    def _ask(self, waiting: _Waiting, now: int) -> None:
        number = waiting.transfer.number
        answer = waiting.answer
        size_ms = answer.size / self._bytes_per_ms
        self._free_ms = max(self._free_ms, now) + size_ms
        until_ms = now + answer.duration_ms + int(size_ms) + _MAX_DELAY_MS
        self._waiting.pop(number)
        self._turns += 1
        self._asked[number] = _Asked(answer.size, until_ms)

    def _count_coming(self, now: int) -> int:
        return sum(
            max(0, asked.size - asked.arrived)
            for asked in self._asked.values()
            if now <= asked.until_ms
        )


def _limit_retry_ms(wait_ms: float) -> int:
    return int(min(max(wait_ms, _MIN_RETRY_AFTER_MS), _MAX_RETRY_AFTER_MS))
