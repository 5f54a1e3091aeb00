"""Decides which requests for keys are sent without a ticket.

Only the owner of a key may serve its requests, so a ticket doesn't choose an
upstream. It orders the requests of all VMs while the owner can't run them all.
Otherwise it costs a round trip between VMs, which on a slow link takes as long
as the response that occupies the link.
"""

from collections import Counter
from typing import Final

from ibisjunction.entry.dispatching.health import HealthReport, HealthResult
from ibisjunction.entry.tickets.ticket_request import TicketRequest
from ibisjunction.fleet.model import ProcessKey, Upstream

#: Time for which requests to an upstream need tickets after a sign that it gets
#: more than it can run.
_CONTENDED_MS: Final = 1000
#: Part of the time between a request and its target. An upstream that takes
#: longer has a queue.
_MAX_LATENCY_FRACTION: Final = 0.5
#: Results that are no sign of contention or failure.
_HARMLESS: Final = frozenset(
    (
        HealthResult.ANSWERED,
        HealthResult.ERROR,
        HealthResult.UNUSED,
        HealthResult.UNKNOWN,
    )
)


class Contention:
    """The upstreams whose requests need tickets, as one VM knows them."""

    def __init__(self) -> None:
        """Start without signs of contention."""
        self._contended_until_ms: dict[ProcessKey, int] = {}
        self._in_flight: Counter[ProcessKey] = Counter()

    def try_send(self, upstream: Upstream, now: int) -> bool:
        """Count a request that is sent without a ticket, if that is right.

        A VM that fills all slots of an upstream by itself needs tickets.
        """
        process = upstream.process_key
        is_contended = now < self._contended_until_ms.get(process, 0)
        if is_contended or self._in_flight[process] >= upstream.slots:
            return False
        self._in_flight[process] += 1
        return True

    def record_result(
        self,
        request: TicketRequest,
        upstream: Upstream,
        report: HealthReport,
        now: int,
    ) -> None:
        """Record the result of a request that was sent without a ticket."""
        process = upstream.process_key
        self._in_flight[process] -= 1
        if self._in_flight[process] <= 0:
            self._in_flight.pop(process)
        target_in_ms = request.target_ms - request.requested_ms
        is_slow = report.latency_ms > target_in_ms * _MAX_LATENCY_FRACTION
        if is_slow or report.result not in _HARMLESS:
            self.record_contention(upstream, now)

    def record_contention(self, upstream: Upstream, now: int) -> None:
        """Record that an upstream gets more than it can run."""
        self._contended_until_ms[upstream.process_key] = now + _CONTENDED_MS

    def retain(self, processes: frozenset[ProcessKey]) -> None:
        """Forget all other processes."""
        for process in self._contended_until_ms.keys() - processes:
            self._contended_until_ms.pop(process)
