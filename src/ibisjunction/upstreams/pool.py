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

#: An upstream accepts about 100 connections and 10 VMs share them; with at
#: most 4 slots in use, 6 idle ones per VM stay within that.
_IDLE_PER_UPSTREAM: Final = 6
#: Middleboxes forget quiet connections first. A new connection costs 1 ms, so
#: one that was quiet this long is replaced.
_MAX_IDLE_MS: Final = 5000
#: The same for a request that cannot be repeated if the connection is dead.
_MAX_IDLE_ONCE_MS: Final = 1000


@dataclass(frozen=True, slots=True)
class _Entry:
    connection: ConnectionTask
    task: 'asyncio.Task[None]'

    async def close(self) -> None:
        """End the task and wait until it has ended."""
        self.connection.stop()
        await asyncio.wait({self.task})


class ConnectionPool:
    """Connection tasks by upstream address."""

    def __init__(self, clock: Clock) -> None:
        """Start without connections."""
        self._clock = clock
        self._idle: dict[Address, list[_Entry]] = defaultdict(list)

    @contextlib.asynccontextmanager
    async def borrow(
        self,
        address: Address,
        *,
        can_repeat: bool = True,
    ) -> AsyncIterator[ConnectionTask]:
        """Lend a connection for one exchange.

        A connection whose exchange did not complete is closed on return, and
        its task has ended then: it reads no more of the request's body.

        :param can_repeat: false for a request that is sent only once; it gets
            a connection that was in use a moment ago, or a new one.
        """
        max_idle_ms = _MAX_IDLE_MS if can_repeat else _MAX_IDLE_ONCE_MS
        entry = await self._take(address, max_idle_ms)
        is_returned = False
        try:
            yield entry.connection
            is_returned = self._give_back(address, entry)
        finally:
            if not is_returned:
                await entry.close()

    def distrust(self, address: Address) -> None:
        """Close the idle connections to an upstream.

        Called when one connection went silent: the middlebox that lost its
        state may have lost the others'.
        """
        for entry in self._idle.pop(address, ()):
            entry.connection.stop()

    async def close(self) -> None:
        """Close all idle connections."""
        entries = [entry for idle in self._idle.values() for entry in idle]
        self._idle.clear()
        for entry in entries:
            await entry.close()

    async def _take(self, address: Address, max_idle_ms: int) -> _Entry:
        idle = self._idle[address]
        while idle:
            entry = idle.pop()
            if entry.connection.can_reuse(max_idle_ms):
                return entry
            await entry.close()
        connection = ConnectionTask(address, self._clock)
        task = asyncio.create_task(
            connection.run(),
            name=f'connection {address}',
        )
        return _Entry(connection, task)

    def _give_back(self, address: Address, entry: _Entry) -> bool:
        idle = self._idle[address]
        if len(idle) >= _IDLE_PER_UPSTREAM:
            return False
        if not entry.connection.can_reuse(_MAX_IDLE_MS):
            return False
        idle.append(entry)
        return True
