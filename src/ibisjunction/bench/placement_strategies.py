"""Strategies for placing keys of a service: two baselines and the planner."""

import bisect
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final

import xxhash

from ibisjunction.placement.balance import Balance
from ibisjunction.services.keys import shard_of

#: Shards of a service, as in the example service files.
_SHARDS: Final = 64
#: Points of each upstream on the ring; 100 is a common number.
_POINTS_PER_UPSTREAM: Final = 100


@dataclass(frozen=True, slots=True)
class WeightedFleet:
    """Upstreams of one service with their weights, and the loads of keys."""

    weights: Mapping[str, float]
    loads: Mapping[str, float]


Owners = Mapping[str, str]
#: Returns the owner of each key, given the previous owners.
Strategy = Callable[[WeightedFleet, Owners], Owners]


def place_modulo(fleet: WeightedFleet, _before: Owners) -> Owners:
    """Place each key by its hash modulo the number of upstreams."""
    names = sorted(fleet.weights)
    return {key: names[shard_of(key, len(names))] for key in fleet.loads}


def place_consistent(fleet: WeightedFleet, _before: Owners) -> Owners:
    """Place keys by consistent hashing, whatever the weights.

    Each upstream has the same number of points on the ring.
    """
    ring = sorted(
        (_hash(f'{name}#{point}'), name)
        for name in fleet.weights
        for point in range(_POINTS_PER_UPSTREAM)
    )
    hashes = [position for position, _ in ring]
    return {
        key: ring[bisect.bisect(hashes, _hash(key)) % len(ring)][1]
        for key in fleet.loads
    }


def place_shards(fleet: WeightedFleet, before: Owners) -> Owners:
    """Place shards with the planner, which balances them by weight."""
    shards = {key: shard_of(key, _SHARDS) for key in fleet.loads}
    owners = {
        shards[key]: owner
        for key, owner in before.items()
        if owner in fleet.weights
    }
    balance = Balance('bench', owners, fleet.weights)
    for shard in range(_SHARDS):
        if shard not in owners:
            owner = balance.place(shard)
            if owner is not None:
                owners[shard] = owner
    move = balance.improve()
    while move is not None:
        owners[move.shard] = move.upstream
        move = balance.improve()
    return {key: owners[shard] for key, shard in shards.items()}


STRATEGIES: Final[Mapping[str, Strategy]] = MappingProxyType(
    {
        'modulo': place_modulo,
        'consistent': place_consistent,
        'planner': place_shards,
    }
)


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
