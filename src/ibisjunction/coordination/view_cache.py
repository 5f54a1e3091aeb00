"""Bounds the processor time that a leader spends on views of services.

A view lists all shards and members of a service, so its cost grows with the
fleet, and so does the number of check-ins that need one.
"""

from collections.abc import Iterable
from typing import Final

from ibisjunction.coordination.loads import Horizon
from ibisjunction.coordination.service_view import ServiceView
from ibisjunction.fleet.model import Shards

#: A view is used for a millisecond for each of so many members. Making one
#: takes up to 6 us a member, so views take a sixth of a core at most. A service
#: with fewer members gets a view for each check-in.
MEMBERS_PER_MS: Final = 25
#: Time after which a proposed assignment that was not applied is given up.
_ASSIGNMENT_TIMEOUT_MS: Final = 500


class ViewCache:
    """The latest view of each service and horizon."""

    def __init__(self, members_per_ms: int = MEMBERS_PER_MS) -> None:
        """Start without views.

        :param members_per_ms: members of a service for each millisecond for
            which a view is used; 0 makes a view for each check-in.
        """
        self._members_per_ms = members_per_ms
        self._views: dict[tuple[str, Horizon], tuple[int, ServiceView]] = {}

    def find(
        self, service: str, horizon: Horizon, now: int
    ) -> ServiceView | None:
        """Return a view that may still be used, if there is one."""
        end_ms, view = self._views.get((service, horizon), (0, None))
        return view if now < end_ms else None

    def add(self, view: ServiceView, horizon: Horizon, now: int) -> None:
        """Add a view that was made now."""
        end_ms = now
        if self._members_per_ms:
            end_ms += len(view.members) // self._members_per_ms
        self._views[(view.service, horizon)] = (end_ms, view)

    def keep_only(self, view: ServiceView) -> None:
        """Drop the other views of a service, after moves marked in this one."""
        self._views = {
            key: entry
            for key, entry in self._views.items()
            if key[0] != view.service or entry[1] is view
        }


class PendingAssignments:
    """Free shards whose assignment is proposed and not applied yet.

    Without them, upstreams that check in before the first of them gets its
    shards would all be assigned the same ones.
    """

    def __init__(self) -> None:
        """Start without assignments."""
        self._end_ms: dict[tuple[str, int], int] = {}

    def add(self, service: str, firsts: Iterable[int], now: int) -> None:
        """Add shards, named by their first keys."""
        for first in firsts:
            self._end_ms[(service, first)] = now + _ASSIGNMENT_TIMEOUT_MS

    def remove_owned(self, service: str, shards: Shards) -> None:
        """Remove the shards that have an owner."""
        if not self._end_ms:
            return
        for shard in shards:
            if shard.owner:
                self._end_ms.pop((service, shard.first), None)

    def list_firsts(self, service: str, now: int) -> frozenset[int]:
        """Return the first keys of a service's shards."""
        self._end_ms = {
            key: end_ms for key, end_ms in self._end_ms.items() if now < end_ms
        }
        return frozenset(
            first for name, first in self._end_ms if name == service
        )
