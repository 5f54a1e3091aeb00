"""The health of each upstream that one VM knows."""

from collections.abc import Callable, Iterable

from ibisjunction.catalogue.model import Service
from ibisjunction.entry.dispatching.cold import (
    DEFAULT_COLD_TERMS,
    ColdLimit,
    ColdTerms,
)
from ibisjunction.entry.dispatching.health import HealthReport, UpstreamHealth
from ibisjunction.fleet.model import ProcessKey, Upstream


class HealthTable:
    """Health by process of an upstream."""

    def __init__(self, cold_terms: ColdTerms = DEFAULT_COLD_TERMS) -> None:
        """Start without upstreams."""
        self._cold_terms = cold_terms
        self._health: dict[ProcessKey, UpstreamHealth] = {}

    def get(self, upstream: Upstream) -> UpstreamHealth:
        """Return the health of an upstream, new if it is not known."""
        process_key = upstream.process_key
        health = self._health.get(process_key)
        if health is None:
            health = UpstreamHealth(upstream.slots)
            self._health[process_key] = health
        return health

    def update_upstreams(
        self,
        upstreams: Iterable[Upstream],
        find_service: Callable[[str], Service | None],
        now: int,
    ) -> None:
        """Discard the health of all other processes, and note cold ones."""
        limits: dict[str, ColdLimit | None] = {}
        retained = {}
        for upstream in upstreams:
            name = upstream.service
            if name not in limits:
                limits[name] = self._find_cold_limit(find_service(name))
            limit = limits[name]
            process_key = upstream.process_key
            if limit is None and process_key not in self._health:
                continue
            health = self.get(upstream)
            health.cold.update(limit, is_cold=upstream.is_cold, now=now)
            retained[process_key] = health
        self._health = retained

    def record_limit(
        self,
        upstream: Upstream,
        report: HealthReport,
        granted_ms: int,
        now: int,
    ) -> None:
        """Record the limit in the answer to a request that others granted."""
        if report.tells_limit:
            pacer = self.get(upstream).pacer
            pacer.record(report.limit_per_s, granted_ms, now)

    def find_limit(self, upstream: Upstream) -> float | None:
        """Return the limit of an upstream that named one or is cold."""
        health = self._health.get(upstream.process_key)
        return None if health is None else health.limit_per_s

    def knows_limit(self, upstream: Upstream, now: int) -> bool:
        """Return whether grants keep the limit of an upstream, if it has one.

        A dispatcher that has just heard that there is none knows better than a
        VM that was last answered while there was one.
        """
        health = self._health.get(upstream.process_key)
        return health is not None and (
            health.limit_per_s is not None or health.pacer.knows_limit(now)
        )

    def _find_cold_limit(self, service: Service | None) -> ColdLimit | None:
        if service is None or service.cold_per_s <= 0:
            return None
        return ColdLimit.from_rate(service.cold_per_s, self._cold_terms)
