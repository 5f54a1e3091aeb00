"""The HTTP server of interfaces whose calls are short.

These are the interfaces of operators, of upstreams that check in, of the load
balancer and of monitoring systems.
"""

import functools
import socket
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, Final

from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream

from ibisjunction.bodies.account import BodyAccount
from ibisjunction.bodies.connections import (
    Admitted,
    ConnectionTable,
    Rejected,
)
from ibisjunction.bodies.gate import BodyGate, BodyHold
from ibisjunction.bodies.sockets import limit_receive_buffer, read_address
from ibisjunction.clock import SystemClock

#: Largest body of a call. A route in an update has about 250 bytes. Decoded
#: JSON takes up to twenty times its size.
_MAX_BODY_BYTES: Final = 4_194_304
#: Room for the bodies of all calls of one server.
_BODY_ROOM_BYTES: Final = 20_000_000
#: Connections of one server. Upstreams open one for each check-in, and 3,000 of
#: them check in once a second over connections of some milliseconds.
_MAX_CONNECTIONS: Final = 1024
_CHUNK_BYTES: Final = 16_384
_MAX_HEADER_BYTES: Final = 16_384
#: Time between the calls of a connection, and for a head.
_IDLE_TIMEOUT_S: Final = 60
#: Time for a body. An operator gives up after seconds.
_BODY_TIMEOUT_S: Final = 30


class BoundedHttpServer(HTTPServer):
    """A server whose connections and bodies stay within limits."""

    def initialize(  # type: ignore[override]
        self,
        request_callback: Any,
        *,
        max_connections: int = _MAX_CONNECTIONS,
        body_room_bytes: int = _BODY_ROOM_BYTES,
        **options: Any,
    ) -> None:
        """Prepare the server.

        :param max_connections: connections that are open at once.
        :param body_room_bytes: bytes of bodies that are held at once.
        """
        super().initialize(
            request_callback,
            max_body_size=min(_MAX_BODY_BYTES, body_room_bytes),
            max_header_size=_MAX_HEADER_BYTES,
            chunk_size=_CHUNK_BYTES,
            idle_connection_timeout=_IDLE_TIMEOUT_S,
            body_timeout=_BODY_TIMEOUT_S,
            **options,
        )
        self.gate = BodyGate(BodyAccount(body_room_bytes), SystemClock())
        self.table = ConnectionTable(max_connections)
        self._last_number = 0
        self._numbers: dict[object, int] = {}
        self._streams: dict[int, IOStream] = {}
        self._receivers: dict[int, _BodyReceiver] = {}

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Accept connections on listening sockets."""
        listeners = list(sockets)
        for listener in listeners:
            limit_receive_buffer(listener)
        super().add_sockets(listeners)

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Serve a new connection, if there is a place for it."""
        self._last_number += 1
        number = self._last_number
        match self.table.admit(number, read_address(address)):
            case Rejected():
                stream.close()
                return
            case Admitted(displaced=displaced):
                if displaced is not None:
                    self._streams.pop(displaced).close()
        self._streams[number] = stream
        self._numbers[stream] = number
        super().handle_stream(stream, address)

    def start_request(
        self, server_conn: Any, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the receiver of the next call on a connection."""
        number = self._numbers[server_conn.stream]
        self._end_call(number)
        receiver = _BodyReceiver(
            super().start_request(server_conn, request_conn),
            BodyHold(self.gate, server_conn.context.remote_ip),
            server_conn.stream,
            functools.partial(self.table.mark, number, is_busy=True),
        )
        self._receivers[number] = receiver
        return receiver

    def on_close(self, server_conn: Any) -> None:
        """Forget a connection."""
        number = self._numbers.pop(server_conn.stream)
        self._end_call(number)
        self._streams.pop(number, None)
        self.table.remove(number)
        super().on_close(server_conn)

    def _end_call(self, number: int) -> None:
        """Release what the last call of a connection holds."""
        self.table.mark(number, is_busy=False)
        receiver = self._receivers.pop(number, None)
        if receiver is not None:
            receiver.release()


class _BodyReceiver(HTTPMessageDelegate):
    """Passes a body on once it is whole, and holds it until its call ends."""

    def __init__(
        self,
        delegate: HTTPMessageDelegate,
        held: BodyHold,
        stream: IOStream,
        on_complete: Callable[[], None],
    ) -> None:
        self._delegate = delegate
        self._stream = stream
        self._on_complete = on_complete
        self._body = bytearray()
        self._held = held
        held.on_drop = self._close

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Pass on the head."""
        return self._delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Hold a part of the body, and wait until there is room for more."""
        self._body += chunk
        return self._held.take(len(chunk))

    def finish(self) -> None:
        """Pass on the body."""
        self._held.complete()
        self._on_complete()
        if self._body:
            body = bytes(self._body)
            self._body.clear()
            self._delegate.data_received(body)
        self._delegate.finish()

    def on_connection_close(self) -> None:
        """Forget the body, as its caller has left."""
        self.release()
        self._delegate.on_connection_close()

    def release(self) -> None:
        """Give back the room of the body."""
        self._body.clear()
        self._held.release()

    def _close(self) -> None:
        """Close the connection of a body that was dropped."""
        self._body.clear()
        self._stream.close()
        # The parser finds the closed stream at its next read.
        self._held.let_read_on()
