"""The TCP stream of a connection of a caller."""

import contextlib
import socket
from asyncio import Future
from dataclasses import dataclass
from typing import Final

from tornado.iostream import IOStream, UnsatisfiableReadError

from ibisjunction.clock import Clock

#: Bytes that are read at once. A connection that is not read further holds
#: this much besides what the account knows of.
READ_PIECE_BYTES: Final = 16_384


@dataclass(slots=True)
class CallerTraffic:
    """When bytes last crossed any connection of a caller."""

    received_ms: int = 0
    taken_ms: int = 0


class CallerStream(IOStream):
    """A stream that reads ahead no more than one piece.

    A read up to a delimiter returns what it read if that is not within its
    limit; the stream stays open. It also knows when its caller last took bytes.
    """

    def __init__(
        self,
        stream_socket: socket.socket,
        clock: Clock,
        traffic: CallerTraffic | None = None,
    ) -> None:
        """Take over an accepted connection.

        :param traffic: is updated as bytes arrive and are taken.
        """
        super().__init__(stream_socket, read_chunk_size=READ_PIECE_BYTES)
        self._clock = clock
        self._traffic = traffic or CallerTraffic()
        self._written_ms = clock.now()

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read into a buffer, unless nobody waits for more than it holds.

        Tornado reads on until the limit of the last head is buffered, whether
        anything is being read or not.
        """
        if self._read_buffer_size and not self.reading():
            return None
        size = super().read_from_fd(buf)
        if size:
            self._traffic.received_ms = self._clock.now()
        return size

    def _find_read_pos(self) -> int | None:
        """Return where a read ends; one above its limit ends there.

        Tornado closes the stream instead, under the requests before that are
        not answered yet.
        """
        try:
            return super()._find_read_pos()
        except UnsatisfiableReadError:
            return self._read_max_bytes

    def write(self, data: bytes | memoryview) -> 'Future[None]':
        """Write bytes once the socket takes them."""
        if not self.writing():
            self._written_ms = self._clock.now()
        return super().write(data)

    def write_to_fd(self, data: memoryview) -> int:
        """Write to the socket, and record when it takes bytes."""
        size = super().write_to_fd(data)
        if size:
            self._written_ms = self._clock.now()
            self._traffic.taken_ms = self._written_ms
        return size

    @property
    def has_unread(self) -> bool:
        """Whether bytes have arrived that no reader has taken yet."""
        if not self.closed():
            if self._read_buffer_size:
                return True
            with contextlib.suppress(OSError):
                return bool(self.socket.recv(1, socket.MSG_PEEK))
        return False

    def forget_received(self) -> None:
        """Empty the buffer of a closed stream, which cycles keep alive."""
        self._read_buffer = bytearray()
        self._read_buffer_size = 0

    @property
    def blocked_ms(self) -> int:
        """For how long bytes have waited and the caller took none."""
        if self.closed() or not self.writing():
            return 0
        return self._clock.now() - self._written_ms
