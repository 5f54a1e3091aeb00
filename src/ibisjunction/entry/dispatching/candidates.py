"""The upstreams that may serve the requests of one queue."""

import math
from collections.abc import Callable
from dataclasses import dataclass

from ibisjunction.entry.dispatching.health import UpstreamHealth
from ibisjunction.entry.tickets.ticket_request import TicketRequest
from ibisjunction.fleet.model import ProcessKey, Upstream


@dataclass(slots=True)
class Candidates:
    """Upstreams with their health, in the same order; times are in ms.

    There may be none, as after the last upstream of a service has left. No
    request ends in time then.
    """

    upstreams: list[Upstream]
    healths: list[UpstreamHealth]

    @property
    def service_ms(self) -> float:
        """The usual service time of the fastest one."""
        return min(
            (health.service_ms for health in self.healths), default=math.inf
        )

    @property
    def conservative_service_ms(self) -> float:
        """The service time that most requests do not exceed.

        It is the mean over the upstreams, each by the requests that it takes: a
        request gets the slot that becomes free next, not that of the fastest.
        """
        rate = self.service_rate
        if not rate:
            return math.inf
        weighted = (
            health.service_rate * health.conservative_service_ms
            for health in self.healths
        )
        return sum(weighted) / rate

    @property
    def service_rate(self) -> float:
        """Requests that they take per millisecond."""
        return sum(health.service_rate for health in self.healths)

    def is_late(self, request: TicketRequest, now: int) -> bool:
        """Return whether a request is unlikely to meet its target.

        That is so if the conservative service time exceeds the time until its
        target. Under overload, requests are sent when they can only just meet
        their target, and with the usual service time as the limit most of them
        would end late.
        """
        return now + self.conservative_service_ms > request.target_ms

    def refresh(
        self,
        find_share: Callable[[], float],
        find_rank: Callable[[], int],
        now: int,
    ) -> None:
        """Discard old latencies, and apply the shares of limits."""
        for health in self.healths:
            health.discard_old_samples(now)
            if health.pacer.limit_per_s is not None:
                health.pacer.use_share(find_share(), now)
            if health.cold.is_cold:
                health.cold.rank = find_rank()

    def without(self, avoided: frozenset[ProcessKey]) -> 'Candidates':
        """Return the upstreams to prefer; all if each of them is avoided."""
        if not avoided:
            return self
        preferred = [
            (upstream, health)
            for upstream, health in self._list_pairs()
            if upstream.process_key not in avoided
        ]
        if not preferred:
            return self
        return Candidates(
            [upstream for upstream, _ in preferred],
            [health for _, health in preferred],
        )

    def list_free(self, now: int) -> list[tuple[Upstream, UpstreamHealth]]:
        """Return the upstreams that may get one more request."""
        return [
            (upstream, health)
            for upstream, health in self._list_pairs()
            if health.has_free_capacity(now)
        ]

    def has_room(self, now: int) -> bool:
        """Return whether one of them may get one more request."""
        return any(health.has_free_capacity(now) for health in self.healths)

    def is_held_back(self, now: int) -> bool:
        """Return whether one of them may get a request once time passes."""
        return any(
            now < health.paused_until_ms or health.is_limited
            for health in self.healths
        )

    def _list_pairs(self) -> list[tuple[Upstream, UpstreamHealth]]:
        return list(zip(self.upstreams, self.healths, strict=True))
