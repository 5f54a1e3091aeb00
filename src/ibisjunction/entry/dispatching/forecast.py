"""When a queue is expected to have room for a request."""

from dataclasses import dataclass
from typing import Final

from ibisjunction.entry.dispatching.appointments import Room
from ibisjunction.entry.dispatching.candidates import Candidates
from ibisjunction.entry.dispatching.demand import Demand
from ibisjunction.entry.dispatching.terms import WaitingTerms
from ibisjunction.entry.tickets.ticket_request import TicketRequest

#: Fraction of its remaining time that a request may be expected to take, from
#: now to its answer. A request that exceeds it is refused: the estimate is
#: rough, and a refused caller can come back later.
_MAX_DURATION_FRACTION: Final = 0.9
#: Least part of the capacity that is assumed to be left by requests that go
#: first. They are counted over about a second, in which chance may double them,
#: and a flood may end while a request waits.
_MIN_RATE_FRACTION: Final = 0.3


@dataclass(frozen=True, slots=True)
class Forecast:
    """What one queue can serve, and what arrives for it."""

    candidates: Candidates
    demand: Demand
    terms: WaitingTerms
    now: int

    def find_wait(
        self, request: TicketRequest, ahead: int, *, is_late: bool
    ) -> float:
        """Return how long a request is expected to wait for a slot.

        :param ahead: requests that are served before this one.
        :param is_late: whether those that arrive in time pass this one.
        """
        passing: float = 0
        if self.terms.counts_arrivals:
            rank = None if is_late else request.rank
            passing = self.demand.rate_before(rank, self.now)
        service_rate = self.candidates.service_rate
        least_rate = service_rate * _MIN_RATE_FRACTION
        return (ahead + 1) / max(least_rate, service_rate - passing)

    def exceeds_time(
        self, request: TicketRequest, ahead: int, *, is_late: bool
    ) -> bool:
        """Return whether a request is expected to time out."""
        if not self.candidates.upstreams:
            return True
        expected_ms = self.find_wait(request, ahead, is_late=is_late)
        expected_ms += self.candidates.service_ms
        remaining_ms = request.give_up_ms - self.now
        return expected_ms > remaining_ms * _MAX_DURATION_FRACTION

    def is_late(self, request: TicketRequest) -> bool:
        """Return whether a request goes behind those that are in time."""
        if request.is_expected:
            return False
        return self.candidates.is_late(request, self.now)

    def find_room(
        self, request: TicketRequest, ahead: int, share: float
    ) -> Room:
        """Return the room for a caller that is refused and comes back.

        :param share: part of the capacity that is kept for such callers.
        """
        wait_ms = self.find_wait(request, ahead, is_late=True)
        return Room(self.candidates.service_rate * share, wait_ms)
