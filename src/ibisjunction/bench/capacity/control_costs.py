"""Costs of the control state against its size."""

from collections.abc import Iterator
from functools import partial
from typing import Final

from ibisjunction.bench.capacity.fit import (
    Fit,
    fit_line,
    measure_cpu_us,
    measure_kib,
)
from ibisjunction.bench.demo import read_profile
from ibisjunction.control.codec import decode_state, encode_state
from ibisjunction.control.commands import (
    AnnounceUpstream,
    AssignDispatcher,
    AssignShards,
    BeginMove,
    Command,
    PublishRevision,
    RegisterVm,
)
from ibisjunction.control.records import UpstreamRecord, VmRecord
from ibisjunction.control.state import ControlState, apply_command
from ibisjunction.placement.planner import PlacementInput, plan_commands
from ibisjunction.services.collection import parse_collection

_KIB: Final = 1024
_SERVICE: Final = 'service-0001'
_SHARD_COUNTS: Final = (2000, 8000, 32_000)
_UPSTREAM_COUNTS: Final = (200, 800, 2000)
_VM_COUNTS: Final = (200, 800, 2000)
_REPEATS: Final = 20
#: A time of the order that daemons use, so that its encoding is as long.
_INCARNATION: Final = 1_700_000_000_000


def build_state(shards: int, upstreams: int, vms: int) -> ControlState:
    """Return a state with one service of this size."""
    state = ControlState()
    for command in _list_commands(shards, upstreams, vms):
        state = apply_command(state, command)[0]
    return state


def measure_state() -> list[Fit]:
    """Return memory and snapshot size per record of each kind."""
    counts = {
        'shard': _SHARD_COUNTS,
        'upstream': _UPSTREAM_COUNTS,
        'VM': _VM_COUNTS,
    }
    fits = []
    for per, sizes in counts.items():
        states = {size: _build_sized(per, size) for size in sizes}
        encoded = {
            size: len(encode_state(state)) / _KIB
            for size, state in states.items()
        }
        memory = {
            size: measure_kib(partial(_copy_state, state))
            for size, state in states.items()
        }
        fits += [
            fit_line('control state', 'KiB', per, memory),
            fit_line('snapshot', 'KiB', per, encoded),
        ]
    return fits


def measure_apply() -> list[Fit]:
    """Return processor time of commands and of the planner."""
    by_shards = {size: build_state(size, 10, 10) for size in _SHARD_COUNTS}
    by_vms = {size: build_state(10, 10, size) for size in _VM_COUNTS}
    move = BeginMove(_SERVICE, 0, 1, 'upstream-000001')
    return [
        _fit_apply('move of a shard', 'shard', by_shards, move),
        _fit_apply('registration of a VM', 'VM', by_vms, _register(0)),
        fit_line(
            'encoding a snapshot',
            'us',
            'shard',
            {
                size: measure_cpu_us(partial(encode_state, state), _REPEATS)
                for size, state in by_shards.items()
            },
        ),
        fit_line(
            'planning',
            'us',
            'shard',
            {
                size: measure_cpu_us(partial(_plan, state, size), _REPEATS)
                for size, state in by_shards.items()
            },
        ),
    ]


def measure_publication() -> Fit:
    """Return the time to apply a publication against the number of files."""
    state = build_state(10, 10, 10)
    text = 'x' * _KIB
    points = {}
    for count in (10, 100, 400):
        files = {f'service-{number}.toml': text for number in range(count)}
        command = PublishRevision(0, 'publication', files)
        work = partial(apply_command, state, command)
        points[count] = measure_cpu_us(work, _REPEATS)
    return fit_line('applying a publication', 'us', 'service file', points)


def measure_parsing() -> Fit:
    """Return the time to parse service files against their number."""
    sample = read_profile('consorcio')['mail-log.toml']
    points = {}
    for count in (3, 30, 100):
        files = {
            f'{number}.toml': sample.replace('mail-log', f'mail-log-{number}')
            for number in range(count)
        }
        work = partial(parse_collection, files)
        points[count] = measure_cpu_us(work, _REPEATS)
    return fit_line('parsing service files', 'us', 'service file', points)


def _build_sized(per: str, size: int) -> ControlState:
    match per:
        case 'shard':
            return build_state(size, 10, 10)
        case 'upstream':
            return build_state(10, size, 10)
        case _:
            return build_state(10, 10, size)


def _copy_state(state: ControlState) -> ControlState:
    """Return a state that shares nothing with the given one."""
    return decode_state(encode_state(state))


def _fit_apply(
    name: str,
    per: str,
    states: dict[int, ControlState],
    command: Command,
) -> Fit:
    points = {}
    for size, state in states.items():
        work = partial(apply_command, state, command)
        points[size] = measure_cpu_us(work, _REPEATS)
    return fit_line(name, 'us', per, points)


def _plan(state: ControlState, shards: int) -> None:
    live = frozenset(state.vms)
    plan_commands(PlacementInput(state, live, {_SERVICE: shards}))


def _list_commands(
    shards: int,
    upstreams: int,
    vms: int,
) -> Iterator[Command]:
    for number in range(vms):
        yield _register(number)
    for number in range(upstreams):
        yield _announce(number)
        yield AssignDispatcher(
            f'upstream-{number:06}',
            f'vm-{number % vms:06}',
        )
    for number in range(upstreams):
        owned = tuple(range(number, shards, upstreams))
        yield AssignShards(_SERVICE, f'upstream-{number:06}', owned)


def _register(number: int) -> RegisterVm:
    return RegisterVm(
        VmRecord(
            vm=f'vm-{number:06}',
            peer=f'10.0.0.1:{number}',
            http=f'10.0.0.2:{number}',
            region='region-1',
            failure_domain='fd-1',
            incarnation=_INCARNATION + number,
        ),
    )


def _announce(number: int) -> AnnounceUpstream:
    return AnnounceUpstream(
        UpstreamRecord(
            upstream=f'upstream-{number:06}',
            service=_SERVICE,
            address=f'10.0.0.3:{number}',
            failure_domain='fd-1',
            slots=4,
            connections=100,
            checks_fence=True,
            incarnation=_INCARNATION + number,
        ),
    )
