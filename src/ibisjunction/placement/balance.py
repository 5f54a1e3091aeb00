"""Chooses owners of shards with as few moves as possible.

A shard keeps its owner unless a move evens out the load. A shard without an
owner goes where the load per weight stays lowest. Weighted rendezvous hashing
breaks ties, so that all leaders choose the same owners.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final

from ibisjunction.placement.rendezvous import score_candidate

#: Load per weight may differ from the mean by this fraction before a shard is
#: moved. A move interrupts a shard for tens of ms, and measured speeds vary.
_TOLERANCE: Final = 0.1
_EQUAL_LOADS: Final[Mapping[int, float]] = MappingProxyType({})


@dataclass(frozen=True, slots=True)
class ShardMove:
    """A shard and the upstream that should own it."""

    shard: int
    upstream: str


class Balance:
    """The load of the upstreams of one service while owners are chosen.

    :param owners: owner of each shard, for upstreams in ``weights`` only.
    :param weights: positive weight of each upstream that may own shards.
    :param loads: load of shards; 1 for a shard that is not listed.
    """

    def __init__(
        self,
        service: str,
        owners: Mapping[int, str],
        weights: Mapping[str, float],
        loads: Mapping[int, float] = _EQUAL_LOADS,
    ) -> None:
        """Add up the loads."""
        self._service = service
        self._weights = weights
        self._loads = loads
        self._owned: dict[str, set[int]] = {
            upstream: set() for upstream in weights
        }
        self._total_loads: dict[str, float] = dict.fromkeys(weights, 0)
        for shard, owner in owners.items():
            self._add(shard, owner)

    def place(self, shard: int) -> str | None:
        """Choose and record an owner for a shard that has none."""
        costs = {
            upstream: self._cost(shard, upstream) for upstream in self._weights
        }
        owner = min(costs, key=costs.__getitem__, default=None)
        if owner is not None:
            self._add(shard, owner)
        return owner

    def improve(self) -> ShardMove | None:
        """Choose and record the move that evens out the load most, if any does.

        The shard is taken from the upstream with the highest load per weight.
        """
        if not self._weights:
            return None
        highest = max(sorted(self._weights), key=self._load_per_weight)
        candidates = [
            (self._gain(shard, highest, to), self._score(shard, to), shard, to)
            for to in self._weights
            if to != highest
            for shard in self._owned[highest]
        ]
        if not candidates:
            return None
        gain, _, shard, to = max(candidates)
        if gain <= 0 or not self._is_uneven(highest, to):
            return None
        self._owned[highest].discard(shard)
        self._total_loads[highest] -= self._load_of(shard)
        self._add(shard, to)
        return ShardMove(shard, to)

    def _is_uneven(self, highest: str, to: str) -> bool:
        """Return whether ``highest`` has too much load or ``to`` too little."""
        total_weight = sum(self._weights.values())
        mean = sum(self._total_loads.values()) / total_weight
        return self._load_per_weight(highest) > mean * (
            1 + _TOLERANCE
        ) or self._load_per_weight(to) < mean * (1 - _TOLERANCE)

    def _add(self, shard: int, owner: str) -> None:
        self._owned[owner].add(shard)
        self._total_loads[owner] += self._load_of(shard)

    def _cost(self, shard: int, upstream: str) -> tuple[float, float]:
        load = self._load_of(shard)
        return (
            self._load_per_weight(upstream, load),
            -self._score(shard, upstream),
        )

    def _gain(self, shard: int, owner: str, to: str) -> float:
        """Return by how much a move lowers the higher load per weight."""
        load = self._load_of(shard)
        remaining = self._load_per_weight(owner, -load)
        return self._load_per_weight(owner) - max(
            remaining, self._load_per_weight(to, load)
        )

    def _load_per_weight(self, upstream: str, extra_load: float = 0) -> float:
        total = self._total_loads[upstream] + extra_load
        return total / self._weights[upstream]

    def _load_of(self, shard: int) -> float:
        return self._loads.get(shard, 1)

    def _score(self, shard: int, upstream: str) -> float:
        subject = f'{self._service}/{shard}'
        return score_candidate(subject, upstream, self._weights[upstream])
