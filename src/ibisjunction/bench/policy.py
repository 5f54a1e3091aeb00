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
    ArrivalOutcome,
    DispatchPolicy,
    FirstComeFirstServed,
    Replay,
    ReplayedArrival,
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

#: Duration of the arrivals; floods reach their steady state within 1 s.
_DURATION_MS: Final = 8000
_FAR_FUTURE_MS: Final = 1 << 60
_UNLIMITED: Final = 1_000_000
_SHARDS: Final = 64
_VM_COUNT: Final = 10
#: Spread of the logarithm of the service time: 9 of 10 requests take less
#: than 1.7 times the median.
_SPREAD: Final = 0.4
#: Timeout for a rank without operations in the service, and the upper bound
#: for all others.
_DEFAULT_TIMEOUT_MS: Final = 5000
#: Fraction of the arrivals that the first client sends; five send the rest.
_HEAVY_CLIENT_FRACTION: Final = 0.5
#: Index of the service terms that apply to each client.
_CLIENT_LEVELS: Final = (0, 0, 0, 0, 1, 1)


@dataclass(frozen=True, slots=True)
class MeasuredService:
    """A service of a profile, and the slots of its upstream."""

    profile: str
    service: str
    slots: int


class PolicyScenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Load by rank as a fraction of the capacity, and the upstream's behaviour.

    ``service_ms`` is the median service time when the upstream is warm.
    """

    name: str
    service_ms: int
    load: dict[Rank, float]
    behaviour: Literal['steady', 'shedding', 'cold'] = 'steady'


class _ScenarioFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    scenarios: list[PolicyScenario]


_MEASURED_SERVICES: Final = (
    MeasuredService('consorcio', 'mail-log', 3),
    MeasuredService('guild', 'motions', 4),
)
_SCENARIOS_TOML: Final = Path(__file__).with_name('policy.toml')


def compare_policies(seed: int, only: str, output: IO[str]) -> int:
    """Print the figures of each policy in each selected scenario.

    :param only: selects the scenarios whose name contains this text.
    """
    scenarios = msgspec.toml.decode(
        _SCENARIOS_TOML.read_text(), type=_ScenarioFile
    )
    for measured in _MEASURED_SERVICES:
        for scenario in scenarios.scenarios:
            if only not in scenario.name:
                continue
            output.write(f'{measured.profile}: {scenario.name}\n')
            for line in _run_scenario(measured, scenario, seed):
                output.write(f'  {line}\n')
    return 0


def _run_scenario(
    measured: MeasuredService,
    scenario: PolicyScenario,
    seed: int,
) -> Iterator[str]:
    spec = read_service(measured.profile, measured.service)
    phases = _make_phases(scenario, measured.slots)
    capacity_per_ms = measured.slots / scenario.service_ms
    arrivals = make_arrivals(spec, scenario, capacity_per_ms, seed)
    schemes: dict[str, DispatchPolicy] = {
        'first come, no limit': FirstComeFirstServed(_UNLIMITED),
        'first come, fixed limit': FirstComeFirstServed(measured.slots),
        'policy': make_dispatcher(spec, measured.slots),
    }
    for name, scheme in schemes.items():
        ended = Replay(scheme, phases).run(arrivals, 2 * _DURATION_MS)
        yield format_summary(name, spec, ended)


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
    scenario: PolicyScenario,
    capacity_per_ms: float,
    seed: int,
) -> list[ReplayedArrival]:
    """Return open-loop arrivals with exponential gaps, in order of time.

    :param capacity_per_ms: capacity of the upstream in requests per ms.
    """
    rng = random.Random(seed)
    arrivals: list[ReplayedArrival] = []
    for rank, load in scenario.load.items():
        at_ms = rng.expovariate(load * capacity_per_ms)
        while at_ms < _DURATION_MS:
            number = len(arrivals)
            arrivals.append(
                _make_arrival(spec, rank, number, int(at_ms), rng),
            )
            at_ms += rng.expovariate(load * capacity_per_ms)
    return sorted(arrivals, key=lambda arrival: arrival.at_ms)


def _make_arrival(
    spec: ServiceSpec,
    rank: Rank,
    number: int,
    at_ms: int,
    rng: random.Random,
) -> ReplayedArrival:
    timeouts = [
        operation.timeout_ms
        for operation in spec.operations
        if operation.rank is rank
    ]
    client = 0
    if rng.random() >= _HEAVY_CLIENT_FRACTION:
        client = rng.randrange(1, len(_CLIENT_LEVELS))
    terms = spec.terms[min(_CLIENT_LEVELS[client], len(spec.terms) - 1)]
    request = TicketRequest(
        ticket_id=f'request-{number}',
        upstream=UPSTREAM,
        service=spec.service,
        shard=rng.randrange(_SHARDS),
        rank=rank,
        client=f'client-{client}',
        weight=terms.weight,
        max_in_flight=terms.max_in_flight,
        remaining_ms=min([*timeouts, _DEFAULT_TIMEOUT_MS]),
        idempotent=True,
    )
    vm = f'vm-{rng.randrange(_VM_COUNT)}'
    return ReplayedArrival(at_ms, vm, request, rng.lognormvariate(0, _SPREAD))


def _make_phases(scenario: PolicyScenario, slots: int) -> list[UpstreamPhase]:
    """Return how the upstream behaves in each phase.

    While it sheds load, it has one slot less. While it is cold, it first has
    one slot and takes three times as long, then two slots and twice as long.
    From the start of either, it sheds requests instead of queueing them.
    """
    service_ms = scenario.service_ms
    steady = UpstreamPhase(0, slots, _UNLIMITED, service_ms)
    match scenario.behaviour:
        case 'shedding':
            return [
                steady,
                UpstreamPhase(
                    _DURATION_MS // 4, slots - 1, slots - 1, service_ms
                ),
                UpstreamPhase(_DURATION_MS // 4 * 3, slots, slots, service_ms),
            ]
        case 'cold':
            return [
                UpstreamPhase(0, 1, 1, service_ms * 3),
                UpstreamPhase(_DURATION_MS // 10, 2, 2, service_ms * 2),
                UpstreamPhase(_DURATION_MS // 5, slots, slots, service_ms),
            ]
        case _:
            return [steady]


def format_summary(
    name: str, spec: ServiceSpec, ended: Sequence[ArrivalOutcome]
) -> str:
    """Format the figures by rank, the worth and the fairness as one line."""
    items_on_time = [item for item in ended if is_on_time(spec, item)]
    ranks_served = [item.arrival.request.rank for item in items_on_time]
    worth = sum(spec.ranks[rank].worth for rank in ranks_served)
    worth_per_s = worth * MS_PER_S / _DURATION_MS
    ranks = '; '.join(_describe_rank(spec, rank, ended) for rank in Rank)
    fairness = _compute_fairness(ended)
    return (
        f'{name:24} {ranks}; worth/s {worth_per_s:.0f}, fairness {fairness:.2f}'
    )


def _describe_rank(
    spec: ServiceSpec,
    rank: Rank,
    ended: Sequence[ArrivalOutcome],
) -> str:
    rank_items = [item for item in ended if item.arrival.request.rank is rank]
    on_time_count = sum(is_on_time(spec, item) for item in rank_items)
    kinds = Counter(item.kind for item in rank_items)
    figures = {
        'on time': _format_percent(on_time_count, len(rank_items)),
        'late': _format_percent(
            kinds[ResultKind.SUCCEEDED] - on_time_count, len(rank_items)
        ),
        'refused': _format_percent(kinds[None], len(rank_items)),
        'shed': str(kinds[ResultKind.SHED]),
        'of slots': _format_percent(_sum_work(rank_items), _sum_work(ended)),
    }
    texts = [f'{name} {figure}' for name, figure in figures.items()]
    return ' '.join((rank.value, *texts))


def is_on_time(spec: ServiceSpec, item: ArrivalOutcome) -> bool:
    """Return whether an answer came within its target and its timeout."""
    if item.kind is not ResultKind.SUCCEEDED:
        return False
    request = item.arrival.request
    target_ms = min(spec.ranks[request.rank].target_ms, request.remaining_ms)
    return item.at_ms - item.arrival.at_ms <= target_ms


def _sum_work(ended: Sequence[ArrivalOutcome]) -> float:
    """Return the work of successful requests, in median service times."""
    return sum(
        item.arrival.work for item in ended if item.kind is ResultKind.SUCCEEDED
    )


def _format_percent(part: float, whole: float) -> str:
    return f'{100 * part / whole:.0f}%' if whole else '-'


def _compute_fairness(ended: Sequence[ArrivalOutcome]) -> float:
    """Return Jain's fairness index of the clients in the busiest rank.

    The answers to each client count divided by its weight. The index is 1 if
    clients are served in proportion to their weights, and 1/6 if only one of
    the six is served.
    """
    request_counts = Counter(item.arrival.request.rank for item in ended)
    rank = request_counts.most_common(1)[0][0]
    served: defaultdict[str, float] = defaultdict(float)
    for item in ended:
        request = item.arrival.request
        if request.rank is rank and item.kind is ResultKind.SUCCEEDED:
            served[request.client] += 1 / request.weight
    squares = sum(count**2 for count in served.values())
    return sum(served.values()) ** 2 / (len(_CLIENT_LEVELS) * squares)
