"""Scenario files, validated at the border and converted to data classes."""

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from types import MappingProxyType
from typing import Annotated, Final, Literal

import msgspec

from ibisjunction.bench.actions import (
    Action,
    Kill,
    Pause,
    PublishRace,
    Restart,
    Resume,
    RollingRestart,
    SwitchFault,
    TimedAction,
)
from ibisjunction.bench.arrivals import Phase, Stream
from ibisjunction.bench.faults import (
    Report,
    SetCrashTarget,
    SetFrozen,
    SetReport,
    SetShedding,
    SilenceConnections,
    StartDrain,
)
from ibisjunction.bench.request_records import Kind

_FOLDER: Final = Path(__file__).parent / 'scenarios'
_PositiveInt = Annotated[int, msgspec.Meta(gt=0)]
#: Bounds for one shared machine: VMs or upstreams of one kind, and requests per
#: second of one stream.
_MAX_PROCESSES: Final = 20
_MAX_RATE_PER_S: Final = 2000
_ProcessCount = Annotated[int, msgspec.Meta(gt=0, le=_MAX_PROCESSES)]
_Rate = Annotated[float, msgspec.Meta(ge=0, le=_MAX_RATE_PER_S)]
_Profile = Literal['consorcio', 'guild']
_StreamName = Literal[
    'reads',
    'urgent_reads',
    'writes',
    'urgent_writes',
    'downloads',
    'poison_reads',
    'poison_writes',
]
_ActionName = Literal[
    'kill',
    'pause',
    'resume',
    'restart',
    'drain',
    'freeze',
    'thaw',
    'shed',
    'recover',
    'lie',
    'lag',
    'silence',
    'crash-on',
    'rolling-restart',
    'publish-race',
]
_SIMPLE_ACTIONS: Final[Mapping[str, Action]] = MappingProxyType(
    {
        'kill': Kill(),
        'pause': Pause(),
        'resume': Resume(),
        'restart': Restart(),
        'drain': SwitchFault(StartDrain()),
        'freeze': SwitchFault(SetFrozen(frozen=True)),
        'thaw': SwitchFault(SetFrozen(frozen=False)),
        'shed': SwitchFault(SetShedding(shedding=True)),
        'recover': SwitchFault(SetShedding(shedding=False)),
        'lie': SwitchFault(SetReport(Report.WRONG)),
        'lag': SwitchFault(SetReport(Report.LAGGING)),
        'silence': SwitchFault(SilenceConnections()),
        'rolling-restart': RollingRestart(),
        'publish-race': PublishRace(),
    }
)


class ScenarioError(Exception):
    """A scenario file is not valid; the text names the file and the field."""


@dataclass(frozen=True, slots=True)
class FleetSpec:
    """Size and speed of a deployment.

    ``crash_prefix`` is the prefix of keys whose requests crash upstreams.
    """

    vms: int
    upstreams: dict[Kind, int]
    service_ms: float
    spread: float
    cold_factor: float
    cold_ms: int
    download_bytes: int
    crash_prefix: str


@dataclass(frozen=True, slots=True)
class Scenario:
    """Deployment, load and timed actions of one experiment."""

    name: str
    profiles: tuple[str, ...]
    fleet: FleetSpec
    keys: int
    phases: tuple[Phase, ...]
    actions: tuple[TimedAction, ...]


class _StrictModel(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all models: an unknown field is an error."""


class _FleetModel(_StrictModel, frozen=True):
    vms: _ProcessCount = 5
    reads: _ProcessCount = 4
    writes: _ProcessCount = 2
    downloads: _ProcessCount = 2
    service_ms: Annotated[float, msgspec.Meta(gt=0)] = 5
    spread: Annotated[float, msgspec.Meta(ge=0, le=3)] = 0.5
    cold_factor: Annotated[float, msgspec.Meta(ge=1)] = 3
    cold_ms: Annotated[int, msgspec.Meta(ge=0)] = 3000
    download_bytes: _PositiveInt = 10_000_000
    crash_prefix: str = ''


class _PhaseModel(_StrictModel, frozen=True):
    name: str
    length_ms: _PositiveInt
    rates: dict[_StreamName, _Rate]


class _ActionModel(_StrictModel, frozen=True):
    at_ms: Annotated[int, msgspec.Meta(ge=0)]
    action: _ActionName
    target: str = ''
    prefix: str = ''


class _ScenarioModel(_StrictModel, frozen=True):
    name: str
    phases: Annotated[list[_PhaseModel], msgspec.Meta(min_length=1)]
    profiles: tuple[_Profile, ...] = ('consorcio', 'guild')
    fleet: _FleetModel = _FleetModel()
    keys: _PositiveInt = 200
    actions: list[_ActionModel] = []


def list_scenarios() -> list[str]:
    """Return the names of the bundled scenarios."""
    return sorted(path.stem for path in _FOLDER.glob('*.toml'))


def load_scenario(name: str) -> Scenario:
    """Read a bundled scenario by its name, or any other by its path.

    :raises ScenarioError: if the file cannot be read or is not valid.
    """
    bundled = _FOLDER / f'{name}.toml'
    path = bundled if bundled.exists() else Path(name)
    try:
        return parse_scenario(path.read_text(), path.name)
    except OSError as error:
        names = ', '.join(list_scenarios())
        raise ScenarioError(f'{error}; known scenarios: {names}') from error


def parse_scenario(text: str, file_name: str) -> Scenario:
    """Parse the text of a scenario file.

    :param file_name: stands at the head of error messages.
    :raises ScenarioError: if the text is not a valid scenario.
    """
    try:
        model = msgspec.toml.decode(text, type=_ScenarioModel)
    except msgspec.DecodeError as error:
        raise ScenarioError(f'{file_name}: {error}') from error
    for index, action in enumerate(model.actions):
        if (action.action == 'crash-on') != bool(action.prefix):
            raise ScenarioError(
                f'{file_name}: actions[{index}].prefix: required for'
                ' crash-on and not allowed for other actions',
            )
    return _to_scenario(model)


def _to_scenario(model: _ScenarioModel) -> Scenario:
    fleet = model.fleet
    return Scenario(
        name=model.name,
        profiles=model.profiles,
        fleet=FleetSpec(
            vms=fleet.vms,
            upstreams={
                Kind.READS: fleet.reads,
                Kind.WRITES: fleet.writes,
                Kind.DOWNLOADS: fleet.downloads,
            },
            service_ms=fleet.service_ms,
            spread=fleet.spread,
            cold_factor=fleet.cold_factor,
            cold_ms=fleet.cold_ms,
            download_bytes=fleet.download_bytes,
            crash_prefix=fleet.crash_prefix,
        ),
        keys=model.keys,
        phases=tuple(map(_to_phase, model.phases)),
        actions=tuple(
            TimedAction(action.at_ms, action.target, _to_action(action))
            for action in sorted(model.actions, key=lambda timed: timed.at_ms)
        ),
    )


def _to_phase(model: _PhaseModel) -> Phase:
    streams = tuple(
        _to_stream(name, rate) for name, rate in sorted(model.rates.items())
    )
    return Phase(model.name, model.length_ms, streams)


def _to_stream(name: str, rate: float) -> Stream:
    qualifier, _, kind = name.rpartition('_')
    return Stream(
        Kind(kind),
        rate,
        urgent=qualifier == 'urgent',
        poison=qualifier == 'poison',
    )


def _to_action(model: _ActionModel) -> Action:
    if model.action == 'crash-on':
        return SwitchFault(SetCrashTarget(model.prefix))
    return _SIMPLE_ACTIONS[model.action]
