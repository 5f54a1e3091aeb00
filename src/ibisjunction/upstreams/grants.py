"""Sends grants over one persistent connection per upstream."""

import asyncio
import sys
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Final

import msgspec

from ibisjunction.clock import Clock, in_seconds
from ibisjunction.mailbox import Mailbox
from ibisjunction.settings import Address
from ibisjunction.settings.loader import parse_address
from ibisjunction.upstreams.connection import ConnectionTask
from ibisjunction.upstreams.messages import (
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    AnswerPart,
    BodyChunk,
    BodyEnd,
    BodyPart,
    Exchange,
    ExchangeFailed,
)
from ibisjunction.upstreams.protocol import (
    GRANTS_PATH,
    GrantAnswer,
    GrantCall,
    UpstreamUnreachableError,
)

#: Grants are renewed far more often than this. An upstream whose connection is
#: idle for longer has another VM as its dispatcher.
_MAX_IDLE_MS: Final = 5000
#: Lets the connection start a call at any time; the ownership task checks the
#: VM lease before each call.
_NO_START_LIMIT_MS: Final = sys.maxsize


@dataclass(slots=True)
class _GrantConnection:
    connection: ConnectionTask
    task: 'asyncio.Task[None]'
    used_at_ms: int
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)


class GrantConnections:
    """The connections on which this VM renews grants."""

    def __init__(self, clock: Clock) -> None:
        """Start without connections."""
        self._clock = clock
        self._connections: dict[Address, _GrantConnection] = {}

    async def send(
        self,
        address: str,
        call: GrantCall,
        timeout_ms: int,
    ) -> GrantAnswer:
        """Send grants to the upstream at ``host:port``.

        After a timeout or a failed exchange the next call uses a new
        connection.

        :raises UpstreamUnreachableError: without a valid answer in time.
        """
        self._close_long_idle()
        parsed_address = parse_address(address)
        grant_connection = self._get_or_start(parsed_address)
        try:
            async with (
                asyncio.timeout(in_seconds(timeout_ms)),
                grant_connection.lock,
            ):
                body = await _send_call(
                    grant_connection.connection, parsed_address, call
                )
        except (TimeoutError, UpstreamUnreachableError) as error:
            self._close(parsed_address, grant_connection)
            raise UpstreamUnreachableError(
                f'{address}: {error or "no answer in time"}',
            ) from error
        try:
            return msgspec.json.decode(body, type=GrantAnswer)
        except msgspec.DecodeError as error:
            raise UpstreamUnreachableError(f'{address}: {error}') from error

    async def close(self) -> None:
        """Close all connections."""
        connections = tuple(self._connections.values())
        self._connections.clear()
        for grant_connection in connections:
            grant_connection.connection.stop()
            await grant_connection.task

    def _get_or_start(self, address: Address) -> _GrantConnection:
        grant_connection = self._connections.get(address)
        if grant_connection is None:
            connection = ConnectionTask(address, self._clock)
            task = asyncio.create_task(
                connection.run(),
                name=f'grants {address}',
            )
            grant_connection = _GrantConnection(
                connection, task, self._clock.now()
            )
            self._connections[address] = grant_connection
        grant_connection.used_at_ms = self._clock.now()
        return grant_connection

    def _close(
        self, address: Address, grant_connection: _GrantConnection
    ) -> None:
        grant_connection.connection.stop()
        if self._connections.get(address) is grant_connection:
            self._connections.pop(address)

    def _close_long_idle(self) -> None:
        min_used_at_ms = self._clock.now() - _MAX_IDLE_MS
        for address, grant_connection in tuple(self._connections.items()):
            if grant_connection.used_at_ms < min_used_at_ms:
                self._close(address, grant_connection)


async def _send_call(
    connection: ConnectionTask,
    address: Address,
    call: GrantCall,
) -> bytes:
    encoded = msgspec.json.encode(call)
    body: Mailbox[BodyPart] = Mailbox()
    body.post(BodyChunk(encoded))
    body.post(BodyEnd())
    answer_parts: Mailbox[AnswerPart] = Mailbox()
    headers = (
        ('Host', str(address)),
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(encoded))),
    )
    connection.mailbox.post(
        Exchange(
            None,
            'PUT',
            GRANTS_PATH,
            headers,
            _NO_START_LIMIT_MS,
            body,
            answer_parts,
        ),
    )
    return await _read_answer_body(answer_parts)


async def _read_answer_body(answer_parts: Mailbox[AnswerPart]) -> bytes:
    body = b''
    part = await answer_parts.get()
    while not isinstance(part, AnswerEnd):
        body += _get_body_bytes(part)
        part = await answer_parts.get()
    return body


def _get_body_bytes(part: AnswerPart) -> bytes:
    match part:
        case AnswerHead(status=status) if status != HTTPStatus.OK:
            raise UpstreamUnreachableError(f'status {status}')
        case AnswerChunk(chunk=chunk):
            return chunk
        case ExchangeFailed(detail=detail):
            raise UpstreamUnreachableError(detail)
    return b''
