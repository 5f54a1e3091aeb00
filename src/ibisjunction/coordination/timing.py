"""Durations on which the control VMs and the entry VMs agree."""

import math
from dataclasses import dataclass
from typing import Final

#: The clock with which an upstream measures a hold may run slow by at most this
#: part of the measured time.
_UPSTREAM_CLOCK_ERROR: Final = 0.02


@dataclass(frozen=True, slots=True)
class FleetTiming:
    """Durations in milliseconds.

    ``hold_ms`` is how long an upstream holds its keys after a check-in.
    ``lease_ms`` is how long an entry VM may send requests without a renewal by
    the leader. ``drain_ms`` is the time within which a confirmed departure must
    have stopped all requests to the upstream. ``check_in_ms`` is the interval
    of check-ins. ``tolerated_losses`` is the number of control VMs that may
    lose their disks at once.
    """

    hold_ms: int
    lease_ms: int
    drain_ms: int
    check_in_ms: int
    clock_error: float
    tolerated_losses: int

    @property
    def hold_limit_ms(self) -> int:
        """Longest duration of a hold on the leader's clock."""
        return math.ceil(self.hold_ms * (1 + _UPSTREAM_CLOCK_ERROR))

    @property
    def voter_count(self) -> int:
        """Number of voters whose majority survives the tolerated losses."""
        return 2 * self.tolerated_losses + 1
