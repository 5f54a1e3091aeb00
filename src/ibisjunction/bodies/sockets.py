"""Options of the sockets on which callers connect."""

import logging
import socket
from collections.abc import Iterator
from typing import Any, Final

_logger = logging.getLogger(__name__)

#: Bytes that the system keeps for a connection that is not read. The default
#: grows to some megabytes, which count as memory of the process. A caller sends
#: this much in a round trip.
RECEIVE_BUFFER_BYTES: Final = 65_536


def limit_receive_buffer(listener: socket.socket) -> None:
    """Bound the unread bytes of the connections that a socket accepts."""
    listener.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )


def accept_waiting(
    listener: socket.socket, backlog: int
) -> Iterator[tuple[socket.socket, Any]]:
    """Yield the connections, with their peers, that wait to be accepted.

    :param backlog: length of the queue of the listener; the kernel admits one
        connection more.
    """
    for _ in range(backlog + 1):
        try:
            accepted = listener.accept()
        except ConnectionAbortedError:
            # Its caller has left; others may wait behind it.
            continue
        except BlockingIOError:
            return
        except OSError as error:
            _logger.warning('connections that wait are reset: %s', error)
            return
        yield accepted


def read_address(peer: Any) -> str:
    """Return the host of a peer's address, empty if there is none."""
    return str(peer[0]) if isinstance(peer, tuple) and peer else ''
