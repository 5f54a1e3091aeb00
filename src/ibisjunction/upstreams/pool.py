"""Keeps idle connections to upstreams for reuse."""

import asyncio
import contextlib
from collections import defaultdict
from collections.abc import AsyncIterator
from typing import Final

from ibisjunction.clock import Clock
from ibisjunction.settings import Address
from ibisjunction.upstreams.connection import ConnectionTask

#: An upstream accepts about 100 connections and 10 VMs share them; with at
#: most 4 slots in use, 6 idle ones per VM stay within that.
_IDLE_PER_UPSTREAM: Final = 6

_Entry = tuple[ConnectionTask, 'asyncio.Task[None]']


class ConnectionPool:
    """Connection tasks by upstream address."""

    def __init__(self, clock: Clock) -> None:
        """Start without connections."""
        self._clock = clock
        self._idle: dict[Address, list[_Entry]] = defaultdict(list)

    @contextlib.asynccontextmanager
    async def borrow(self, address: Address) -> AsyncIterator[ConnectionTask]:
        """Lend a connection for one exchange.

        A connection whose exchange did not complete is closed on return.
        """
        connection, task = self._take(address)
        is_reusable = False
        try:
            yield connection
            is_reusable = connection.is_open
        finally:
            idle = self._idle[address]
            if is_reusable and len(idle) < _IDLE_PER_UPSTREAM:
                idle.append((connection, task))
            else:
                task.cancel()

    async def close(self) -> None:
        """Close all idle connections."""
        entries = [entry for idle in self._idle.values() for entry in idle]
        self._idle.clear()
        for _, task in entries:
            task.cancel()
        await asyncio.gather(
            *(task for _, task in entries),
            return_exceptions=True,
        )

    def _take(self, address: Address) -> _Entry:
        idle = self._idle[address]
        while idle:
            connection, task = idle.pop()
            if connection.is_open:
                return connection, task
            task.cancel()
        connection = ConnectionTask(address, self._clock)
        task = asyncio.create_task(
            connection.run(),
            name=f'connection {address}',
        )
        return connection, task
