"""Settings of one entry or control process."""

from dataclasses import dataclass
from pathlib import Path
from typing import Final

from ibisjunction.control.roles import ElectionTiming
from ibisjunction.coordination.timing import (
    DEFAULT_EVACUATION_MS,
    FleetTiming,
)
from ibisjunction.entry.dispatching.cold import DEFAULT_COLD_TERMS, ColdTerms
from ibisjunction.entry.serving.budget import BudgetTerms
from ibisjunction.settings import Address

#: Largest relative difference between the clock rates of two VMs.
CLOCK_ERROR: Final = 0.02
#: A follower starts an election after a random time in this range without a
#: message from the leader. Messages take milliseconds; a garbage collection or
#: another process on the VM can delay one by 100 ms.
ELECTION_MIN_MS: Final = 400
ELECTION_MAX_MS: Final = 800
#: An entry VM without a message from a leader stops sending requests after
#: this time. An election after the loss of a leader takes about 1 s, and a full
#: restart 2 s. A lost VM delays the confirmation of an upstream's departure by
#: this time less the drain period, because it may still send to the upstream.
#: The delay must be shorter than the time in which a departure is to be
#: confirmed.
LEASE_MS: Final = 5000
#: Upstreams hold their keys this long after a check-in. A longer time bridges
#: longer outages of the control VMs; with a shorter one, the keys of a lost
#: upstream move sooner.
HOLD_MS: Final = 5000
_BYTES_PER_MB: Final = 1_000_000
#: Memory of the program without connections and bodies.
_PROGRAM_BYTES: Final = 40_000_000
#: Part of the remaining memory for the connections of callers.
_CONNECTION_MEMORY_SHARE: Final = 0.25
#: Memory of a connection: its tasks, and the bytes that wait to be read.
_CONNECTION_BYTES: Final = 65_536
#: Descriptors that the platform reserves for files.
_RESERVED_FILES: Final = 200
#: Part of the other descriptors for connections of callers. The rest is for
#: upstreams, other VMs and the other interfaces.
_CALLER_DESCRIPTOR_SHARE: Final = 0.5
_MIN_CONNECTIONS: Final = 16
#: Part of the other descriptors for each of the other interfaces.
_CALL_DESCRIPTOR_SHARE: Final = 0.2
_CONTROL_DESCRIPTOR_SHARE: Final = 0.5
#: Part of the memory for answers that are being received, with their copies.
#: The program takes 30 MB, and answers are held until they are forwarded.
_ANSWER_MEMORY_SHARE: Final = 0.5


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Addresses, seeds and guaranteed bounds of one process.

    ``vm`` is the address at which other VMs reach the process, and its name.
    ``seeds`` are the control VMs that it contacts first. ``is_first_start`` is
    true only when the whole deployment starts for the first time.

    Upstreams check in every ``check_in_ms`` and hold their keys for at most
    ``hold_max_ms`` after that. Requests to an upstream have to stop within
    ``drain_ms`` of its confirmed departure. A control VM counts as lost until
    ``catch_up_ms`` after its start. The process has to exit within
    ``grace_ms`` of the signal to stop. ``tolerated_losses`` is the number of
    control VMs that may lose their disks at once. ``capacity`` compares entry
    VMs: one with twice the capacity decides on twice as many requests.
    ``link_mbps`` is the rate of the VM's link. ``memory_mb`` is the memory of
    the process, and ``max_open_files`` the number of its descriptors. A
    confirmed evacuation is in force within ``evacuation_ms``.
    ``failure_domains`` are those of the deployment. At most ``hedge_ratio``
    times the requests of a service get a second attempt while the first is in
    flight; 0 turns that off. ``cold`` bounds the requests that cold upstreams
    get.
    """

    vm: Address
    failure_domain: str
    seeds: tuple[Address, ...]
    is_first_start: bool
    data_folder: Path | None
    check_in_ms: int
    catch_up_ms: int
    drain_ms: int
    hold_max_ms: int
    grace_ms: int
    tolerated_losses: int
    budget: BudgetTerms
    capacity: int = 1
    link_mbps: float = 1000
    memory_mb: float = 1024
    evacuation_ms: int = DEFAULT_EVACUATION_MS
    failure_domains: tuple[str, ...] = ()
    hedge_ratio: float = 0
    cold: ColdTerms = DEFAULT_COLD_TERMS
    max_open_files: int = 4096

    @property
    def timing(self) -> FleetTiming:
        """The durations that control and entry VMs agree on."""
        return FleetTiming(
            hold_ms=min(HOLD_MS, self.hold_max_ms),
            lease_ms=max(LEASE_MS, self.drain_ms),
            drain_ms=self.drain_ms,
            check_in_ms=self.check_in_ms,
            catch_up_ms=self.catch_up_ms,
            clock_error=CLOCK_ERROR,
            tolerated_losses=self.tolerated_losses,
            evacuation_ms=self.evacuation_ms,
        )

    @property
    def election(self) -> ElectionTiming:
        """The times of elections and of changes of the voters."""
        return ElectionTiming(
            ELECTION_MIN_MS, ELECTION_MAX_MS, CLOCK_ERROR, self.catch_up_ms
        )

    @property
    def max_answer_bytes(self) -> int:
        """Memory for answers of upstreams that an entry VM receives at once."""
        return int(self.memory_mb * _BYTES_PER_MB * _ANSWER_MEMORY_SHARE)

    @property
    def body_room_bytes(self) -> int:
        """Memory for bodies of callers, and for answers while they are held.

        With 160 MB, the largest body of the operators' usual limits, 64 MiB,
        fits once.
        """
        return int(self._spare_bytes * (1 - _CONNECTION_MEMORY_SHARE))

    @property
    def max_caller_connections(self) -> int:
        """Connections of callers that an entry VM keeps."""
        by_memory = self._spare_bytes * _CONNECTION_MEMORY_SHARE
        return max(
            _MIN_CONNECTIONS,
            min(
                int(by_memory / _CONNECTION_BYTES),
                int(self._spare_files * _CALLER_DESCRIPTOR_SHARE),
            ),
        )

    @property
    def max_call_connections(self) -> int:
        """Connections to each interface of a control VM that takes calls."""
        return max(
            _MIN_CONNECTIONS,
            int(self._spare_files * _CONTROL_DESCRIPTOR_SHARE),
        )

    @property
    def max_check_connections(self) -> int:
        """Connections to an interface for checks or metrics."""
        return max(
            _MIN_CONNECTIONS, int(self._spare_files * _CALL_DESCRIPTOR_SHARE)
        )

    @property
    def _spare_bytes(self) -> float:
        return max(0, self.memory_mb * _BYTES_PER_MB - _PROGRAM_BYTES)

    @property
    def _spare_files(self) -> int:
        return max(0, self.max_open_files - _RESERVED_FILES)

    @property
    def seed_names(self) -> tuple[str, ...]:
        """The VM names of the seeds."""
        return tuple(str(seed) for seed in self.seeds)
