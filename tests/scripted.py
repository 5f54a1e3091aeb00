"""A scripted upstream on loopback, for tests at the level of sockets."""

import asyncio
import contextlib
import socket
import struct

from ibisjunction.settings import Address

# SO_LINGER with a time of 0: closing the socket sends a reset.
_LINGER_ZERO = struct.pack('ii', 1, 0)


class ScriptedUpstream:
    """Runs the n-th script on the n-th connection.

    A script is an async function of the connection's reader and writer. Once
    the scripts are used up, the last one is repeated.
    """

    def __init__(self, *scripts) -> None:
        self._scripts = list(scripts)
        self.connections = 0
        self.requests: list[bytes] = []

    @contextlib.asynccontextmanager
    async def run(self):
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        try:
            yield Address('127.0.0.1', port)
        finally:
            server.close()

    async def _serve(self, reader, writer) -> None:
        index = min(self.connections, len(self._scripts) - 1)
        self.connections += 1
        with contextlib.suppress(
            OSError,
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
        ):
            await self._scripts[index](self, reader, writer)
        writer.close()

    async def read_head(self, reader) -> bytes:
        """Read and record the headers of one request."""
        head = await reader.readuntil(b'\r\n\r\n')
        self.requests.append(head)
        return head


def reset(writer) -> None:
    """Close a connection so that the other end receives a reset."""
    connection = writer.get_extra_info('socket')
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
    writer.transport.abort()


def answer(*texts):
    """Return a script that sends these bytes for each request in turn.

    After the last text the connection stays open until the other end closes.
    """

    async def script(upstream, reader, writer) -> None:
        for text in texts:
            await upstream.read_head(reader)
            writer.write(text)
            await writer.drain()
        await reader.read()

    return script


def answer_with_id(*texts):
    """Return a script like that of `answer` which echoes the requests' ids."""

    async def script(upstream, reader, writer) -> None:
        for text in texts:
            head = await upstream.read_head(reader)
            status_line, rest = text.split(b'\r\n', maxsplit=1)
            ids = [
                line
                for line in head.split(b'\r\n')
                if line.startswith(b'Ibis-Request-Id: ')
            ]
            writer.write(b'\r\n'.join((status_line, *ids, rest)))
            await writer.drain()
        await reader.read()

    return script


def answer_and_close(text):
    """Return a script that sends bytes and closes."""

    async def script(upstream, reader, writer) -> None:
        await upstream.read_head(reader)
        writer.write(text)
        await writer.drain()

    return script


def answer_and_reset(text=b''):
    """Return a script that sends bytes and resets the connection."""

    async def script(upstream, reader, writer) -> None:
        await upstream.read_head(reader)
        writer.write(text)
        await writer.drain()
        await asyncio.sleep(0)
        reset(writer)

    return script
