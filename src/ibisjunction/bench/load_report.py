"""Health and load that a stand-in reports, accurate or not."""

from collections import deque
from typing import Final

import msgspec

from ibisjunction.bench.faults import Report
from ibisjunction.bench.stand_in import StandIn

#: Age of the state in a lagging report.
_LAG_MS: Final = 5000


class HealthAnswer(msgspec.Struct, frozen=True):
    """Answer of ``GET /ibis/health``."""

    healthy: bool
    draining: bool


class LoadAnswer(msgspec.Struct, frozen=True):
    """Answer of ``GET /ibis/load``."""

    slots: int
    running: int
    queued: int


class LoadReporter:
    """Answers health and load queries according to the report fault.

    Keeps the states of the last seconds for lagging reports.
    """

    def __init__(self, stand_in: StandIn) -> None:
        """Start without past states."""
        self._stand_in = stand_in
        #: Time in ms, health and load, oldest first.
        self._past: deque[tuple[int, HealthAnswer, LoadAnswer]] = deque()

    def record_state(self) -> None:
        """Store the current state; call this periodically."""
        now = self._stand_in.clock.now()
        self._past.append((now, self._true_health(), self._true_load()))
        while self._past[0][0] < now - _LAG_MS:
            self._past.popleft()

    def health(self) -> HealthAnswer:
        """Return the answer of the health endpoint."""
        match self._stand_in.faults.report:
            case Report.ACCURATE:
                return self._true_health()
            case Report.LAGGING:
                return self._past[0][1] if self._past else self._true_health()
            case Report.WRONG:
                return HealthAnswer(healthy=True, draining=False)

    def load(self) -> LoadAnswer:
        """Return the answer of the load endpoint."""
        match self._stand_in.faults.report:
            case Report.ACCURATE:
                return self._true_load()
            case Report.LAGGING:
                return self._past[0][2] if self._past else self._true_load()
            case Report.WRONG:
                return LoadAnswer(self._stand_in.profile.slots, 0, 0)

    def _true_health(self) -> HealthAnswer:
        faults = self._stand_in.faults
        return HealthAnswer(
            healthy=not faults.is_shedding,
            draining=faults.is_draining,
        )

    def _true_load(self) -> LoadAnswer:
        stand_in = self._stand_in
        return LoadAnswer(
            stand_in.profile.slots,
            stand_in.running,
            stand_in.queued,
        )
