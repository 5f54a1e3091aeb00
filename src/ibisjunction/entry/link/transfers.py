"""How the owners of large bodies pass them over the link."""

import contextlib
import itertools
import math
from collections.abc import Iterable, Iterator
from typing import Final, Protocol

from ibisjunction.clock import Clock
from ibisjunction.entry.link.meter import LinkMeter
from ibisjunction.entry.link.model import (
    MAX_PIECE_BYTES,
    Arrived,
    AskDecision,
    AskNow,
    AskRequest,
    Claim,
    Direction,
    ExpectedAnswer,
    PassRequest,
    StartRequest,
    Transfer,
    Unused,
    Withdrawn,
)
from ibisjunction.entry.link.task import LinkMessage, LinkTask
from ibisjunction.mailbox import Mailbox

#: Bytes of a header besides name and value: colon, space and line break.
_FIELD_OVERHEAD_BYTES: Final = 4


class BulkTransfer(Protocol):
    """A large body on its way, in pieces of ``piece_bytes``.

    ``rank`` and ``target_ms`` are those of its request. ``left_bytes`` are what
    has started and has not passed the link yet.
    """

    rank: int
    target_ms: int
    left_bytes: int

    @property
    def link(self) -> 'Link':
        """The link that the body crosses."""

    @property
    def piece_bytes(self) -> int:
        """Largest piece; smaller bodies pass at once."""

    async def start(self, size: int) -> None:
        """Wait until the link can soon pass a body of this size."""

    async def ask(self, answer: ExpectedAnswer) -> AskDecision:
        """Wait until the link can soon pass the answer, or can't in time."""

    def count_answer(self, size: int) -> None:
        """Count bytes of the answer that have arrived."""

    async def pass_piece(self, size: int) -> None:
        """Wait until a piece of the body may pass."""

    def give_back(self, size: int) -> None:
        """Give back bytes of the last piece that did not pass."""


class Link(Protocol):
    """The link of an entry VM, as seen by the owners of connections."""

    @property
    def piece_bytes(self) -> int:
        """Largest piece; smaller bodies and answers pass at once."""

    @property
    def bytes_per_ms(self) -> float:
        """Rate at which short messages and large bodies pass together."""

    def count_short(self, direction: Direction, size: int) -> None:
        """Count bytes that pass without waiting."""

    def count_arrived(self, direction: Direction, size: int) -> None:
        """Count bytes of a large body that have crossed the link already."""

    def count_started(self, direction: Direction) -> int:
        """Return the bytes of started bodies that have not passed yet."""

    def open_transfer(
        self, direction: Direction, rank: int, target_ms: int
    ) -> contextlib.AbstractContextManager[BulkTransfer]:
        """Provide a transfer for the duration of the block."""


class FreeLink:
    """A link without a bound, on which nothing waits."""

    piece_bytes = MAX_PIECE_BYTES
    bytes_per_ms = math.inf

    def count_short(self, direction: Direction, size: int) -> None:
        """Do nothing."""

    def count_arrived(self, direction: Direction, size: int) -> None:
        """Do nothing."""

    def count_started(self, direction: Direction) -> int:
        """Return 0, as nothing waits."""
        return 0

    @contextlib.contextmanager
    def open_transfer(
        self, direction: Direction, rank: int, target_ms: int
    ) -> Iterator[BulkTransfer]:
        """Provide a transfer that never waits."""
        yield FreeTransfer(self, rank, target_ms)


class SharedLink:
    """The link whose turns a link task gives."""

    def __init__(self, task: LinkTask) -> None:
        """Ask this task."""
        self._mailbox = task.mailbox
        self._meter = task.meter
        self._clock = task.clock
        self._numbers = itertools.count(1)
        self._open: set[_SharedTransfer] = set()
        self.piece_bytes = task.piece_bytes
        self.bytes_per_ms = task.bytes_per_ms

    def count_short(self, direction: Direction, size: int) -> None:
        """Count bytes that pass without waiting."""
        self._meter.count_short(direction, size)

    def count_arrived(self, direction: Direction, size: int) -> None:
        """Count bytes of a large body that have crossed the link already."""
        self._meter.count_bulk(direction, size)

    def count_started(self, direction: Direction) -> int:
        """Return the bytes of started bodies that have not passed yet."""
        return sum(
            transfer.left_bytes
            for transfer in self._open
            if transfer.direction is direction
        )

    @contextlib.contextmanager
    def open_transfer(
        self, direction: Direction, rank: int, target_ms: int
    ) -> Iterator[BulkTransfer]:
        """Provide a transfer; its turn is given up when the block ends."""
        transfer = Transfer(next(self._numbers), direction, rank, target_ms)
        shared = _SharedTransfer(
            transfer, self, self._mailbox, self._meter, self._clock
        )
        self._open.add(shared)
        try:
            yield shared
        finally:
            self._open.discard(shared)
            if shared.is_known:
                self._mailbox.post(Withdrawn(transfer))


class FreeTransfer:
    """A transfer on a link without a bound."""

    piece_bytes = MAX_PIECE_BYTES
    left_bytes = 0

    def __init__(self, link: 'Link', rank: int, target_ms: int) -> None:
        """Create the transfer of a request."""
        self.link = link
        self.rank = rank
        self.target_ms = target_ms

    async def start(self, size: int) -> None:
        """Return at once."""

    async def ask(self, answer: ExpectedAnswer) -> AskDecision:
        """Return at once."""
        return AskNow()

    def count_answer(self, size: int) -> None:
        """Do nothing."""

    async def pass_piece(self, size: int) -> None:
        """Return at once."""

    def give_back(self, size: int) -> None:
        """Do nothing."""


class _SharedTransfer:
    def __init__(
        self,
        transfer: Transfer,
        link: SharedLink,
        mailbox: Mailbox[LinkMessage],
        meter: LinkMeter,
        clock: Clock,
    ) -> None:
        self._transfer = transfer
        self._mailbox = mailbox
        self._meter = meter
        self._clock = clock
        self.link = link
        self.rank = transfer.rank
        self.target_ms = transfer.target_ms
        self.piece_bytes = link.piece_bytes
        #: Whether the link task has to be told of the end.
        self.is_known = False
        self.direction = transfer.direction
        self.left_bytes = 0
        self._has_asked = False

    async def start(self, size: int) -> None:
        """Wait until the link can soon pass a body of this size."""
        if size <= self.piece_bytes:
            return
        reply: Mailbox[None] = Mailbox()
        self.is_known = True
        self._mailbox.post(StartRequest(self._transfer, size, reply))
        await reply.get()
        self.left_bytes = size

    async def ask(self, answer: ExpectedAnswer) -> AskDecision:
        """Wait until the link can soon pass the answer, or can't in time."""
        if answer.size <= self.piece_bytes:
            return AskNow()
        reply: Mailbox[AskDecision] = Mailbox()
        self.is_known = True
        self._has_asked = True
        self._mailbox.post(AskRequest(self._transfer, answer, reply))
        return await reply.get()

    def count_answer(self, size: int) -> None:
        """Tell the link task of an answer that was asked for."""
        if self._has_asked:
            self._mailbox.post(Arrived(self._transfer, size))

    async def pass_piece(self, size: int) -> None:
        """Wait for the turn of a piece."""
        reply: Mailbox[None] = Mailbox()
        claim = Claim(self._transfer, size, self._clock.now())
        self.is_known = True
        self._mailbox.post(PassRequest(claim, reply))
        await reply.get()
        self.left_bytes = max(0, self.left_bytes - size)
        self._meter.count_bulk(self._transfer.direction, size)

    def give_back(self, size: int) -> None:
        """Give back what the last turn did not need."""
        if size:
            self._mailbox.post(Unused(self._transfer.direction, size))
            self._meter.count_bulk(self._transfer.direction, -size)


def measure_fields(headers: Iterable[tuple[str, str]]) -> int:
    """Return the bytes of headers as they are sent."""
    return sum(
        len(name) + len(text) + _FIELD_OVERHEAD_BYTES for name, text in headers
    )


def split_body(
    body: bytes | bytearray, piece_bytes: int
) -> Iterator[memoryview]:
    """Yield the pieces of a body without copying them."""
    view = memoryview(body)
    for start in range(0, len(view), piece_bytes):
        yield view[start : start + piece_bytes]


def make_free_transfer() -> BulkTransfer:
    """Return a transfer for a request that has no link."""
    return FreeTransfer(FreeLink(), 0, 0)
