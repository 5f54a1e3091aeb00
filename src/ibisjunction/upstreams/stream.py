"""The TCP stream of a connection to an upstream."""

import contextlib
import errno
import socket
from collections.abc import Iterator
from typing import Final

from tornado.iostream import IOStream

from ibisjunction.byte_budget import ByteBudget
from ibisjunction.settings import Address

#: Copies of received bytes that are held at once: in the buffer of the stream
#: or as chunks, and joined to the whole.
_HELD_COPIES: Final = 2


class UpstreamStream(IOStream):
    """A stream that detects unread bytes and a close by the other end.

    The bytes of an answer count for the duration of :meth:`hold_received`. A
    stream that receives more than it may is closed, so that an upstream that
    sends without end does not fill the memory.
    """

    def __init__(
        self,
        stream_socket: socket.socket,
        budget: ByteBudget | None = None,
        max_bytes: int | None = None,
    ) -> None:
        """Create a stream.

        :param budget: bytes that all streams of the VM may hold together.
        :param max_bytes: bytes that this one may hold.
        """
        super().__init__(stream_socket, max_buffer_size=max_bytes)
        self._budget = budget
        self._max_bytes = max_bytes
        self._received = 0
        self._is_held = False

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read into a buffer, unless more was received than is allowed."""
        size = super().read_from_fd(buf)
        if size and not self._take(size):
            # Tornado closes a stream quietly after a reset.
            raise ConnectionResetError(
                errno.ECONNRESET, 'the upstream sent more than is buffered'
            )
        return size

    @contextlib.contextmanager
    def hold_received(self) -> Iterator[None]:
        """Count the received bytes for the duration of the block.

        They count even if the stream is closed meanwhile, as its reader still
        holds them. A closed stream is part of reference cycles, so its buffer
        is emptied.
        """
        self._is_held = True
        try:
            yield
        finally:
            self._is_held = False
            self._release_received()
            if self.closed():
                self._read_buffer = bytearray()
                self._read_buffer_size = 0

    def close_fd(self) -> None:
        """Close the socket."""
        if not self._is_held:
            self._release_received()
        super().close_fd()

    def _release_received(self) -> None:
        if self._budget is not None:
            self._budget.release(self._received * _HELD_COPIES)
        self._received = 0

    def _take(self, size: int) -> bool:
        """Count received bytes; return whether they are allowed."""
        if self._budget is None:
            return True
        is_small = (
            self._max_bytes is None or self._received + size <= self._max_bytes
        )
        if not is_small or not self._budget.try_take(size * _HELD_COPIES):
            return False
        self._received += size
        return True

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes arrived that no exchange has read."""
        return self._read_buffer_size > 0

    @property
    def is_clean(self) -> bool:
        """Whether the stream is open, without unread or unsent bytes.

        An upstream may answer before it has got the whole request. The rest of
        it would hold the body, and would be sent before the next request.

        The socket is checked directly, because the event loop may not have
        processed a close by the other end yet.
        """
        if self.closed() or self.has_unread_bytes or self.writing():
            return False
        try:
            self.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False


def make_stream(
    address: Address,
    budget: ByteBudget | None = None,
    max_bytes: int | None = None,
) -> UpstreamStream:
    """Return a stream that is not connected yet."""
    family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
    return UpstreamStream(
        socket.socket(family, socket.SOCK_STREAM), budget, max_bytes
    )
