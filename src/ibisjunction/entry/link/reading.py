"""Reads large bodies as the link has room for them.

What has arrived, or was sent already because the receive buffer had room for
it, crosses the link whether it is read or not. So only reads that let the
sender send more wait for their turn.
"""

import contextlib
import functools
import socket
from collections.abc import Awaitable, Callable, Iterator
from typing import Final, Protocol

from ibisjunction.entry.link.model import BYTES_PER_MS_AND_MBPS, Direction
from ibisjunction.entry.link.transfers import BulkTransfer, Link
from ibisjunction.limits import CHUNK_BYTES

#: A sender that is not read may have sent what the link carries in this time,
#: and Linux grants twice of what is asked for. Many bodies begin at once, and
#: this much of each arrives out of turn. It covers the round trip to a caller.
_UNREAD_MS: Final = 5
#: Linux grants little less than twice this.
_MIN_UNREAD_BYTES: Final = 2048
#: From this size on, the kernel chooses the size by itself, as for any socket.
_MAX_UNREAD_BYTES: Final = 65536


class ReadBytes(Protocol):
    """Reads from a stream as `IOStream.read_bytes` does."""

    def __call__(
        self,
        num_bytes: int,
        partial: bool = False,  # noqa: FBT001, FBT002
    ) -> Awaitable[bytes]:
        """Return bytes, fewer than asked for if ``partial`` is set."""


def find_unread_bytes(link_mbps: float) -> int | None:
    """Return the receive buffer of connections, or ``None`` for the default."""
    size = int(link_mbps * BYTES_PER_MS_AND_MBPS * _UNREAD_MS)
    return None if size >= _MAX_UNREAD_BYTES else max(size, _MIN_UNREAD_BYTES)


def limit_unread(connection: socket.socket, size: int | None) -> None:
    """Set the receive buffer of a connection, before it is established."""
    if size is not None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


@contextlib.contextmanager
def pace_body(
    read: ReadBytes,
    connection: socket.socket,
    link: Link,
    rank: int,
    find_target_ms: Callable[[], int],
    count_arrived: Callable[[int], None] | None = None,
) -> Iterator[ReadBytes]:
    """Provide how to read one message during the block.

    :param read: reads from the stream of the connection.
    :param find_target_ms: tells until when the body has to be read; it is
        called when the head has been read.
    :param count_arrived: is called with the bytes of each read.
    """
    with contextlib.ExitStack() as stack:
        open_transfer = functools.partial(
            _open_transfer, stack, link, rank, find_target_ms
        )
        reader = _PacedReader(read, connection, link, open_transfer)
        if count_arrived is None:
            yield reader.read_bytes
        else:
            yield functools.partial(_read_counted, reader, count_arrived)


def _open_transfer(
    stack: contextlib.ExitStack,
    link: Link,
    rank: int,
    find_target_ms: Callable[[], int],
) -> BulkTransfer:
    return stack.enter_context(
        link.open_transfer(Direction.RECEIVED, rank, find_target_ms())
    )


async def _read_counted(
    reader: '_PacedReader',
    count_arrived: Callable[[int], None],
    num_bytes: int,
    partial: bool = False,  # noqa: FBT001, FBT002
) -> bytes:
    part = await reader.read_bytes(num_bytes, partial)
    count_arrived(len(part))
    return part


class _PacedReader:
    def __init__(
        self,
        read: ReadBytes,
        connection: socket.socket,
        link: Link,
        open_transfer: Callable[[], BulkTransfer],
    ) -> None:
        self._read = read
        self._connection = connection
        self._link = link
        self._open_transfer = open_transfer
        self._transfer: BulkTransfer | None = None

    async def read_bytes(
        self,
        num_bytes: int,
        partial: bool = False,  # noqa: FBT001, FBT002
    ) -> bytes:
        """Read bytes, in turns as long as the sender has more to send.

        :param num_bytes: what is left of the body, if ``partial`` is set.
        """
        if not partial or num_bytes <= self._find_sent_bytes():
            # Tornado gathers as many bytes as are asked for and have arrived.
            size = min(num_bytes, CHUNK_BYTES) if partial else num_bytes
            part = await self._read(size, partial)
            if num_bytes > self._link.piece_bytes:
                self._link.count_arrived(Direction.RECEIVED, len(part))
            else:
                self._link.count_short(Direction.RECEIVED, len(part))
            return part
        if self._transfer is None:
            self._transfer = self._open_transfer()
        size = min(num_bytes, self._transfer.piece_bytes)
        await self._transfer.pass_piece(size)
        part = await self._read(size, partial=True)
        self._transfer.give_back(size - len(part))
        return part

    def _find_sent_bytes(self) -> int:
        """Return what the sender may have sent, read or not."""
        try:
            return self._connection.getsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF
            )
        except OSError:
            # Reading reports that the connection is closed.
            return 0
