"""Compares placement with modulo hashing and plain consistent hashing.

Each strategy places the keys of each service of a deployment before and after
the same changes. The outcome is computed, not measured on a running system. A
key that moves has no owner for a while: during a planned hand-over, or, after
a loss, during its detection and the rest of the grant lease.
"""

import random
from collections import Counter, defaultdict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import IO, Final

from ibisjunction.bench.placement_changes import Change, list_changes
from ibisjunction.bench.placement_strategies import (
    STRATEGIES,
    Owners,
    Strategy,
    WeightedFleet,
)

_KEYS: Final = 20_000
#: Time without an owner in seconds, for a planned hand-over and for a loss.
_HANDOVER_S: Final = 0.03
_LOSS_S: Final = 0.7
#: Speeds of upstreams differ by up to this factor.
_SPEED_RANGE: Final = 4
_SEED: Final = 7


@dataclass(frozen=True, slots=True)
class DeploymentSize:
    """Number of upstreams of each service, and slots of each upstream."""

    name: str
    upstreams: tuple[int, ...]
    slots: int


DEPLOYMENT_SIZES: Final = (
    DeploymentSize('consorcio', (16, 9, 8), 3),
    DeploymentSize('guild', (20, 10, 8), 4),
)


@dataclass(frozen=True, slots=True)
class ChangeOutcome:
    """Effect of one change under one strategy.

    ``imbalance`` is the highest load per weight divided by the mean, minus 1;
    ``min_moved`` the least number of keys that the change requires to move;
    ``unavailable_key_s`` the seconds without an owner, summed over the keys.
    """

    imbalance: float
    moved: int
    min_moved: int
    unavailable_key_s: float

    @property
    def churn(self) -> float:
        """Moved keys divided by ``min_moved``, or moved keys if that is 0."""
        return (
            self.moved / self.min_moved if self.min_moved else float(self.moved)
        )


def make_fleet(upstreams: int, slots: int, rng: random.Random) -> WeightedFleet:
    """Return a fleet with random speeds, and keys with equal loads."""
    weights = {
        f'up-{number:02}': slots * _SPEED_RANGE ** rng.random()
        for number in range(upstreams)
    }
    return WeightedFleet(
        weights, {f'key-{number}': 1 for number in range(_KEYS)}
    )


def compute_outcome(
    fleet: WeightedFleet, change: Change, strategy: Strategy
) -> ChangeOutcome:
    """Return the effect of a change on a fleet placed by this strategy."""
    before = strategy(fleet, {})
    changed = change.apply(fleet)
    after = strategy(changed, before)
    moved = [key for key in after if before[key] != after[key]]
    without_owner_s = _LOSS_S if change.is_loss else _HANDOVER_S
    return ChangeOutcome(
        imbalance=_compute_imbalance(changed, after),
        moved=len(moved),
        min_moved=count_min_moved(fleet, changed, before),
        unavailable_key_s=len(moved) * without_owner_s,
    )


def count_min_moved(
    before: WeightedFleet, after: WeightedFleet, owners: Owners
) -> int:
    """Return the least number of keys that this change requires to move.

    If upstreams leave, these are the keys that they own. For a join or a
    change of speed, it is the sum by which the fair shares of upstreams grow;
    a baseline that ignores speeds may move fewer.
    """
    removed = set(before.weights) - set(after.weights)
    if removed:
        key_counts = Counter(owners.values())
        return sum(key_counts[name] for name in removed)
    shares = _compute_fair_shares(before.weights)
    growths = [
        share - shares.get(name, 0)
        for name, share in _compute_fair_shares(after.weights).items()
    ]
    return round(_KEYS * sum(max(0, growth) for growth in growths))


def print_comparison(output: IO[str]) -> int:
    """Print one line per deployment, change and strategy."""
    output.write(
        'deployment change way imbalance churn moved least key_seconds\n',
    )
    for size in DEPLOYMENT_SIZES:
        for line in _compare(size):
            output.write(f'{line}\n')
    return 0


def _compare(size: DeploymentSize) -> Iterator[str]:
    """Yield one line per change and strategy.

    The figures are summed over the services, except the imbalance, which is
    the highest one.
    """
    names = [change.name for change in list_changes(random.Random(_SEED))]
    for change_index, name in enumerate(names):
        for strategy_name, strategy in STRATEGIES.items():
            outcomes = [
                _compute_for_service(size, upstreams, change_index, strategy)
                for upstreams in size.upstreams
            ]
            moved = sum(outcome.moved for outcome in outcomes)
            min_moved = sum(outcome.min_moved for outcome in outcomes)
            total = ChangeOutcome(
                max(outcome.imbalance for outcome in outcomes),
                moved,
                min_moved,
                sum(outcome.unavailable_key_s for outcome in outcomes),
            )
            yield (
                f'{size.name} {name.replace(" ", "-")} {strategy_name}'
                f' {total.imbalance:.2f} {total.churn:.2f} {moved} {min_moved}'
                f' {total.unavailable_key_s:.0f}'
            )


def _compute_for_service(
    size: DeploymentSize,
    upstreams: int,
    change_index: int,
    strategy: Strategy,
) -> ChangeOutcome:
    """Compute the outcome for one service.

    The random numbers are the same for each strategy.
    """
    rng = random.Random(_SEED)
    fleet = make_fleet(upstreams, size.slots, rng)
    return compute_outcome(fleet, list_changes(rng)[change_index], strategy)


def _compute_fair_shares(weights: Mapping[str, float]) -> dict[str, float]:
    total = sum(weights.values())
    return {name: weight / total for name, weight in weights.items()}


def _compute_imbalance(fleet: WeightedFleet, owners: Owners) -> float:
    totals: dict[str, float] = defaultdict(float)
    for key, owner in owners.items():
        totals[owner] += fleet.loads[key]
    mean = sum(totals.values()) / sum(fleet.weights.values())
    relative_loads = [
        totals[name] / weight / mean for name, weight in fleet.weights.items()
    ]
    return max(relative_loads) - 1
