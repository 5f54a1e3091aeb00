"""Chooses the entry VM that decides on the requests of a queue."""

import heapq
import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

import xxhash

from ibisjunction.entry.dispatching.limits import find_share
from ibisjunction.round_trips import RoundTrips

#: Bounds of the wait for a dispatcher, which follows its round trips: an answer
#: over a slow link takes as long as the response that occupies the link. A
#: dispatcher that exceeds the wait is suspected to have failed.
_MIN_WAIT_MS: Final = 100
_MAX_WAIT_MS: Final = 500
#: Time for which other dispatchers are chosen than one that did not answer.
_SUSPECT_MS: Final = 1500
#: Best VMs of a queue that are kept; the others are looked for only if all of
#: these are suspected to have failed.
_BEST_COUNT: Final = 3
#: Queues whose ranking is kept; a queue takes about 300 bytes.
_MAX_RANKINGS: Final = 4096
#: Changes of the list of VMs above which rankings are made anew when needed.
_MAX_CHANGES: Final = 8
#: Rank of a VM that does not know the others.
_LAST_RANK: Final = 1_000_000
_HASH_BITS: Final = 64
_FRACTION_BITS: Final = 53
_MIN_FRACTION: Final = 1e-18


@dataclass(slots=True)
class _Ranking:
    """The VMs with the highest weights for one queue, highest first.

    ``own_rank`` is the number of VMs with a higher weight than this one.
    """

    best: list[tuple[float, str]]
    own_rank: int


class Dispatchers:
    """The entry VMs as dispatchers, as one of them sees them.

    Weighted rendezvous hashing: each VM finds the same dispatcher for a queue,
    and VMs decide on shares of the queues that follow their capacities. All
    decisions for a queue pass the link of its dispatcher, so a VM with a slow
    link or processor would delay requests of all others.

    The ranking of a queue is kept until it changes: a VM that joins costs one
    hash for each queue, and one that leaves concerns only the queues for which
    it was among the best.
    """

    def __init__(self, vm: str) -> None:
        """Start with this VM as the only one."""
        self._vm = vm
        #: Capacities by VM.
        self._vms: dict[str, int] = {}
        self._rankings: dict[str, _Ranking] = {}
        self._suspected_until_ms: dict[str, int] = {}
        self._round_trips: dict[str, RoundTrips] = {}

    def replace_vms(
        self, vms: tuple[str, ...], capacities: tuple[int, ...] = ()
    ) -> None:
        """Replace the list of entry VMs; without capacities, all are equal."""
        padding = (1,) * (len(vms) - len(capacities))
        earlier = self._vms
        self._vms = dict(zip(vms, (*capacities, *padding), strict=False))
        added = self._vms.items() - earlier.items()
        removed = earlier.items() - self._vms.items()
        if len(added) + len(removed) > _MAX_CHANGES:
            self._rankings.clear()
        else:
            self._update_rankings(dict(added), dict(removed))
        for vm in earlier.keys() - self._vms.keys():
            self._round_trips.pop(vm, None)
            self._suspected_until_ms.pop(vm, None)

    def choose(self, queue: str, now: int) -> str:
        """Return the dispatcher of a queue that is not suspected to fail."""
        if not self._vms:
            return self._vm
        for _, vm in self._find_ranking(queue).best:
            if now >= self._suspected_until_ms.get(vm, 0):
                return vm
        return self._choose_other(queue, now)

    def find_share(self, queue: str) -> float:
        """Return the share of an upstream's limit that this VM may grant."""
        rank = self._find_ranking(queue).own_rank if self._vms else 0
        return find_share(rank, len(self._vms))

    def find_rank(self, queue: str) -> int:
        """Return the number of VMs that come before this one for a queue.

        Before a list of VMs has arrived, any other may come before this one.
        """
        return self._find_ranking(queue).own_rank if self._vms else _LAST_RANK

    def _choose_other(self, queue: str, now: int) -> str:
        """Return the best VM for a queue whose best ones are suspected."""
        suspected = self._suspected_until_ms
        vms = [vm for vm in self._vms if now >= suspected.get(vm, 0)]
        return max(
            vms,
            key=lambda vm: _weigh(vm, self._vms[vm], queue),
            default=self._vm,
        )

    def _find_ranking(self, queue: str) -> _Ranking:
        ranking = self._rankings.get(queue)
        if ranking is None:
            if len(self._rankings) >= _MAX_RANKINGS:
                self._rankings.clear()
            ranking = self._rank(queue)
            self._rankings[queue] = ranking
        return ranking

    def _rank(self, queue: str) -> _Ranking:
        weights = [
            (_weigh(vm, capacity, queue), vm)
            for vm, capacity in self._vms.items()
        ]
        own_weight = self._weigh_own(queue)
        return _Ranking(
            heapq.nlargest(_BEST_COUNT, weights),
            sum(weight > own_weight for weight, _ in weights),
        )

    def _update_rankings(
        self, added: Mapping[str, int], removed: Mapping[str, int]
    ) -> None:
        """Change the rankings by the VMs that differ."""
        is_own_changed = self._vm in added or self._vm in removed
        for queue, ranking in list(self._rankings.items()):
            best_vms = {vm for _, vm in ranking.best}
            if is_own_changed or best_vms & removed.keys():
                self._rankings.pop(queue)
                continue
            own_weight = self._weigh_own(queue)
            for vm, capacity in removed.items():
                ranking.own_rank -= _weigh(vm, capacity, queue) > own_weight
            for vm, capacity in added.items():
                weight = _weigh(vm, capacity, queue)
                ranking.own_rank += weight > own_weight
                ranking.best.append((weight, vm))
            ranking.best = heapq.nlargest(_BEST_COUNT, ranking.best)

    def _weigh_own(self, queue: str) -> float:
        capacity = self._vms.get(self._vm)
        return 0 if capacity is None else _weigh(self._vm, capacity, queue)

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


def _weigh(vm: str, capacity: int, queue: str) -> float:
    """Return the weight of a VM for a queue; the highest one decides."""
    digest = xxhash.xxh3_64_intdigest(f'{vm} {queue}'.encode())
    # A float holds this many bits, so that the fraction is below 1.
    fraction = (digest >> (_HASH_BITS - _FRACTION_BITS)) / 2**_FRACTION_BITS
    return capacity / -math.log(max(fraction, _MIN_FRACTION))
