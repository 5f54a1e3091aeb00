"""Fleet changes that the comparison of placement algorithms applies."""

import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Final

from ibisjunction.bench.placement_strategies import WeightedFleet

#: Fraction of a service's load that the hot keys take.
_HOT_SHARE: Final = 0.3
_HOT_KEY_COUNT: Final = 8
#: Speed of a slowed upstream as a fraction of its former speed.
_SLOW_SPEED_FACTOR: Final = 0.5


@dataclass(frozen=True, slots=True)
class Change:
    """A fleet change; ``is_loss`` is true if an upstream crashes."""

    name: str
    is_loss: bool
    apply: Callable[[WeightedFleet], WeightedFleet]


def list_changes(rng: random.Random) -> list[Change]:
    """Return the changes in the order in which they are reported."""
    return [
        Change('join', False, lambda fleet: _add_upstream(fleet, rng)),
        Change('leave', False, _remove_first),
        Change('crash', True, _remove_first),
        Change('drain', False, _remove_last),
        Change('speed', False, _slow_down),
        Change('hot keys', False, lambda fleet: _add_hot_keys(fleet, rng)),
    ]


def _add_upstream(fleet: WeightedFleet, rng: random.Random) -> WeightedFleet:
    mean_weight = sum(fleet.weights.values()) / len(fleet.weights)
    weights = {**fleet.weights, 'up-new': mean_weight * (1 + rng.random()) / 2}
    return replace(fleet, weights=weights)


def _remove_first(fleet: WeightedFleet) -> WeightedFleet:
    return _remove_upstream(fleet, min(fleet.weights))


def _remove_last(fleet: WeightedFleet) -> WeightedFleet:
    return _remove_upstream(fleet, max(fleet.weights))


def _remove_upstream(fleet: WeightedFleet, removed: str) -> WeightedFleet:
    weights = {
        name: weight
        for name, weight in fleet.weights.items()
        if name != removed
    }
    return replace(fleet, weights=weights)


def _slow_down(fleet: WeightedFleet) -> WeightedFleet:
    first = min(fleet.weights)
    weights = {
        **fleet.weights,
        first: fleet.weights[first] * _SLOW_SPEED_FACTOR,
    }
    return replace(fleet, weights=weights)


def _add_hot_keys(fleet: WeightedFleet, rng: random.Random) -> WeightedFleet:
    hot_keys = rng.sample(sorted(fleet.loads), _HOT_KEY_COUNT)
    extra_load = (
        len(fleet.loads) * _HOT_SHARE / (1 - _HOT_SHARE) / _HOT_KEY_COUNT
    )
    loads = {**fleet.loads, **dict.fromkeys(hot_keys, 1 + extra_load)}
    return replace(fleet, loads=loads)
