"""The TCP stream of a connection to an upstream."""

import socket

from tornado.iostream import IOStream

from ibisjunction.settings import Address


class UpstreamStream(IOStream):
    """A stream that detects unread bytes and a close by the other end."""

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes arrived that no exchange has read."""
        return self._read_buffer_size > 0

    @property
    def is_clean(self) -> bool:
        """Whether the stream is open and nothing arrived since the last read.

        The socket is checked directly, because the event loop may not have
        processed a close by the other end yet.
        """
        if self.closed() or self.has_unread_bytes:
            return False
        try:
            self.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False


def make_stream(address: Address) -> UpstreamStream:
    """Return a stream that is not connected yet."""
    family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
    return UpstreamStream(socket.socket(family, socket.SOCK_STREAM))
