"""Reserves released shards for the upstreams that are to get them."""

from dataclasses import dataclass, field
from typing import Final

from ibisjunction.coordination.service_view import Member
from ibisjunction.fleet.model import ProcessKey, Upstream

#: Time after the expected check-in for which the shard stays reserved; later
#: any upstream may get it.
_GRACE_MS: Final = 200
#: Time between two moves of a shard. Its requests wait during a move, and the
#: reports show the effect on the two upstreams only after some time.
_MIN_MOVE_INTERVAL_MS: Final = 3000


@dataclass(frozen=True, slots=True)
class _Reservation:
    process_key: ProcessKey
    until_ms: int


@dataclass(slots=True)
class ShardReservations:
    """Reservations of shards and recent moves, by service and first key."""

    _reserved: dict[tuple[str, int], _Reservation] = field(
        default_factory=dict,
    )
    _moved_ms: dict[tuple[str, int], int] = field(default_factory=dict)

    def add(
        self,
        service: str,
        firsts: tuple[int, ...],
        target: Member,
        now: int,
    ) -> None:
        """Reserve shards until the target's next check-in."""
        self._remove_expired(now)
        reservation = _Reservation(
            target.process_key,
            target.next_check_in_ms + _GRACE_MS,
        )
        for first in firsts:
            self._reserved[(service, first)] = reservation
            self._moved_ms[(service, first)] = now

    def list_reserved_for(
        self, service: str, upstream: Upstream, now: int
    ) -> list[int]:
        """Return the first keys that are reserved for a process."""
        return [
            first
            for first, reservation in self._list_reservations(service, now)
            if reservation.process_key == upstream.process_key
        ]

    def list_reserved_for_others(
        self,
        service: str,
        upstream: Upstream,
        now: int,
    ) -> list[int]:
        """Return the first keys that are reserved for other processes."""
        return [
            first
            for first, reservation in self._list_reservations(service, now)
            if reservation.process_key != upstream.process_key
        ]

    def list_targets(self, service: str, now: int) -> dict[int, ProcessKey]:
        """Return the process that each shard is reserved for, by first key."""
        return {
            first: reservation.process_key
            for first, reservation in self._list_reservations(service, now)
        }

    def list_recently_moved(self, service: str, now: int) -> frozenset[int]:
        """Return the first keys of shards that were moved a short time ago."""
        self._remove_expired(now)
        return frozenset(
            first for name, first in self._moved_ms if name == service
        )

    def _list_reservations(
        self, service: str, now: int
    ) -> list[tuple[int, _Reservation]]:
        self._remove_expired(now)
        return [
            (first, reservation)
            for (name, first), reservation in self._reserved.items()
            if name == service
        ]

    def _remove_expired(self, now: int) -> None:
        self._reserved = {
            key: reservation
            for key, reservation in self._reserved.items()
            if now < reservation.until_ms
        }
        self._moved_ms = {
            key: moved_ms
            for key, moved_ms in self._moved_ms.items()
            if now < moved_ms + _MIN_MOVE_INTERVAL_MS
        }
