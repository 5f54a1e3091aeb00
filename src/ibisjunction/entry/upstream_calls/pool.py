"""Idle connections to upstreams."""

import asyncio
import functools
from collections import defaultdict, deque
from dataclasses import dataclass
from typing import Final

from ibisjunction.byte_budget import ByteBudget
from ibisjunction.clock import Clock
from ibisjunction.entry.upstream_calls.exchange import (
    CONNECT_TIMEOUT_MS,
    NotSent,
    UpstreamConnection,
)
from ibisjunction.round_trips import RoundTrips
from ibisjunction.settings import Address

#: Longest wait for a connection. Who gives up on an upstream with a full queue
#: loses its place there.
_MAX_CONNECT_TIMEOUT_MS: Final = 2000
#: Limit per upstream; more connections than its slots are rarely in use.
_MAX_IDLE_CONNECTIONS: Final = 8
#: Bytes of answers that a VM holds if its settings name no memory.
_MAX_ANSWER_BYTES: Final = 268_435_456
#: Keep-alive time of an upstream that does not state one.
_DEFAULT_KEEP_ALIVE_MS: Final = 8000
#: Fraction of the keep-alive time for which an idle connection is reused.
#: Later, the upstream may close it while a request is under way.
_KEEP_ALIVE_FRACTION: Final = 0.7
#: Longest idle time of a connection that is reused for a request that can't be
#: retried.
_MAX_NON_IDEMPOTENT_IDLE_MS: Final = 5000


@dataclass(frozen=True, slots=True)
class _IdleConnection:
    connection: UpstreamConnection
    idle_since_ms: int
    keep_alive_ms: int


@dataclass(frozen=True, slots=True)
class _Waiter:
    """A request that waits for a connection to one address."""

    request_id: str
    connection: 'asyncio.Future[UpstreamConnection]'


class ConnectionPool:
    """Idle connections by address, reused in last-in, first-out order.

    A request that finds none idle opens one, and takes whichever is ready
    first: the new one, or one that another request has finished with. The
    other is kept. Opening a connection takes as long as a message waits at
    the links, or until an upstream with a full queue accepts it.
    """

    def __init__(
        self,
        clock: Clock,
        max_answer_bytes: int = _MAX_ANSWER_BYTES,
        unread_bytes: int | None = None,
    ) -> None:
        """Create an empty pool.

        :param max_answer_bytes: bytes of answers that all connections may hold.
        :param unread_bytes: receive buffer of each connection.
        """
        self._unread_bytes = unread_bytes
        self._clock = clock
        self.answer_budget = ByteBudget(max_answer_bytes)
        self._idle: defaultdict[Address, list[_IdleConnection]] = defaultdict(
            list
        )
        self._connect_times = RoundTrips(
            CONNECT_TIMEOUT_MS, _MAX_CONNECT_TIMEOUT_MS
        )
        self._waiters: defaultdict[Address, deque[_Waiter]] = defaultdict(deque)
        self._opening: set[asyncio.Task[UpstreamConnection | NotSent]] = set()

    def acquire_idle(
        self,
        address: Address,
        request_id: str,
        *,
        is_idempotent: bool,
    ) -> UpstreamConnection | None:
        """Remove and return an idle connection that is fresh enough.

        Connections that could return an earlier answer to the same request
        stay for other requests.

        :return: ``None`` if there is none.
        """
        idle = self._idle[address]
        now = self._clock.now()
        for position in reversed(range(len(idle))):
            entry = idle[position]
            if entry.connection.may_repeat_answer(request_id):
                continue
            idle.pop(position)
            max_idle_ms = entry.keep_alive_ms * _KEEP_ALIVE_FRACTION
            if not is_idempotent:
                max_idle_ms = min(max_idle_ms, _MAX_NON_IDEMPOTENT_IDLE_MS)
            is_fresh = now - entry.idle_since_ms <= max_idle_ms
            if is_fresh and entry.connection.is_reusable:
                return entry.connection
            entry.connection.close()
        return None

    async def acquire(
        self, address: Address, request_id: str, *, is_idempotent: bool
    ) -> UpstreamConnection | NotSent:
        """Return a connection for a request, or why none can be opened."""
        idle = self.acquire_idle(
            address, request_id, is_idempotent=is_idempotent
        )
        if idle is not None:
            return idle
        waiter = _Waiter(request_id, asyncio.Future())
        self._waiters[address].append(waiter)
        opening = asyncio.create_task(self.open(address))
        self._opening.add(opening)
        opening.add_done_callback(self._opening.discard)
        try:
            await asyncio.wait(
                (opening, waiter.connection),
                return_when=asyncio.FIRST_COMPLETED,
            )
        except asyncio.CancelledError:
            self._keep(address, self._settle(address, waiter, opening))
            raise
        return self._settle(address, waiter, opening) or NotSent('cancelled')

    def _settle(
        self,
        address: Address,
        waiter: _Waiter,
        opening: 'asyncio.Task[UpstreamConnection | NotSent]',
    ) -> UpstreamConnection | NotSent | None:
        """Return what a request waited for, and keep what it does not use."""
        waiters = self._waiters[address]
        waiters.remove(waiter)
        if not waiters:
            self._waiters.pop(address)
        if waiter.connection.done():
            opening.add_done_callback(
                functools.partial(self._keep_opened, address)
            )
            return waiter.connection.result()
        waiter.connection.cancel()
        if opening.done():
            return opening.result()
        opening.add_done_callback(functools.partial(self._keep_opened, address))
        return None

    def _keep_opened(
        self,
        address: Address,
        opening: 'asyncio.Task[UpstreamConnection | NotSent]',
    ) -> None:
        if not opening.cancelled() and opening.exception() is None:
            self._keep(address, opening.result())

    def _keep(
        self, address: Address, connection: UpstreamConnection | NotSent | None
    ) -> None:
        if isinstance(connection, UpstreamConnection):
            self.release(address, connection)

    def _hand_over(
        self, address: Address, connection: UpstreamConnection
    ) -> bool:
        """Give a connection to a request that waits for one."""
        for waiter in self._waiters.get(address, ()):
            is_usable = not connection.may_repeat_answer(waiter.request_id)
            if is_usable and not waiter.connection.done():
                waiter.connection.set_result(connection)
                return True
        return False

    async def open(self, address: Address) -> UpstreamConnection | NotSent:
        """Return a new connection, or the error if it can't be opened."""
        started_ms = self._clock.now()
        connection = UpstreamConnection(
            address,
            _DEFAULT_KEEP_ALIVE_MS,
            self.answer_budget,
            self._unread_bytes,
        )
        failure = await connection.connect(self._connect_times.wait_ms)
        if failure is None:
            self._connect_times.add_sample(self._clock.now() - started_ms)
            return connection
        return failure

    def release(
        self,
        address: Address,
        connection: UpstreamConnection,
        keep_alive_ms: int = _DEFAULT_KEEP_ALIVE_MS,
    ) -> None:
        """Return a connection to the pool, or close it if it isn't reusable."""
        if not connection.is_reusable:
            connection.close()
            return
        if self._hand_over(address, connection):
            return
        idle = self._idle[address]
        if len(idle) < _MAX_IDLE_CONNECTIONS:
            idle.append(
                _IdleConnection(connection, self._clock.now(), keep_alive_ms),
            )
        else:
            connection.close()

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to an address."""
        for entry in self._idle.pop(address, ()):
            entry.connection.close()

    def close(self) -> None:
        """Close all idle connections, and open no more."""
        for task in self._opening:
            task.cancel()
        for address in list(self._idle):
            self.close_idle(address)
