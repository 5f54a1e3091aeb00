"""Connections that stay established but stop carrying traffic."""

import os
import weakref

from tornado.iostream import IOStream


class ConnectionRegistry:
    """The connections that a stand-in has accepted.

    Silencing closes the descriptor that the process uses but keeps a duplicate
    of it. The kernel therefore still acknowledges data and sends no FIN, as
    when a middlebox has lost the state of the connection.
    """

    def __init__(self) -> None:
        """Start without connections."""
        self._streams: weakref.WeakSet[IOStream] = weakref.WeakSet()
        self._silenced: weakref.WeakSet[IOStream] = weakref.WeakSet()
        self._duplicates: list[int] = []

    def add(self, stream: IOStream) -> None:
        """Register a connection."""
        self._streams.add(stream)

    def is_silenced(self, stream: IOStream) -> bool:
        """Return whether a connection was silenced, not closed by its peer."""
        return stream in self._silenced

    def silence(self) -> int:
        """Silence all established connections and return their number."""
        streams = [stream for stream in self._streams if not stream.closed()]
        for stream in streams:
            self._duplicates.append(os.dup(stream.socket.fileno()))
            self._silenced.add(stream)
            stream.close()
        return len(streams)

    def close(self) -> None:
        """Close the duplicate descriptors, which ends silenced connections."""
        while self._duplicates:
            os.close(self._duplicates.pop())
