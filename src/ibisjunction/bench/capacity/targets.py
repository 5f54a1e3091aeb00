"""The expected size, and the assumptions from which counts follow.

The targets are those of the developers' page. The assumptions cover what the
targets do not specify; after a change here, the capacity page can be written
anew without another measurement.
"""

import math
from dataclasses import dataclass
from typing import Final

from ibisjunction.clock import MS_PER_S

SECONDS_PER_DAY: Final = 86_400
_US_PER_S: Final = 1_000_000
_CONTROL_CORES: Final = 0.014


@dataclass(frozen=True, slots=True)
class Targets:
    """The size that is expected within two years.

    At any time, ``hot_keys`` keys are hot, each for ``hot_minutes``.
    ``served_again_ms`` is the longest time without service after the loss of a
    failure domain, and ``in_force_s`` the longest time until a publication is
    in force. ``control_cpu_us_per_s`` is 1.4% of a core;
    ``control_bytes_per_s`` is 4 KB/s.
    """

    daemons: int = 7700
    keys: float = 5.8e9
    requests_per_s: float = 44e6
    p99_ms: float = 13
    hot_keys: int = 730
    hot_minutes: float = 5
    served_again_ms: int = 1000
    regions: int = 2
    failure_domains: int = 7
    publications_per_day: int = 36_000
    in_force_s: float = 10
    control_cpu_us_per_s: float = _CONTROL_CORES * _US_PER_S
    control_memory_mib: float = 64
    control_bytes_per_s: float = 4000
    reserved_vms: int = 7
    failures_per_day: int = 36
    restarts_per_day: int = 460

    @property
    def requests_per_daemon(self) -> float:
        """Requests per second at one daemon."""
        return self.requests_per_s / self.daemons

    @property
    def domain_size(self) -> int:
        """Daemons in one failure domain, all of which are lost with it."""
        return math.ceil(self.daemons / self.failure_domains)


@dataclass(frozen=True, slots=True)
class Assumptions:
    """Values that the targets do not specify.

    ``shards_per_upstream`` 16 keeps the load of an upstream within about a
    quarter of the mean. A service file is ``file_kib`` long.
    """

    service_ms: float = 2
    slots: int = 4
    connections: int = 100
    utilisation: float = 0.6
    shards_per_upstream: int = 16
    services: int = 400
    file_kib: float = 1
    non_idempotent_share: float = 0.1
    download_share: float = 1e-5
    download_mib: float = 20
    retention_s: int = 600
    record_replicas: int = 3
    heartbeats_per_s: float = 10
    voters: int = 5


@dataclass(frozen=True, slots=True)
class Counts:
    """Counts that follow from targets and assumptions."""

    targets: Targets
    assumed: Assumptions

    @property
    def upstreams(self) -> int:
        """Upstreams needed for the rate of requests."""
        busy_slots = (
            self.targets.requests_per_s * self.assumed.service_ms / MS_PER_S
        )
        return math.ceil(
            busy_slots / self.assumed.slots / self.assumed.utilisation
        )

    @property
    def shards(self) -> int:
        """Shards of all services."""
        return self.upstreams * self.assumed.shards_per_upstream

    @property
    def upstreams_per_daemon(self) -> float:
        """Upstreams that one daemon dispatches for."""
        return self.upstreams / self.targets.daemons

    @property
    def cell_daemons(self) -> int:
        """Daemons that may route to one upstream.

        Each needs up to one connection per slot.
        """
        return self.assumed.connections // self.assumed.slots

    @property
    def cells(self) -> int:
        """Groups of daemons, each of which routes to its own upstreams."""
        return math.ceil(self.targets.daemons / self.cell_daemons)

    @property
    def control_changes_per_day(self) -> float:
        """Control commands of an ordinary day, without publications.

        A restarted or failed VM registers and each of its upstreams changes
        its dispatcher twice. A hot key is split out and merged again.
        """
        registrations = (
            self.targets.failures_per_day + self.targets.restarts_per_day
        )
        commands_per_vm = 1 + 2 * self.upstreams_per_daemon
        minutes_per_day = SECONDS_PER_DAY / 60
        split_commands = (
            2
            * self.targets.hot_keys
            * minutes_per_day
            / self.targets.hot_minutes
        )
        return registrations * commands_per_vm + split_commands
