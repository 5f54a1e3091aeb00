"""Shards that were released for a certain upstream."""

from dataclasses import dataclass, field
from typing import Final

from ibisjunction.coordination.balance import Member, Process
from ibisjunction.fleet.model import Upstream

#: Time after the expected check-in from which any upstream may take the shard.
_GRACE_MS: Final = 200
#: A shard that was moved stays this long. Its requests wait during a move, and
#: the effect on two upstreams shows in the reports only after a while.
_REST_MS: Final = 3000


@dataclass(frozen=True, slots=True)
class _Reservation:
    upstream: str
    born: int
    until_ms: int


@dataclass(slots=True)
class Reservations:
    """By service and first key of the shard; remembers recent moves."""

    _reserved: dict[tuple[str, int], _Reservation] = field(
        default_factory=dict,
    )
    _moved_ms: dict[tuple[str, int], int] = field(default_factory=dict)

    def add(
        self,
        service: str,
        firsts: tuple[int, ...],
        taker: Member,
        now: int,
    ) -> None:
        """Reserve shards until the taker's next check-in."""
        self._reserved = {
            key: kept
            for key, kept in self._reserved.items()
            if now < kept.until_ms
        }
        self._moved_ms = {
            key: moved_ms
            for key, moved_ms in self._moved_ms.items()
            if now < moved_ms + _REST_MS
        }
        reservation = _Reservation(
            taker.upstream.upstream,
            taker.upstream.born,
            taker.next_ms + _GRACE_MS,
        )
        for first in firsts:
            self._reserved[(service, first)] = reservation
            self._moved_ms[(service, first)] = now

    def of(self, service: str, upstream: Upstream, now: int) -> list[int]:
        """Return the first keys that are reserved for a process."""
        return [
            first
            for first, reservation in self._list(service, now)
            if _is_for(reservation, upstream)
        ]

    def of_others(
        self,
        service: str,
        upstream: Upstream,
        now: int,
    ) -> list[int]:
        """Return the first keys that are reserved for other processes."""
        return [
            first
            for first, reservation in self._list(service, now)
            if not _is_for(reservation, upstream)
        ]

    def list_takers(self, service: str, now: int) -> dict[int, Process]:
        """Return the process that each reserved shard is kept for."""
        return {
            first: (reservation.upstream, reservation.born)
            for first, reservation in self._list(service, now)
        }

    def list_recent(self, service: str, now: int) -> frozenset[int]:
        """Return the first keys of shards that were moved a short time ago."""
        return frozenset(
            first
            for (name, first), moved_ms in self._moved_ms.items()
            if name == service and now < moved_ms + _REST_MS
        )

    def _list(self, service: str, now: int) -> list[tuple[int, _Reservation]]:
        return [
            (first, reservation)
            for (name, first), reservation in self._reserved.items()
            if name == service and now < reservation.until_ms
        ]


def _is_for(reservation: _Reservation, upstream: Upstream) -> bool:
    return (reservation.upstream, reservation.born) == (
        upstream.upstream,
        upstream.born,
    )
