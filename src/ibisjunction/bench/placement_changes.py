"""Changes of a fleet that the comparison of placements applies."""

import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Final

from ibisjunction.bench.placement_strategies import Fleet

#: Fraction of a service's load that the hot keys take.
_HOT_SHARE: Final = 0.3
_HOT_KEYS: Final = 8
_SLOWDOWN: Final = 0.5


@dataclass(frozen=True, slots=True)
class Change:
    """Something that happens to a fleet."""

    name: str
    is_loss: bool
    apply: Callable[[Fleet], Fleet]


def list_changes(rng: random.Random) -> list[Change]:
    """Return the changes in the order in which they are reported."""
    return [
        Change('join', False, lambda fleet: _join(fleet, rng)),
        Change('leave', False, _remove_first),
        Change('crash', True, _remove_first),
        Change('drain', False, _remove_last),
        Change('speed', False, _slow_down),
        Change('hot keys', False, lambda fleet: _heat(fleet, rng)),
    ]


def _join(fleet: Fleet, rng: random.Random) -> Fleet:
    usual = sum(fleet.weights.values()) / len(fleet.weights)
    weights = {**fleet.weights, 'up-new': usual * (1 + rng.random()) / 2}
    return replace(fleet, weights=weights)


def _remove_first(fleet: Fleet) -> Fleet:
    return _without(fleet, min(fleet.weights))


def _remove_last(fleet: Fleet) -> Fleet:
    return _without(fleet, max(fleet.weights))


def _without(fleet: Fleet, gone: str) -> Fleet:
    weights = {
        name: weight for name, weight in fleet.weights.items() if name != gone
    }
    return replace(fleet, weights=weights)


def _slow_down(fleet: Fleet) -> Fleet:
    first = min(fleet.weights)
    weights = {**fleet.weights, first: fleet.weights[first] * _SLOWDOWN}
    return replace(fleet, weights=weights)


def _heat(fleet: Fleet, rng: random.Random) -> Fleet:
    hot = rng.sample(sorted(fleet.loads), _HOT_KEYS)
    extra = len(fleet.loads) * _HOT_SHARE / (1 - _HOT_SHARE) / _HOT_KEYS
    loads = {**fleet.loads, **dict.fromkeys(hot, 1 + extra)}
    return replace(fleet, loads=loads)
