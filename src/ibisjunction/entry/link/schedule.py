"""Decides when the pieces of large bodies may cross the link.

Answers the load of a link that large bodies fill: whatever is written at once
waits in the queue of the link, and requests, short answers, tickets and
heartbeats wait behind it. Short messages never wait here. They are counted, and
large bodies share what they leave, each direction for itself.

The class does no I/O and reads no clock.
"""

from dataclasses import dataclass, field
from typing import Final

from ibisjunction.entry.link.model import (
    BYTES_PER_MS_AND_MBPS,
    Claim,
    Direction,
    Transfer,
    find_turn_order,
)

#: Part of the link that short messages and large bodies use together. The rest
#: carries packet headers, acknowledgements and messages between VMs.
LINK_SHARE: Final = 0.8
#: Large bodies get at least this part of that share, however many short
#: messages pass.
MIN_BULK_SHARE: Final = 0.25
#: Each piece of this many goes to the transfer that has waited longest, so that
#: urgent ones do not starve others.
LONGEST_WAIT_TURN: Final = 4
#: A piece that passes late by up to this time does not delay the next one.
#: Timers of a busy process fire late by some milliseconds.
_MAX_CREDIT_MS: Final = 10


@dataclass(slots=True)
class _Lane:
    """One direction of the link.

    All that was counted has passed at ``free_ms``. The last piece passed at
    ``last_ms`` and takes the link for ``last_cost_ms``.
    """

    free_ms: float = 0
    last_ms: float = 0
    last_cost_ms: float = 0
    bulk_ms: float = 0
    turns: int = 0
    claims: dict[int, Claim] = field(default_factory=dict)

    @property
    def next_ms(self) -> float:
        """When the next piece may pass."""
        return min(
            self.free_ms, self.last_ms + self.last_cost_ms / MIN_BULK_SHARE
        )


def find_rate(link_mbps: float) -> float:
    """Return the bytes in a millisecond that are shared out."""
    return link_mbps * BYTES_PER_MS_AND_MBPS * LINK_SHARE


class LinkSchedule:
    """Orders the large bodies of one VM."""

    def __init__(self, link_mbps: float) -> None:
        """Start with a free link of this rate."""
        self._bytes_per_ms = find_rate(link_mbps)
        self._lanes = {direction: _Lane() for direction in Direction}

    def add(self, claim: Claim) -> None:
        """Let the next piece of a transfer wait for its turn.

        A transfer has one claim at a time; a second one replaces the first.
        """
        lane = self._lanes[claim.transfer.direction]
        lane.claims[claim.transfer.number] = claim

    def withdraw(self, transfer: Transfer) -> None:
        """Drop the claim of a transfer that has ended."""
        self._lanes[transfer.direction].claims.pop(transfer.number, None)

    def count_short(self, direction: Direction, size: int, since: int) -> None:
        """Count short messages, which have passed at once.

        :param since: when the first of them passed.
        """
        lane = self._lanes[direction]
        lane.free_ms = max(lane.free_ms, since) + size / self._bytes_per_ms

    def give_back(self, direction: Direction, size: int) -> None:
        """Give back bytes of a turn that were not needed."""
        lane = self._lanes[direction]
        cost_ms = size / self._bytes_per_ms
        lane.free_ms -= cost_ms
        lane.bulk_ms -= cost_ms

    def take_due(self, now: int) -> list[Claim]:
        """Remove and return the claims whose pieces may pass now."""
        due = []
        for lane in self._lanes.values():
            while lane.claims and lane.next_ms <= now:
                claim = _choose(lane, now)
                due.append(lane.claims.pop(claim.transfer.number))
                self._occupy(lane, claim.size, now)
        return due

    def find_next_ms(self) -> int | None:
        """Return when the next piece may pass, if one waits."""
        starts = [lane.next_ms for lane in self._lanes.values() if lane.claims]
        return int(min(starts)) + 1 if starts else None

    def is_busy(self, direction: Direction, now: int) -> bool:
        """Return whether a large body would wait for its turn."""
        lane = self._lanes[direction]
        return bool(lane.claims) or lane.next_ms > now

    def count_waiting(self, direction: Direction) -> int:
        """Return the number of transfers that wait for a turn."""
        return len(self._lanes[direction].claims)

    def find_bulk_ms(self, direction: Direction) -> int:
        """Return the time for which large bodies took the link so far."""
        return int(self._lanes[direction].bulk_ms)

    def _occupy(self, lane: _Lane, size: int, now: int) -> None:
        cost_ms = size / self._bytes_per_ms
        lane.free_ms = max(lane.free_ms, now - _MAX_CREDIT_MS) + cost_ms
        lane.last_ms = now
        lane.last_cost_ms = cost_ms
        lane.bulk_ms += cost_ms
        lane.turns += 1


def _choose(lane: _Lane, now: int) -> Claim:
    """Return the claim whose turn it is."""
    if lane.turns % LONGEST_WAIT_TURN == LONGEST_WAIT_TURN - 1:
        return min(lane.claims.values(), key=_find_wait_order)
    return min(
        lane.claims.values(),
        key=lambda claim: find_turn_order(claim.transfer, now),
    )


def _find_wait_order(claim: Claim) -> tuple[int, int]:
    return claim.since_ms, claim.transfer.number
