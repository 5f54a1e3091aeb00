"""Finds the upstreams that become cold or warm with a new view."""

from collections.abc import Iterator
from dataclasses import dataclass

from ibisjunction.entry.following.view import FleetView
from ibisjunction.events import Event
from ibisjunction.fleet.model import Upstream


@dataclass(frozen=True, slots=True)
class ColdChange:
    """An upstream that has become cold or warm, and the queue it serves.

    ``per_s`` are the requests a second that it takes while it is cold.
    """

    event: Event
    upstream: Upstream
    queue: str
    per_s: float


def find_cold_changes(
    before: FleetView | None, after: FleetView
) -> Iterator[ColdChange]:
    """Yield the changes; a process that is new counts as warm before."""
    if before is not None and before.upstream_index is after.upstream_index:
        return
    for upstream in after.list_all_upstreams():
        service = after.find_service(upstream.service)
        was_cold = _was_cold(upstream, before)
        if service is not None and upstream.is_cold != was_cold:
            yield ColdChange(
                Event.UPSTREAM_WARM if was_cold else Event.UPSTREAM_COLD,
                upstream,
                after.find_own_queue(upstream),
                service.cold_per_s,
            )


def _was_cold(upstream: Upstream, before: FleetView | None) -> bool:
    if before is None:
        return False
    earlier = before.find_process(*upstream.process_key)
    return earlier is not None and earlier.is_cold
