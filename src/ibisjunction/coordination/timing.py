"""Durations on which the control VMs and the entry VMs agree."""

import math
from dataclasses import dataclass
from typing import Final

#: The clock with which an upstream measures a hold may run slow by at most this
#: part of the measured time.
_UPSTREAM_CLOCK_ERROR: Final = 0.02
#: A silent voter is replaced after this part of the time to catch up.
_CATCH_UP_PARTS: Final = 3
#: Time in which an evacuation is in force if the settings name none.
DEFAULT_EVACUATION_MS: Final = 5000


@dataclass(frozen=True, slots=True)
class FleetTiming:
    """Durations in milliseconds.

    ``hold_ms`` is how long an upstream holds its keys after a check-in.
    ``lease_ms`` is how long an entry VM may send requests without a renewal by
    the leader. ``drain_ms`` is the time within which a confirmed departure must
    have stopped all requests to the upstream, and ``evacuation_ms`` the same
    for a confirmed evacuation. ``check_in_ms`` is the interval
    of check-ins. ``catch_up_ms`` is the time after its start from which a
    control VM no longer counts as lost. ``tolerated_losses`` is the number of
    control VMs that may lose their disks at once.
    """

    hold_ms: int
    lease_ms: int
    drain_ms: int
    check_in_ms: int
    catch_up_ms: int
    clock_error: float
    tolerated_losses: int
    evacuation_ms: int = DEFAULT_EVACUATION_MS

    @property
    def hold_limit_ms(self) -> int:
        """Longest duration of a hold on the leader's clock."""
        return math.ceil(self.hold_ms * (1 + _UPSTREAM_CLOCK_ERROR))

    @property
    def voter_timeout_ms(self) -> int:
        """Silence after which a voter is replaced by a waiting replica.

        The rest of ``catch_up_ms`` is left for an election and for both changes
        of the voters, so that the replacement ends before the successor counts
        and further disks may be lost.
        """
        return self.catch_up_ms // _CATCH_UP_PARTS

    @property
    def voter_count(self) -> int:
        """Number of voters whose majority survives the tolerated losses."""
        return 2 * self.tolerated_losses + 1
