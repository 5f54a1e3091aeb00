"""Chooses the entry VM that decides on the requests of a queue."""

import math
from typing import Final

import xxhash

from ibisjunction.entry.limits import find_share
from ibisjunction.round_trips import RoundTrips

#: Bounds of the wait for a dispatcher, which follows its round trips: an answer
#: over a slow link takes as long as the response that occupies the link. A
#: dispatcher that exceeds the wait is suspected to have failed.
_MIN_WAIT_MS: Final = 100
_MAX_WAIT_MS: Final = 500
#: Time for which other dispatchers are chosen than one that did not answer.
_SUSPECT_MS: Final = 1500
_HASH_BITS: Final = 64
_FRACTION_BITS: Final = 53
_MIN_FRACTION: Final = 1e-18


class Dispatchers:
    """The entry VMs as dispatchers, as one of them sees them.

    Weighted rendezvous hashing: each VM finds the same dispatcher for a queue,
    and VMs decide on shares of the queues that follow their capacities. All
    decisions for a queue pass the link of its dispatcher, so a VM with a slow
    link or processor would delay requests of all others.
    """

    def __init__(self, vm: str) -> None:
        """Start with this VM as the only one."""
        self._vm = vm
        #: Capacities by VM.
        self._vms: dict[str, int] = {}
        self._suspected_until_ms: dict[str, int] = {}
        self._round_trips: dict[str, RoundTrips] = {}

    def replace_vms(
        self, vms: tuple[str, ...], capacities: tuple[int, ...] = ()
    ) -> None:
        """Replace the list of entry VMs; without capacities, all are equal."""
        padding = (1,) * (len(vms) - len(capacities))
        self._vms = dict(zip(vms, (*capacities, *padding), strict=False))
        self._round_trips = {
            vm: round_trips
            for vm, round_trips in self._round_trips.items()
            if vm in vms
        }
        self._suspected_until_ms = {
            vm: until_ms
            for vm, until_ms in self._suspected_until_ms.items()
            if vm in vms
        }

    def choose(self, queue: str, now: int) -> str:
        """Return the dispatcher of a queue that is not suspected to fail."""
        vms = [
            vm for vm in self._vms if now >= self._suspected_until_ms.get(vm, 0)
        ]
        return max(
            vms,
            key=lambda vm: self._weigh(vm, queue),
            default=self._vm,
        )

    def find_share(self, queue: str) -> float:
        """Return the share of an upstream's limit that this VM may grant."""
        own = self._weigh(self._vm, queue) if self._vm in self._vms else 0
        rank = sum(self._weigh(vm, queue) > own for vm in self._vms)
        return find_share(rank, len(self._vms))

    def _weigh(self, vm: str, queue: str) -> float:
        """Return the weight of a VM for a queue; the highest one decides."""
        digest = xxhash.xxh3_64_intdigest(f'{vm} {queue}'.encode())
        # A float holds this many bits, so that the fraction is below 1.
        fraction = (digest >> (_HASH_BITS - _FRACTION_BITS)) / 2**_FRACTION_BITS
        return self._vms[vm] / -math.log(max(fraction, _MIN_FRACTION))

    def wait_ms(self, vm: str) -> int:
        """Return how long to wait for the first answer of a dispatcher."""
        return self._find_round_trips(vm).wait_ms

    def record_answer(self, vm: str, round_trip_ms: int) -> None:
        """Record the first answer of a dispatcher to a ticket request."""
        self._find_round_trips(vm).add_sample(round_trip_ms)

    def record_silence(self, vm: str, now: int) -> None:
        """Suspect a dispatcher that did not answer in time."""
        self._find_round_trips(vm).back_off()
        self._suspected_until_ms[vm] = now + _SUSPECT_MS

    def _find_round_trips(self, vm: str) -> RoundTrips:
        return self._round_trips.setdefault(
            vm, RoundTrips(_MIN_WAIT_MS, _MAX_WAIT_MS)
        )
