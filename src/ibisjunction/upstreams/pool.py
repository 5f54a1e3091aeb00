"""Keeps idle connections to upstreams for reuse."""

import asyncio
import contextlib
from collections import defaultdict
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Final

from ibisjunction.clock import Clock
from ibisjunction.settings import Address
from ibisjunction.upstreams.connection import ConnectionTask

#: Limit per upstream. An upstream accepts about 100 connections, shared by 10
#: VMs; 6 idle connections per VM and at most 4 slots in use stay within that.
_MAX_IDLE_CONNECTIONS: Final = 6
#: Middleboxes drop the state of idle connections first, so one that was idle
#: for longer than this is replaced; a new connection takes about 1 ms.
_MAX_IDLE_MS: Final = 5000
#: The same limit for a request that is sent only once and fails if the
#: connection is dead.
_MAX_IDLE_NO_REPEAT_MS: Final = 1000


@dataclass(frozen=True, slots=True)
class _PooledConnection:
    connection: ConnectionTask
    task: 'asyncio.Task[None]'

    async def close(self) -> None:
        """End the task and wait until it has ended."""
        self.connection.stop()
        await asyncio.wait({self.task})


class ConnectionPool:
    """Lends connections to upstreams and takes them back for reuse."""

    def __init__(self, clock: Clock) -> None:
        """Start without connections."""
        self._clock = clock
        self._idle: dict[Address, list[_PooledConnection]] = defaultdict(list)

    @contextlib.asynccontextmanager
    async def borrow(
        self,
        address: Address,
        request_id: str,
        *,
        can_repeat: bool = True,
    ) -> AsyncIterator[ConnectionTask]:
        """Lend a connection for one exchange.

        If the exchange did not complete, the connection is closed when the
        block is left. The exit waits for the end of its task, so that the task
        reads no more of the request's body.

        :param request_id: connections that have carried this request stay for
            other requests.
        :param can_repeat: false for a request that is sent only once; it gets
            a connection that was used recently, or a new one.
        """
        max_idle_ms = _MAX_IDLE_MS if can_repeat else _MAX_IDLE_NO_REPEAT_MS
        pooled = await self._acquire(address, request_id, max_idle_ms)
        is_returned = False
        try:
            yield pooled.connection
            is_returned = self._release(address, pooled)
        finally:
            if not is_returned:
                await pooled.close()

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to an upstream.

        Called when one connection went silent: a middlebox that dropped its
        state may have dropped that of the others.
        """
        for pooled in self._idle.pop(address, ()):
            pooled.connection.stop()

    async def close(self) -> None:
        """Close all idle connections."""
        connections = [
            pooled for idle in self._idle.values() for pooled in idle
        ]
        self._idle.clear()
        for pooled in connections:
            await pooled.close()

    async def _acquire(
        self, address: Address, request_id: str, max_idle_ms: int
    ) -> _PooledConnection:
        idle = self._idle[address]
        for pooled in reversed(tuple(idle)):
            if pooled.connection.has_sent(request_id):
                continue
            idle.remove(pooled)
            if pooled.connection.can_reuse(max_idle_ms):
                return pooled
            await pooled.close()
        connection = ConnectionTask(address, self._clock)
        task = asyncio.create_task(
            connection.run(),
            name=f'connection {address}',
        )
        return _PooledConnection(connection, task)

    def _release(self, address: Address, pooled: _PooledConnection) -> bool:
        """Put a connection back into the pool; return whether that was done.

        It is not if the pool is full or the connection can't be reused.
        """
        idle = self._idle[address]
        if len(idle) >= _MAX_IDLE_CONNECTIONS:
            return False
        if not pooled.connection.can_reuse(_MAX_IDLE_MS):
            return False
        idle.append(pooled)
        return True
