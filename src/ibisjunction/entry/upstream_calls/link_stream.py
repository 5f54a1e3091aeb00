"""A stream to an upstream whose large answers are read in turns."""

import contextlib
import socket
from collections.abc import Awaitable, Iterator

from ibisjunction.byte_budget import ByteBudget
from ibisjunction.entry.link.reading import ReadBytes, limit_unread, pace_body
from ibisjunction.entry.link.transfers import BulkTransfer
from ibisjunction.settings import Address
from ibisjunction.upstreams.stream import UpstreamStream


class LinkStream(UpstreamStream):
    """A stream that reads large answers as the link has room for them."""

    def __init__(
        self,
        stream_socket: socket.socket,
        budget: ByteBudget | None = None,
        max_bytes: int | None = None,
    ) -> None:
        """Create a stream; the arguments are those of its base."""
        super().__init__(stream_socket, budget, max_bytes)
        self._paced: ReadBytes | None = None
        #: Bytes that the kernel has taken since the connection was opened.
        self.sent_bytes = 0

    def write_to_fd(self, data: memoryview) -> int:
        """Write as much as the kernel takes, and count it."""
        size = super().write_to_fd(data)
        self.sent_bytes += size
        return size

    def read_bytes(
        self,
        num_bytes: int,
        partial: bool = False,  # noqa: FBT001, FBT002
    ) -> Awaitable[bytes]:
        """Read bytes, in turns during :meth:`pace_answers`."""
        if self._paced is not None:
            return self._paced(num_bytes, partial)
        return super().read_bytes(num_bytes, partial)

    def _read_now(
        self,
        num_bytes: int,
        partial: bool = False,  # noqa: FBT001, FBT002
    ) -> Awaitable[bytes]:
        return UpstreamStream.read_bytes(self, num_bytes, partial)

    @contextlib.contextmanager
    def pace_answers(self, transfer: BulkTransfer) -> Iterator[None]:
        """Read answers in turns during the block.

        :param transfer: that of the request, for rank and target.
        """
        with pace_body(
            self._read_now,
            self.socket,
            transfer.link,
            transfer.rank,
            lambda: transfer.target_ms,
            transfer.count_answer,
        ) as read_bytes:
            self._paced = read_bytes
            try:
                yield
            finally:
                self._paced = None


def make_link_stream(
    address: Address,
    budget: ByteBudget | None,
    max_bytes: int,
    unread_bytes: int | None,
) -> LinkStream:
    """Return a stream that is not connected yet.

    :param unread_bytes: receive buffer, or ``None`` for that of the kernel.
    """
    family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
    connection = socket.socket(family, socket.SOCK_STREAM)
    limit_unread(connection, unread_bytes)
    return LinkStream(connection, budget, max_bytes)
