"""Plans which request is sent at which time.

The same seed gives the same plan.
"""

import itertools
import random
from bisect import bisect
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from ibisjunction.bench.request_records import Kind
from ibisjunction.clock import MS_PER_S

#: Exponent of the Zipf distribution of keys: key ``n`` is requested in
#: proportion to ``1 / (n + 1) ** _ZIPF_EXPONENT``.
_ZIPF_EXPONENT: Final = 1.0


@dataclass(frozen=True, slots=True)
class Stream:
    """Requests of one kind at a mean rate.

    :param urgent: whether requests carry the header that makes them urgent.
    :param poison: whether keys start with ``poison-``, so that a crash fault
        can select these requests by their prefix.
    """

    kind: Kind
    rate_per_s: float
    urgent: bool = False
    poison: bool = False


@dataclass(frozen=True, slots=True)
class Phase:
    """A period with a fixed mix of requests."""

    name: str
    length_ms: int
    streams: tuple[Stream, ...]


@dataclass(frozen=True, slots=True)
class Arrival:
    """One planned request; ``at_ms`` counts from the start of the load."""

    number: int
    at_ms: float
    phase: str
    stream: Stream
    key: str
    client: str


def plan_arrivals(
    phases: tuple[Phase, ...],
    key_count: int,
    clients: tuple[str, ...],
    seed: int,
) -> list[Arrival]:
    """Return the arrivals of all phases in order of time.

    The arrivals of each stream form a Poisson process.
    """
    rng = random.Random(seed)
    weights = [
        1 / (number + 1) ** _ZIPF_EXPONENT for number in range(key_count)
    ]
    cumulative_weights = list(itertools.accumulate(weights))
    planned: list[tuple[float, Phase, Stream]] = []
    start_ms = 0
    for phase in phases:
        for stream in phase.streams:
            planned += [
                (at_ms, phase, stream)
                for at_ms in _draw_times(rng, start_ms, phase, stream)
            ]
        start_ms += phase.length_ms
    planned.sort(key=lambda entry: entry[0])
    return [
        Arrival(
            number=number,
            at_ms=at_ms,
            phase=phase.name,
            stream=stream,
            key=_draw_key(rng, cumulative_weights, stream),
            client=rng.choice(clients),
        )
        for number, (at_ms, phase, stream) in enumerate(planned)
    ]


def _draw_times(
    rng: random.Random,
    start_ms: float,
    phase: Phase,
    stream: Stream,
) -> Iterator[float]:
    at_ms = start_ms
    while stream.rate_per_s > 0:
        at_ms += rng.expovariate(stream.rate_per_s) * MS_PER_S
        if at_ms >= start_ms + phase.length_ms:
            return
        yield at_ms


def _draw_key(
    rng: random.Random,
    cumulative_weights: list[float],
    stream: Stream,
) -> str:
    number = bisect(cumulative_weights, rng.random() * cumulative_weights[-1])
    return f'poison-{number}' if stream.poison else f'key-{number}'
