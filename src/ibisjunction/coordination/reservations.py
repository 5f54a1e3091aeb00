"""Shards that were released for a certain upstream."""

from dataclasses import dataclass, field
from typing import Final

from ibisjunction.coordination.service_view import Member
from ibisjunction.fleet.model import Process, Upstream

#: Time after the expected check-in from which any upstream may take the shard.
_GRACE_MS: Final = 200
#: A shard that was moved stays this long. Its requests wait during a move, and
#: the effect on two upstreams shows in the reports only after a while.
_REST_MS: Final = 3000


@dataclass(frozen=True, slots=True)
class _Reservation:
    process: Process
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
        self._forget_ended(now)
        reservation = _Reservation(
            taker.process,
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
            if reservation.process == upstream.process
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
            if reservation.process != upstream.process
        ]

    def list_takers(self, service: str, now: int) -> dict[int, Process]:
        """Return the process that each reserved shard is kept for."""
        return {
            first: reservation.process
            for first, reservation in self._list(service, now)
        }

    def list_recent(self, service: str, now: int) -> frozenset[int]:
        """Return the first keys of shards that were moved a short time ago."""
        self._forget_ended(now)
        return frozenset(
            first for name, first in self._moved_ms if name == service
        )

    def _list(self, service: str, now: int) -> list[tuple[int, _Reservation]]:
        self._forget_ended(now)
        return [
            (first, reservation)
            for (name, first), reservation in self._reserved.items()
            if name == service
        ]

    def _forget_ended(self, now: int) -> None:
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
