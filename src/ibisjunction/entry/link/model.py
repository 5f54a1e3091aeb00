"""Claims of large bodies on the link of an entry VM."""

import enum
from dataclasses import dataclass
from typing import Final

from ibisjunction.mailbox import Mailbox

#: Larger bodies and answers cross the link in pieces.
MAX_PIECE_BYTES: Final = 8192
#: Smaller pieces would cost a small VM more processor time than they save.
_MIN_PIECE_BYTES: Final = 2048
#: The link carries a piece in this time. A short message waits behind one at
#: most, on each of the four ways of a request and its answer.
_PIECE_MS: Final = 10
#: Bytes in a millisecond at 1 Mbit/s.
BYTES_PER_MS_AND_MBPS: Final = 125


def find_piece_bytes(link_mbps: float) -> int:
    """Return the size of pieces on a link of this rate."""
    size = int(link_mbps * BYTES_PER_MS_AND_MBPS * _PIECE_MS)
    return min(max(size, _MIN_PIECE_BYTES), MAX_PIECE_BYTES)


class Direction(enum.Enum):
    """Direction of bytes on the link; the value labels metrics."""

    RECEIVED = 'received'
    SENT = 'sent'


@dataclass(frozen=True, slots=True)
class Transfer:
    """One large body that crosses the link.

    ``rank`` is that of its route, where 0 is the most urgent. ``target_ms`` is
    until when the body has to pass to be in time.
    """

    number: int
    direction: Direction
    rank: int
    target_ms: int


def find_turn_order(transfer: Transfer, now: int) -> tuple[bool, int, int, int]:
    """Return the place of a transfer in the order of turns.

    The one that can still be in time, of the most urgent rank, with the
    earliest target goes first: sharing the link evenly would make all of them
    late. What is late already does not delay the others.
    """
    return (
        transfer.target_ms < now,
        transfer.rank,
        transfer.target_ms,
        transfer.number,
    )


@dataclass(frozen=True, slots=True)
class Claim:
    """The next piece of a transfer, which waits since ``since_ms``."""

    transfer: Transfer
    size: int
    since_ms: int


@dataclass(frozen=True, slots=True)
class PassRequest:
    """Asks the link task for a turn; the reply says that the piece may pass."""

    claim: Claim
    reply: Mailbox[None]


@dataclass(frozen=True, slots=True)
class StartRequest:
    """Asks whether the link can soon pass a body of ``size`` bytes.

    The reply says that it can.
    """

    transfer: Transfer
    size: int
    reply: Mailbox[None]


@dataclass(frozen=True, slots=True)
class ExpectedAnswer:
    """What is expected of an answer before its request is sent.

    ``size`` is in bytes. ``duration_ms`` is the usual time at the upstream, and
    ``give_up_ms`` when the request times out.
    """

    size: int
    duration_ms: int
    give_up_ms: int


@dataclass(frozen=True, slots=True)
class AskNow:
    """The link can soon pass the answer."""


@dataclass(frozen=True, slots=True)
class TooLate:
    """The link can't pass the answer before its request times out."""

    retry_after_ms: int


AskDecision = AskNow | TooLate


@dataclass(frozen=True, slots=True)
class AskRequest:
    """Asks whether a request with a large answer may be sent.

    The reply comes when the link can soon pass the answer, or as soon as it is
    known that it can't in time.
    """

    transfer: Transfer
    answer: ExpectedAnswer
    reply: Mailbox[AskDecision]


@dataclass(frozen=True, slots=True)
class Arrived:
    """Bytes of the answer to a request that has asked for it."""

    transfer: Transfer
    size: int


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """The transfer has ended and wants no further turn."""

    transfer: Transfer


@dataclass(frozen=True, slots=True)
class Unused:
    """Bytes of a turn that were not needed."""

    direction: Direction
    size: int
