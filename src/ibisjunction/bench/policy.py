"""Compares dispatch policies on the same arrivals, in one run."""

import random
from collections import Counter, defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import IO, Final, Literal

import msgspec

from ibisjunction.bench.demo import read_profile
from ibisjunction.bench.replay import (
    UPSTREAM,
    Arrival,
    ArrivalOutcome,
    DispatchPolicy,
    FirstComeFirstServed,
    Replay,
    UpstreamPhase,
)
from ibisjunction.clock import MS_PER_S
from ibisjunction.dispatch.dispatcher import Dispatcher
from ibisjunction.dispatch.messages import (
    GrantsInForce,
    ResultKind,
    TicketRequest,
)
from ibisjunction.services.model import parse_service_file
from ibisjunction.services.spec import Rank, ServiceSpec

#: Arrivals last this long; floods reach their steady state within 1 s.
_DURATION_MS: Final = 8000
_FAR_FUTURE_MS: Final = 1 << 60
_UNLIMITED: Final = 1_000_000
_SHARDS: Final = 64
_VMS: Final = 10
#: Spread of the logarithm of the service time: 9 of 10 requests take less
#: than 1.7 times the median.
_SPREAD: Final = 0.4
#: Deadline of a rank that no operation of the service has.
_TIMEOUT_MS: Final = 5000
#: Part of the arrivals that the first client sends; five share the rest.
_HEAVY_PART: Final = 0.5
_LEVELS: Final = (0, 0, 0, 0, 1, 1)


@dataclass(frozen=True, slots=True)
class Deployment:
    """A deployment, its slots and the service whose files are used."""

    profile: str
    service: str
    slots: int


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Load by rank, in parts of the upstream's capacity, and its behaviour.

    ``service_ms`` is the median service time when the upstream is warm.
    """

    name: str
    service_ms: int
    load: dict[Rank, float]
    behaviour: Literal['steady', 'shedding', 'cold'] = 'steady'


class _ScenarioFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    scenarios: list[Scenario]


_DEPLOYMENTS: Final = (
    Deployment('consorcio', 'mail-log', 3),
    Deployment('guild', 'motions', 4),
)
_SCENARIOS_TOML: Final = Path(__file__).with_name('policy.toml')


def compare_policies(seed: int, only: str, output: IO[str]) -> int:
    """Print the figures of each policy in each scenario named like ``only``."""
    scenarios = msgspec.toml.decode(
        _SCENARIOS_TOML.read_text(), type=_ScenarioFile
    )
    for deployment in _DEPLOYMENTS:
        for scenario in scenarios.scenarios:
            if only not in scenario.name:
                continue
            output.write(f'{deployment.profile}: {scenario.name}\n')
            for line in _run_scenario(deployment, scenario, seed):
                output.write(f'  {line}\n')
    return 0


def _run_scenario(
    deployment: Deployment,
    scenario: Scenario,
    seed: int,
) -> Iterator[str]:
    spec = read_service(deployment.profile, deployment.service)
    phases = _make_phases(scenario, deployment.slots)
    per_ms = deployment.slots / scenario.service_ms
    arrivals = make_arrivals(spec, scenario, per_ms, seed)
    schemes: dict[str, DispatchPolicy] = {
        'first come, no limit': FirstComeFirstServed(_UNLIMITED),
        'first come, fixed limit': FirstComeFirstServed(deployment.slots),
        'policy': make_dispatcher(spec, deployment.slots),
    }
    for name, scheme in schemes.items():
        ended = Replay(scheme, phases).run(arrivals, 2 * _DURATION_MS)
        yield summarize(name, spec, ended)


def read_service(profile: str, service: str) -> ServiceSpec:
    """Return a service of an example profile."""
    text = read_profile(profile)[f'{service}.toml']
    return parse_service_file(text, service)


def make_dispatcher(spec: ServiceSpec, slots: int) -> Dispatcher:
    """Return a dispatcher whose grants are in force."""
    dispatcher = Dispatcher(UPSTREAM, 1, slots)
    dispatcher.set_ranks(spec.ranks)
    fences = dict.fromkeys(range(_SHARDS), 1)
    grants = GrantsInForce(UPSTREAM, 1, fences, _FAR_FUTURE_MS)
    dispatcher.set_confirmed_grants(grants, 0)
    return dispatcher


def make_arrivals(
    spec: ServiceSpec,
    scenario: Scenario,
    per_ms: float,
    seed: int,
) -> list[Arrival]:
    """Return open-loop arrivals with exponential gaps, in order of time.

    :param per_ms: capacity of the upstream in requests per ms.
    """
    source = random.Random(seed)
    arrivals: list[Arrival] = []
    for rank, load in scenario.load.items():
        at_ms = source.expovariate(load * per_ms)
        while at_ms < _DURATION_MS:
            number = len(arrivals)
            arrivals.append(
                _make_arrival(spec, rank, number, int(at_ms), source),
            )
            at_ms += source.expovariate(load * per_ms)
    return sorted(arrivals, key=lambda arrival: arrival.at_ms)


def _make_arrival(
    spec: ServiceSpec,
    rank: Rank,
    number: int,
    at_ms: int,
    source: random.Random,
) -> Arrival:
    timeouts = [
        operation.timeout_ms
        for operation in spec.operations
        if operation.rank is rank
    ]
    client = 0
    if source.random() >= _HEAVY_PART:
        client = source.randrange(1, len(_LEVELS))
    terms = spec.terms[min(_LEVELS[client], len(spec.terms) - 1)]
    request = TicketRequest(
        ticket_id=f'request-{number}',
        upstream=UPSTREAM,
        service=spec.service,
        shard=source.randrange(_SHARDS),
        rank=rank,
        client=f'client-{client}',
        weight=terms.weight,
        max_in_flight=terms.max_in_flight,
        remaining_ms=min([*timeouts, _TIMEOUT_MS]),
        idempotent=True,
    )
    vm = f'vm-{source.randrange(_VMS)}'
    return Arrival(at_ms, vm, request, source.lognormvariate(0, _SPREAD))


def _make_phases(scenario: Scenario, slots: int) -> list[UpstreamPhase]:
    speed_ms = scenario.service_ms
    start = UpstreamPhase(0, slots, _UNLIMITED, speed_ms)
    match scenario.behaviour:
        case 'shedding':
            return [
                start,
                UpstreamPhase(
                    _DURATION_MS // 4, slots - 1, slots - 1, speed_ms
                ),
                UpstreamPhase(_DURATION_MS // 4 * 3, slots, slots, speed_ms),
            ]
        case 'cold':
            return [
                UpstreamPhase(0, 1, 1, speed_ms * 3),
                UpstreamPhase(_DURATION_MS // 10, 2, 2, speed_ms * 2),
                UpstreamPhase(_DURATION_MS // 5, slots, slots, speed_ms),
            ]
        case _:
            return [start]


def summarize(
    name: str, spec: ServiceSpec, ended: Sequence[ArrivalOutcome]
) -> str:
    """Return a line with the figures by rank, worth and fairness."""
    good = [item for item in ended if is_on_time(spec, item)]
    ranks_served = [item.arrival.request.rank for item in good]
    worth = sum(spec.ranks[rank].worth for rank in ranks_served)
    per_s = worth * MS_PER_S / _DURATION_MS
    ranks = '; '.join(_describe_rank(spec, rank, ended) for rank in Rank)
    fairness = _fairness(ended)
    return f'{name:24} {ranks}; worth/s {per_s:.0f}, fairness {fairness:.2f}'


def _describe_rank(
    spec: ServiceSpec,
    rank: Rank,
    ended: Sequence[ArrivalOutcome],
) -> str:
    mine = [item for item in ended if item.arrival.request.rank is rank]
    good = sum(is_on_time(spec, item) for item in mine)
    kinds = Counter(item.kind for item in mine)
    figures = {
        'on time': _percent(good, len(mine)),
        'late': _percent(kinds[ResultKind.SUCCEEDED] - good, len(mine)),
        'refused': _percent(kinds[None], len(mine)),
        'shed': str(kinds[ResultKind.SHED]),
        'of slots': _percent(_used(mine), _used(ended)),
    }
    shown = [f'{name} {figure}' for name, figure in figures.items()]
    return ' '.join((rank.value, *shown))


def is_on_time(spec: ServiceSpec, item: ArrivalOutcome) -> bool:
    """Return whether an answer came within its rank's target."""
    if item.kind is not ResultKind.SUCCEEDED:
        return False
    request = item.arrival.request
    target_ms = min(spec.ranks[request.rank].target_ms, request.remaining_ms)
    return item.at_ms - item.arrival.at_ms <= target_ms


def _used(ended: Sequence[ArrivalOutcome]) -> float:
    """Return the work that was run, in median service times."""
    return sum(
        item.arrival.work for item in ended if item.kind is ResultKind.SUCCEEDED
    )


def _percent(part: float, whole: float) -> str:
    return f'{100 * part / whole:.0f}%' if whole else '-'


def _fairness(ended: Sequence[ArrivalOutcome]) -> float:
    """Return Jain's index of answers by weight, in the rank with most load.

    It is 1 if clients are served by their weights, and 1/6 if one of six gets
    everything.
    """
    load = Counter(item.arrival.request.rank for item in ended)
    rank = load.most_common(1)[0][0]
    served: defaultdict[str, float] = defaultdict(float)
    for item in ended:
        request = item.arrival.request
        if request.rank is rank and item.kind is ResultKind.SUCCEEDED:
            served[request.client] += 1 / request.weight
    squares = sum(count**2 for count in served.values())
    return sum(served.values()) ** 2 / (len(_LEVELS) * squares)
