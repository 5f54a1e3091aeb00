"""Compares placement with modulo hashing and plain consistent hashing.

Each way places the keys of each service of a deployment through the same
changes. The outcome is computed, not run: a planned move takes as long as a
hand-over, a loss as long as its detection and the rest of the grant lease.
"""

import random
from collections import Counter, defaultdict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import IO, Final

from ibisjunction.bench.placement_changes import Change, list_changes
from ibisjunction.bench.placement_ways import WAYS, Fleet, Owners, Way

_KEYS: Final = 20_000
#: Time without an owner in seconds: a planned hand-over, and a loss.
_MOVE_S: Final = 0.03
_LOSS_S: Final = 0.7
#: Slowest and fastest upstream differ by this factor.
_SPEED_RANGE: Final = 4
_SEED: Final = 7


@dataclass(frozen=True, slots=True)
class Profile:
    """A deployment: upstreams of each service and slots of each upstream."""

    name: str
    upstreams: tuple[int, ...]
    slots: int


PROFILES: Final = (
    Profile('consorcio', (16, 9, 8), 3),
    Profile('guild', (20, 10, 8), 4),
)


@dataclass(frozen=True, slots=True)
class Outcome:
    """What one change did under one way.

    ``imbalance`` is the highest load per weight over the mean, minus 1;
    ``churn`` the keys moved over the least possible.
    """

    imbalance: float
    moved: int
    least: int
    unavailable_key_s: float

    @property
    def churn(self) -> float:
        """Moved keys over the least possible; 0 if none moved."""
        return self.moved / self.least if self.least else float(self.moved)


def make_fleet(upstreams: int, slots: int, rng: random.Random) -> Fleet:
    """Return a fleet with speeds that differ widely."""
    weights = {
        f'up-{number:02}': slots * _SPEED_RANGE ** rng.random()
        for number in range(upstreams)
    }
    return Fleet(weights, {f'key-{number}': 1 for number in range(_KEYS)})


def measure(fleet: Fleet, change: Change, way: Way) -> Outcome:
    """Return what the change does to a fleet placed this way."""
    before = way(fleet, {})
    changed = change.apply(fleet)
    after = way(changed, before)
    moved = [key for key in after if before[key] != after[key]]
    gone_s = _LOSS_S if change.is_loss else _MOVE_S
    return Outcome(
        imbalance=_imbalance(changed, after),
        moved=len(moved),
        least=count_least(fleet, changed, before),
        unavailable_key_s=len(moved) * gone_s,
    )


def count_least(before: Fleet, after: Fleet, owners: Owners) -> int:
    """Return the least keys that any way moves for this change.

    An upstream that leaves gives up the keys it has. For a join and a change
    of speed it is the sum of what the upstreams' fair shares grow by.
    """
    gone = set(before.weights) - set(after.weights)
    if gone:
        held = Counter(owners.values())
        return sum(held[name] for name in gone)
    shares = _share(before.weights)
    grown = [
        share - shares.get(name, 0)
        for name, share in _share(after.weights).items()
    ]
    return round(_KEYS * sum(max(0, growth) for growth in grown))


def print_comparison(output: IO[str]) -> int:
    """Print one line per deployment, change and way."""
    output.write(
        'deployment change way imbalance churn moved least key_seconds\n',
    )
    for profile in PROFILES:
        for line in _compare(profile):
            output.write(f'{line}\n')
    return 0


def _compare(profile: Profile) -> Iterator[str]:
    """Add up the services of a deployment; imbalance is the worst one."""
    names = [change.name for change in list_changes(random.Random(_SEED))]
    for position, name in enumerate(names):
        for way_name, way in WAYS.items():
            outcomes = [
                _measure_service(profile, upstreams, position, way)
                for upstreams in profile.upstreams
            ]
            moved = sum(outcome.moved for outcome in outcomes)
            least = sum(outcome.least for outcome in outcomes)
            total = Outcome(
                max(outcome.imbalance for outcome in outcomes),
                moved,
                least,
                sum(outcome.unavailable_key_s for outcome in outcomes),
            )
            yield (
                f'{profile.name} {name.replace(" ", "-")} {way_name}'
                f' {total.imbalance:.2f} {total.churn:.2f} {moved} {least}'
                f' {total.unavailable_key_s:.0f}'
            )


def _measure_service(
    profile: Profile,
    upstreams: int,
    position: int,
    way: Way,
) -> Outcome:
    """Measure with the same random numbers for each way."""
    rng = random.Random(_SEED)
    fleet = make_fleet(upstreams, profile.slots, rng)
    return measure(fleet, list_changes(rng)[position], way)


def _share(weights: Mapping[str, float]) -> dict[str, float]:
    total = sum(weights.values())
    return {name: weight / total for name, weight in weights.items()}


def _imbalance(fleet: Fleet, owners: Owners) -> float:
    totals: dict[str, float] = defaultdict(float)
    for key, owner in owners.items():
        totals[owner] += fleet.loads[key]
    mean = sum(totals.values()) / sum(fleet.weights.values())
    levels = [
        totals[name] / weight / mean for name, weight in fleet.weights.items()
    ]
    return max(levels) - 1
