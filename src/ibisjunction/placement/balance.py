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
        self._owned: dict[str, set[int]] = {name: set() for name in weights}
        self._totals: dict[str, float] = dict.fromkeys(weights, 0)
        for shard, owner in owners.items():
            self._add(shard, owner)

    def place(self, shard: int) -> str | None:
        """Choose and record an owner for a shard that has none."""
        ranks = {name: self._rank(shard, name) for name in self._weights}
        owner = min(ranks, key=ranks.__getitem__, default=None)
        if owner is not None:
            self._add(shard, owner)
        return owner

    def improve(self) -> ShardMove | None:
        """Choose and record the move that evens out the load most, if any does.

        The shard goes from the upstream with the highest load per weight.
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
        self._totals[highest] -= self._load_of(shard)
        self._add(shard, to)
        return ShardMove(shard, to)

    def _is_uneven(self, highest: str, lowest: str) -> bool:
        """Return whether the load per weight of either is out of tolerance."""
        total_weight = sum(self._weights.values())
        mean = sum(self._totals.values()) / total_weight
        return self._load_per_weight(highest) > mean * (
            1 + _TOLERANCE
        ) or self._load_per_weight(lowest) < mean * (1 - _TOLERANCE)

    def _add(self, shard: int, owner: str) -> None:
        self._owned[owner].add(shard)
        self._totals[owner] += self._load_of(shard)

    def _rank(self, shard: int, name: str) -> tuple[float, float]:
        load = self._load_of(shard)
        return self._load_per_weight(name, load), -self._score(shard, name)

    def _gain(self, shard: int, owner: str, to: str) -> float:
        """Return by how much a move lowers the higher load per weight."""
        load = self._load_of(shard)
        remaining = self._load_per_weight(owner, -load)
        return self._load_per_weight(owner) - max(
            remaining, self._load_per_weight(to, load)
        )

    def _load_per_weight(self, name: str, extra: float = 0) -> float:
        total = self._totals[name] + extra
        return total / self._weights[name]

    def _load_of(self, shard: int) -> float:
        return self._loads.get(shard, 1)

    def _score(self, shard: int, name: str) -> float:
        subject = f'{self._service}/{shard}'
        return score_candidate(subject, name, self._weights[name])
