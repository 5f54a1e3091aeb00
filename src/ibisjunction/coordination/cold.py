"""Decides on the leader which upstreams count as cold."""

from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from typing import Final

from ibisjunction.catalogue.model import ItemType, Service
from ibisjunction.coordination.calls import CheckIn
from ibisjunction.coordination.liveness import Liveness
from ibisjunction.coordination.planned import PlannedCommand
from ibisjunction.coordination.speeds import UpstreamSpeed
from ibisjunction.fleet.commands import MarkCold, MarkWarm
from ibisjunction.fleet.model import FleetState, ProcessKey, Upstream

#: Intervals of check-ins after which a silent upstream counts as one that may
#: return cold. One check-in may be lost and the next one late.
_SILENT_CHECK_INS: Final = 2.5
#: Part of a service's upstreams up to which silence is their own.
_MAX_SILENT_FRACTION: Final = 0.5


def find_cold_rate(state: FleetState, upstream: Upstream) -> float | None:
    """Return the requests a second that a cold upstream takes.

    :return: ``None`` if it is warm, or if its service states no limit.
    """
    service = state.catalogue.find_service(upstream.service)
    if not upstream.is_cold or service is None or service.cold_per_s <= 0:
        return None
    return service.cold_per_s


def discard_cold_latencies(
    state: FleetState, report: UpstreamSpeed
) -> UpstreamSpeed:
    """Return a report without what says nothing of the usual speed."""
    upstream = state.upstreams.get(report.upstream)
    is_cold = upstream is not None and upstream.is_cold
    return replace(report, latencies=()) if is_cold else report


@dataclass(slots=True)
class ColdTracker:
    """When cold processes become warm, as their check-ins tell.

    The state says which processes are cold; when they become warm is known to
    the leader only. A new leader learns it from the next check-in of each.
    """

    liveness: Liveness
    check_in_ms: int
    _warm_from_ms: dict[ProcessKey, int] = field(default_factory=dict)

    def record(
        self,
        state: FleetState,
        call: CheckIn,
        existing: Upstream | None,
        now: int,
    ) -> bool:
        """Return whether a process is cold after its check-in.

        One that is new and doesn't tell is cold for the time that its service
        states.
        """
        service = state.catalogue.find_service(call.service)
        process_key = (call.upstream, call.born)
        if service is None or service.cold_per_s <= 0:
            self._warm_from_ms.pop(process_key, None)
            return False
        remaining_ms = call.cold_remaining_ms
        if remaining_ms is None:
            remaining_ms = self._estimate(service, existing, now)
        self._warm_from_ms[process_key] = now + remaining_ms
        return remaining_ms > 0

    def plan_periodic(
        self, state: FleetState, now: int
    ) -> Iterator[PlannedCommand]:
        """Yield one command for all processes that become warm or cold."""
        self._discard_ended(state, now)
        warm = tuple(
            upstream.process_key
            for upstream in state.upstreams.values()
            if upstream.is_cold and self._is_over(upstream.process_key, now)
        )
        if warm:
            yield PlannedCommand(MarkWarm(warm), 'their cold time is over')
        silent = tuple(
            upstream.process_key
            for item in state.catalogue.list_items(ItemType.SERVICE)
            if item.service is not None and item.service.cold_per_s > 0
            for upstream in self._list_silent(state, item.name, now)
        )
        for process_key in silent:
            # Its latest check-in says nothing of the time after its return.
            self._warm_from_ms.pop(process_key, None)
        if silent:
            yield PlannedCommand(MarkCold(silent), 'they are silent')

    def plan_restored(
        self, state: FleetState, failure_domain: str
    ) -> Iterator[PlannedCommand]:
        """Yield the mark of the upstreams of a domain that is given back.

        They may have become cold while it was evacuated, and their latest
        check-ins may not tell that yet.
        """
        if failure_domain not in state.evacuated:
            return
        restored = tuple(
            upstream.process_key
            for upstream in state.upstreams.values()
            if upstream.failure_domain == failure_domain
            and _may_be_cold(state, upstream)
        )
        for process_key in restored:
            self._warm_from_ms.pop(process_key, None)
        if restored:
            yield PlannedCommand(MarkCold(restored), 'their domain is back')

    def _list_silent(
        self, state: FleetState, service: str, now: int
    ) -> list[Upstream]:
        """Return the warm upstreams that may be cold when they are heard again.

        If most of a service are silent, the reason is likely to be between them
        and the leader, and they are served as before.
        """
        limit_ms = self.check_in_ms * _SILENT_CHECK_INS
        upstreams = state.list_upstreams(service)
        silent = [
            upstream
            for upstream in upstreams
            if self.liveness.silent_ms(upstream, now) > limit_ms
        ]
        if len(silent) > len(upstreams) * _MAX_SILENT_FRACTION:
            return []
        return [
            upstream
            for upstream in silent
            if not (upstream.is_cold or upstream.is_draining)
        ]

    def _discard_ended(self, state: FleetState, now: int) -> None:
        """Forget processes that are not in the state any more."""
        self._warm_from_ms = {
            (name, born): warm_from_ms
            for (name, born), warm_from_ms in self._warm_from_ms.items()
            if now < warm_from_ms or name in state.upstreams
        }

    def _is_over(self, process_key: ProcessKey, now: int) -> bool:
        warm_from_ms = self._warm_from_ms.get(process_key)
        return warm_from_ms is not None and now >= warm_from_ms

    def _estimate(
        self, service: Service, existing: Upstream | None, now: int
    ) -> int:
        """Return how long a process that doesn't tell stays cold."""
        if existing is None:
            return service.cold_start_ms
        if not existing.is_cold:
            return 0
        warm_from_ms = self._warm_from_ms.get(existing.process_key)
        if warm_from_ms is None:
            return service.cold_start_ms
        return max(0, warm_from_ms - now)


def _may_be_cold(state: FleetState, upstream: Upstream) -> bool:
    service = state.catalogue.find_service(upstream.service)
    return service is not None and service.cold_per_s > 0
