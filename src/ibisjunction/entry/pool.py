"""Idle connections to upstreams."""

from collections import defaultdict
from dataclasses import dataclass
from typing import Final

from ibisjunction.clock import Clock
from ibisjunction.entry.exchange import NotConnected, UpstreamConnection
from ibisjunction.settings import Address

#: Idle connections kept to one upstream; more than its slots are rarely used.
_MAX_IDLE: Final = 8
#: Idle time of a connection whose upstream does not say what it allows.
_DEFAULT_KEEP_MS: Final = 8000
#: Part of the allowed idle time that is used. Closer to its end, a request
#: could cross the upstream's close.
_KEEP_SHARE: Final = 0.7
#: The same for a request that can't be repeated.
_KEEP_ONCE_MS: Final = 5000


@dataclass(frozen=True, slots=True)
class _Idle:
    connection: UpstreamConnection
    since_ms: int
    keeps_ms: int


class Pool:
    """Connections by address; the one used last is used first."""

    def __init__(self, clock: Clock) -> None:
        """Start without connections."""
        self._clock = clock
        self._idle: defaultdict[Address, list[_Idle]] = defaultdict(list)

    def take_idle(
        self,
        address: Address,
        *,
        is_idempotent: bool,
    ) -> UpstreamConnection | None:
        """Return a kept connection that is fit for a request, if any."""
        idle = self._idle[address]
        now = self._clock.now()
        while idle:
            entry = idle.pop()
            limit_ms = entry.keeps_ms * _KEEP_SHARE
            if not is_idempotent:
                limit_ms = min(limit_ms, _KEEP_ONCE_MS)
            is_fresh = now - entry.since_ms <= limit_ms
            if is_fresh and entry.connection.is_clean:
                return entry.connection
            entry.connection.close()
        return None

    async def open(self, address: Address) -> UpstreamConnection | NotConnected:
        """Return a new connection, or why there is none."""
        connection = UpstreamConnection(address, _DEFAULT_KEEP_MS)
        failure = await connection.connect()
        return connection if failure is None else failure

    def give_back(
        self,
        address: Address,
        connection: UpstreamConnection,
        keeps_ms: int,
    ) -> None:
        """Keep a connection after an exchange if it is fit for another."""
        idle = self._idle[address]
        if connection.is_clean and len(idle) < _MAX_IDLE:
            idle.append(_Idle(connection, self._clock.now(), keeps_ms))
        else:
            connection.close()

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to an address."""
        for entry in self._idle.pop(address, ()):
            entry.connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.close_idle(address)
