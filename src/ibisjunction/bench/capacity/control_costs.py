"""Costs of the control state by its size."""

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
#: As large as the incarnations of daemons, so that its encoding is as long.
_INCARNATION: Final = 1_700_000_000_000


def build_state(shards: int, upstreams: int, vms: int) -> ControlState:
    """Return a state with one service and these numbers of records."""
    state = ControlState()
    for command in _list_commands(shards, upstreams, vms):
        state = apply_command(state, command)[0]
    return state


def measure_state_size() -> list[Fit]:
    """Return memory and snapshot size per record of each kind."""
    sizes_by_kind = {
        'shard': _SHARD_COUNTS,
        'upstream': _UPSTREAM_COUNTS,
        'VM': _VM_COUNTS,
    }
    fits = []
    for per, sizes in sizes_by_kind.items():
        states = {size: _build_state_of_size(per, size) for size in sizes}
        snapshot_kib = {
            size: len(encode_state(state)) / _KIB
            for size, state in states.items()
        }
        memory_kib = {
            size: measure_kib(partial(_copy_state, state))
            for size, state in states.items()
        }
        fits += [
            fit_line('control state', 'KiB', per, memory_kib),
            fit_line('snapshot', 'KiB', per, snapshot_kib),
        ]
    return fits


def measure_control_cpu() -> list[Fit]:
    """Return processor time of commands, snapshots and the planner."""
    states_by_shards = {
        size: build_state(size, 10, 10) for size in _SHARD_COUNTS
    }
    states_by_vms = {size: build_state(10, 10, size) for size in _VM_COUNTS}
    move = BeginMove(_SERVICE, 0, 1, 'upstream-000001')
    return [
        _measure_command('move of a shard', 'shard', states_by_shards, move),
        _measure_command(
            'registration of a VM', 'VM', states_by_vms, _make_registration(0)
        ),
        fit_line(
            'encoding a snapshot',
            'us',
            'shard',
            {
                size: measure_cpu_us(partial(encode_state, state), _REPEATS)
                for size, state in states_by_shards.items()
            },
        ),
        fit_line(
            'planning',
            'us',
            'shard',
            {
                size: measure_cpu_us(partial(_plan, state, size), _REPEATS)
                for size, state in states_by_shards.items()
            },
        ),
    ]


def measure_publication() -> Fit:
    """Return processor time to apply a publication, by number of files."""
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
    """Return processor time to parse service files, by their number."""
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


def _build_state_of_size(per: str, size: int) -> ControlState:
    """Return a state with ``size`` records of one kind and few others."""
    match per:
        case 'shard':
            return build_state(size, 10, 10)
        case 'upstream':
            return build_state(10, size, 10)
        case _:
            return build_state(10, 10, size)


def _copy_state(state: ControlState) -> ControlState:
    """Return an equal state that shares no objects with the given one."""
    return decode_state(encode_state(state))


def _measure_command(
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
    live_vms = frozenset(state.vms)
    plan_commands(PlacementInput(state, live_vms, {_SERVICE: shards}))


def _list_commands(
    shards: int,
    upstreams: int,
    vms: int,
) -> Iterator[Command]:
    for number in range(vms):
        yield _make_registration(number)
    for number in range(upstreams):
        yield _make_announcement(number)
        yield AssignDispatcher(
            f'upstream-{number:06}',
            f'vm-{number % vms:06}',
        )
    for number in range(upstreams):
        owned_shards = tuple(range(number, shards, upstreams))
        yield AssignShards(_SERVICE, f'upstream-{number:06}', owned_shards)


def _make_registration(number: int) -> RegisterVm:
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


def _make_announcement(number: int) -> AnnounceUpstream:
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
