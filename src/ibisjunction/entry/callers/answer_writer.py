"""Writes answers to the connection of a caller."""

import asyncio
from typing import Final

from ibisjunction.clock import in_seconds
from ibisjunction.entry.callers.answers import CallerAnswer
from ibisjunction.entry.callers.caller_stream import CallerStream
from ibisjunction.entry.callers.connection_context import ConnectionContext
from ibisjunction.entry.link.model import Direction
from ibisjunction.entry.link.transfers import BulkTransfer, split_body
from ibisjunction.entry.model import Refused, RoutedRequest

#: Part of the time before the cut-off that is planned for large answers. Short
#: messages pass ahead of them, and pieces whose timers fire late leave a part
#: of the link unused.
_PLANNED_SHARE: Final = 0.8
_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
#: Time in which a socket takes a piece of an answer. The idle timeout of the
#: operators does not apply: what a full link holds back is not idle. Callers
#: that do not read are dropped earlier if room for answers is short.
WRITE_TIMEOUT_MS: Final = 60_000


class AnswerWriter:
    """Writes one answer after another, large ones in pieces."""

    def __init__(
        self, stream: CallerStream, context: ConnectionContext
    ) -> None:
        """Write to a stream, from which others read."""
        self._stream = stream
        self._context = context

    def send_continue(self) -> None:
        """Tell the caller to send the body of its request."""
        if not self._stream.closed():
            self._stream.write(_CONTINUE)

    def has_time_for(self, size: int) -> bool:
        """Return whether the link passes a body before the VM cuts it off.

        It passes behind other answers, except those that nobody takes, and
        behind the bodies of requests that are on their way to upstreams. A part
        of the time stays in reserve.

        :param size: bytes of the body.
        """
        context = self._context
        link = context.link
        if context.cut_off_ms is None or size <= link.piece_bytes:
            return True
        ahead = context.count_unsent() + link.count_started(Direction.SENT)
        needed_ms = (ahead + size) / link.bytes_per_ms
        left_ms = context.cut_off_ms - context.clock.now()
        return needed_ms <= left_ms * _PLANNED_SHARE

    async def write(
        self, answer: CallerAnswer, routed: RoutedRequest | Refused
    ) -> None:
        """Write an answer, and wait until the socket has taken it.

        The wait is needed because the connection may be closed afterwards.

        :raises StreamClosedError: if the caller closes the connection.
        :raises TimeoutError: if the socket takes no piece for a minute.
        """
        head = answer.encode_head()
        body = answer.body
        link = self._context.link
        if len(body) <= link.piece_bytes or isinstance(routed, Refused):
            link.count_short(Direction.SENT, len(head) + len(body))
            await self._write_piece(head + body)
            return
        link.count_short(Direction.SENT, len(head))
        await self._write_piece(head)
        rank = routed.named_route.route.rank
        with link.open_transfer(
            Direction.SENT, rank, routed.target_ms
        ) as transfer:
            await self._write_pieces(body, transfer)

    async def _write_pieces(self, body: bytes, transfer: BulkTransfer) -> None:
        unsent = self._context.unsent
        unsent[self._stream] = len(body)
        try:
            for piece in split_body(body, transfer.piece_bytes):
                await transfer.pass_piece(len(piece))
                await self._write_piece(piece)
                unsent[self._stream] -= len(piece)
        finally:
            unsent.pop(self._stream)

    async def _write_piece(self, piece: bytes | memoryview) -> None:
        written = self._stream.write(piece)
        if not written.done():
            # Tornado logs an error if this future is cancelled.
            await asyncio.wait({written}, timeout=in_seconds(WRITE_TIMEOUT_MS))
        if not written.done():
            raise TimeoutError
        written.result()
