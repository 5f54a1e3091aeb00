"""Model of the platform's settings file, with the bounds of each value.

All times are in seconds.
"""

from collections.abc import Iterator
from typing import Annotated, Final

import msgspec

from ibisjunction.settings.loader import is_address

_MAX_PORT: Final = 65_535
#: Larger than any bound in use; it excludes infinity.
_MAX_BOUND: Final = 1e9
_MAX_COUNT: Final = 1000

_Port = Annotated[int, msgspec.Meta(ge=0, le=_MAX_PORT)]
#: A bound may be a whole number, a fraction or a boolean, which counts as 0 or
#: 1.
_Bound = Annotated[float, msgspec.Meta(ge=0, lt=_MAX_BOUND)] | bool
_PositiveBound = Annotated[float, msgspec.Meta(gt=0, lt=_MAX_BOUND)] | bool
_Ratio = Annotated[float, msgspec.Meta(ge=0, le=1)]
_Interval = Annotated[float, msgspec.Meta(gt=0, lt=_MAX_BOUND)]
_Capacity = Annotated[float, msgspec.Meta(gt=0, lt=_MAX_BOUND)]
_Count = Annotated[float, msgspec.Meta(ge=0, lt=_MAX_COUNT, multiple_of=1)]


class _Model(msgspec.Struct, rename='pascal', frozen=True):
    """Base of the tables of the file; unknown fields are ignored."""


class _Limits(_Model, frozen=True):
    #: Part of a core that the machine has, and how many times as fast it is.
    cpu_share: _Capacity = 1
    cpu_cores: _Capacity = 1
    link_mbps: _Capacity = 1000
    memory_mb: _Capacity = 1024
    max_open_files: _Capacity = 4096


class _Process(_Model, frozen=True):
    ip: str
    zone: str
    bootstrap: bool = False
    data_dir: str = ''
    limits: _Limits = _Limits()


class _BindAddresses(_Model, frozen=True):
    frontend: str = ''
    readiness: str = ''
    control_plane: str = ''


class _Network(_Model, frozen=True):
    internal_port_range: tuple[_Port, _Port]
    seed_nodes: tuple[str, ...]
    bind_addresses: _BindAddresses
    #: Region of each failure domain.
    zones: dict[str, str] = msgspec.field(default_factory=dict)


class _Platform(_Model, frozen=True):
    #: Interval at which upstreams check in.
    heartbeat_interval_s: _Interval = 1


class _FaultTolerance(_Model, frozen=True):
    #: Control VMs that may lose their disks at once.
    machines: _Count = 1


class _Bounds(_Model, frozen=True):
    #: Time until a machine that is back, or new, no longer counts as lost.
    catch_up_s: _Bound = 4
    drain_period_s: _Bound = 2
    grace_period_s: _Bound = 6
    max_hold_s: _Bound = 10
    evacuation_s: _PositiveBound = 5
    hedge_ratio: _Ratio = 0
    retry_budget_ratio: _Bound = 0.1
    retry_budget_slack: _Bound = 20
    budget_window_s: _PositiveBound = 10
    #: A cold upstream gets at most its rate times the overage, plus the slack,
    #: in any second.
    cold_overage: _Bound = 1.5
    cold_slack: _Bound = 8


class _Terms(_Model, frozen=True):
    fault_tolerance: _FaultTolerance = _FaultTolerance()
    bounds: _Bounds = _Bounds()


class SettingsFile(_Model, frozen=True):
    """The tables of the file that are used."""

    process: _Process = msgspec.field(name='Self')
    network: _Network
    platform: _Platform = _Platform()
    terms: _Terms = _Terms()


def find_address_mistakes(model: SettingsFile) -> Iterator[str]:
    """Yield one line for each address that is not valid."""
    bind = model.network.bind_addresses
    own_ip = model.process.ip
    if not is_address(f'{own_ip}:0'):
        yield f'Self.Ip: {own_ip!r} is not an IP number'
    for position, seed in enumerate(model.network.seed_nodes):
        if not is_address(seed):
            yield f'Network.SeedNodes[{position}]: {seed!r} is not IP:PORT'
    for name, text in (
        ('Frontend', bind.frontend),
        ('Readiness', bind.readiness),
        ('ControlPlane', bind.control_plane),
    ):
        if text and not is_address(text):
            yield f'Network.BindAddresses.{name}: {text!r} is not IP:PORT'
