"""Plans when which request is sent; a seed determines the whole plan."""

import itertools
import random
from bisect import bisect
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from ibisjunction.bench.request_records import Kind
from ibisjunction.clock import MS_PER_S

#: Exponent of the distribution of keys: key ``n`` is requested in proportion
#: to ``1 / (n + 1) ** _SKEW``.
_SKEW: Final = 1.0


@dataclass(frozen=True, slots=True)
class Stream:
    """Requests of one kind and rank at a rate; rank ``None`` is the default."""

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
    keys: int,
    clients: tuple[str, ...],
    seed: int,
) -> list[Arrival]:
    """Return the arrivals of all phases in order of time.

    Arrivals of each stream are a Poisson process.
    """
    source = random.Random(seed)
    weights = [1 / (number + 1) ** _SKEW for number in range(keys)]
    bounds = list(itertools.accumulate(weights))
    planned: list[tuple[float, Phase, Stream]] = []
    start_ms = 0
    for phase in phases:
        for stream in phase.streams:
            planned += [
                (at_ms, phase, stream)
                for at_ms in _draw_times(source, start_ms, phase, stream)
            ]
        start_ms += phase.length_ms
    planned.sort(key=lambda entry: entry[0])
    return [
        Arrival(
            number=number,
            at_ms=at_ms,
            phase=phase.name,
            stream=stream,
            key=_draw_key(source, bounds, stream),
            client=source.choice(clients),
        )
        for number, (at_ms, phase, stream) in enumerate(planned)
    ]


def _draw_times(
    source: random.Random,
    start_ms: float,
    phase: Phase,
    stream: Stream,
) -> Iterator[float]:
    at_ms = start_ms
    while stream.rate_per_s > 0:
        at_ms += source.expovariate(stream.rate_per_s) * MS_PER_S
        if at_ms >= start_ms + phase.length_ms:
            return
        yield at_ms


def _draw_key(
    source: random.Random,
    bounds: list[float],
    stream: Stream,
) -> str:
    number = bisect(bounds, source.random() * bounds[-1])
    return f'poison-{number}' if stream.poison else f'key-{number}'
