"""Connections that stop carrying traffic while they stay established."""

import os
import weakref

from tornado.iostream import IOStream


class ConnectionBook:
    """The connections a stand-in has served.

    Silencing closes the process's own descriptor but keeps a duplicate of it,
    so the kernel goes on acknowledging and no end of the connection is sent,
    as when a middlebox has lost its state.
    """

    def __init__(self) -> None:
        """Start without connections."""
        self._open: weakref.WeakSet[IOStream] = weakref.WeakSet()
        self._silenced: weakref.WeakSet[IOStream] = weakref.WeakSet()
        self._duplicates: list[int] = []

    def add(self, stream: IOStream) -> None:
        """Remember a connection."""
        self._open.add(stream)

    def is_silenced(self, stream: IOStream) -> bool:
        """Return whether a connection was silenced, not closed by its peer."""
        return stream in self._silenced

    def silence(self) -> int:
        """Silence all established connections and return their number."""
        streams = [stream for stream in self._open if not stream.closed()]
        for stream in streams:
            self._duplicates.append(os.dup(stream.socket.fileno()))
            self._silenced.add(stream)
            stream.close()
        return len(streams)

    def close(self) -> None:
        """Close the connections that were kept."""
        while self._duplicates:
            os.close(self._duplicates.pop())
