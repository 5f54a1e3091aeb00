"""Calls about grants over one kept connection per upstream."""

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

#: Calls are renewed far more often; a connection that is idle for this long
#: belongs to an upstream that another VM dispatches for.
_IDLE_MS: Final = 5000
#: The caller checks the VM lease itself before each call.
_NO_LIMIT_MS: Final = sys.maxsize


@dataclass(slots=True)
class _Kept:
    connection: ConnectionTask
    task: 'asyncio.Task[None]'
    used_at: int
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)


class GrantConnections:
    """The connections on which this VM renews grants."""

    def __init__(self, clock: Clock) -> None:
        """Start without connections."""
        self._clock = clock
        self._kept: dict[Address, _Kept] = {}

    async def call(
        self,
        address: str,
        call: GrantCall,
        timeout_ms: int,
    ) -> GrantAnswer:
        """Send grants to the upstream at ``host:port``.

        After a failure the next call uses a new connection.

        :raises UpstreamUnreachableError: without a valid answer in time.
        """
        self._close_idle()
        target = parse_address(address)
        kept = self._find(target)
        try:
            async with asyncio.timeout(in_seconds(timeout_ms)), kept.lock:
                body = await _exchange(kept.connection, target, call)
        except (TimeoutError, UpstreamUnreachableError) as error:
            self._close(target, kept)
            raise UpstreamUnreachableError(
                f'{address}: {error or "no answer in time"}',
            ) from error
        try:
            return msgspec.json.decode(body, type=GrantAnswer)
        except msgspec.DecodeError as error:
            raise UpstreamUnreachableError(f'{address}: {error}') from error

    async def close(self) -> None:
        """Close all connections."""
        kept_connections = tuple(self._kept.values())
        self._kept.clear()
        for kept in kept_connections:
            kept.connection.stop()
            await kept.task

    def _find(self, address: Address) -> _Kept:
        kept = self._kept.get(address)
        if kept is None:
            connection = ConnectionTask(address, self._clock)
            task = asyncio.create_task(
                connection.run(),
                name=f'grants {address}',
            )
            kept = _Kept(connection, task, self._clock.now())
            self._kept[address] = kept
        kept.used_at = self._clock.now()
        return kept

    def _close(self, address: Address, kept: _Kept) -> None:
        kept.connection.stop()
        if self._kept.get(address) is kept:
            self._kept.pop(address)

    def _close_idle(self) -> None:
        oldest = self._clock.now() - _IDLE_MS
        for address, kept in tuple(self._kept.items()):
            if kept.used_at < oldest:
                self._close(address, kept)


async def _exchange(
    connection: ConnectionTask,
    address: Address,
    call: GrantCall,
) -> bytes:
    encoded = msgspec.json.encode(call)
    body: Mailbox[BodyPart] = Mailbox()
    body.post(BodyChunk(encoded))
    body.post(BodyEnd())
    answers: Mailbox[AnswerPart] = Mailbox()
    headers = (
        ('Host', str(address)),
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(encoded))),
    )
    connection.mailbox.post(
        Exchange(
            None, 'PUT', GRANTS_PATH, headers, _NO_LIMIT_MS, body, answers
        ),
    )
    return await _collect(answers)


async def _collect(answers: Mailbox[AnswerPart]) -> bytes:
    body = b''
    part = await answers.get()
    while not isinstance(part, AnswerEnd):
        body += _read_part(part)
        part = await answers.get()
    return body


def _read_part(part: AnswerPart) -> bytes:
    match part:
        case AnswerHead(status=status) if status != HTTPStatus.OK:
            raise UpstreamUnreachableError(f'status {status}')
        case AnswerChunk(chunk=chunk):
            return chunk
        case ExchangeFailed(detail=detail):
            raise UpstreamUnreachableError(detail)
    return b''
