"""Reads the platform's settings file.

All times in the file are in seconds.
"""

import os
import tomllib
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import msgspec

from ibisjunction.clock import MS_PER_S
from ibisjunction.entry.dispatching.cold import ColdTerms
from ibisjunction.entry.serving.budget import BudgetTerms
from ibisjunction.nodes.settings import NodeSettings
from ibisjunction.platform.settings_file import (
    SettingsFile,
    find_address_mistakes,
)
from ibisjunction.settings import Address
from ibisjunction.settings.loader import parse_address
from ibisjunction.validation import find_mistakes

_PATH_VARIABLE: Final = 'IBISJUNCTION_SETTINGS'
_DEFAULT_PATH: Final = '/etc/ibisjunction/local.toml'
#: Units of capacity for one core and 1 Mbit/s.
_CAPACITY_SCALE: Final = 10


class PlatformSettingsError(Exception):
    """The settings file is missing or not valid."""


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """The settings of one process.

    The process serves callers, the balancer's readiness checks, and calls of
    upstreams and operators on the three addresses. An address that the role
    does not serve is empty.
    """

    is_control: bool
    node: NodeSettings
    caller_address: str
    readiness_address: str
    control_address: str


def load_platform_settings(*, is_control: bool) -> PlatformSettings:
    """Read the file that the environment names.

    :raises PlatformSettingsError: if it is missing or not valid; the message
        lists all mistakes.
    """
    path = Path(os.environ.get(_PATH_VARIABLE, _DEFAULT_PATH))
    return read_platform_settings(path, is_control=is_control)


def read_platform_settings(
    path: Path,
    *,
    is_control: bool,
) -> PlatformSettings:
    """Read a settings file for one role.

    :raises PlatformSettingsError: if it is missing or not valid; the message
        lists all mistakes.
    """
    try:
        raw = tomllib.loads(path.read_text())
    except (OSError, ValueError, RecursionError) as error:
        # Errors of decoding are values' errors; deep nesting is the last.
        raise PlatformSettingsError(f'{path}: {error}') from error
    mistakes = list(find_mistakes(raw, SettingsFile, allows_unknown=True))
    if not mistakes:
        model = msgspec.convert(raw, SettingsFile)
        mistakes = list(find_address_mistakes(model))
    if mistakes:
        raise PlatformSettingsError(f'{path}: {"; ".join(mistakes)}')
    bind = model.network.bind_addresses
    return PlatformSettings(
        is_control,
        _make_node_settings(model, is_control=is_control),
        bind.frontend,
        bind.readiness,
        bind.control_plane,
    )


def find_missing_addresses(settings: PlatformSettings) -> Iterator[str]:
    """Yield the addresses that the role of a process needs and that are empty.

    A check of a file does not know the role, so it does not use this.
    """
    needed = (
        {'ControlPlane': settings.control_address}
        if settings.is_control
        else {
            'Frontend': settings.caller_address,
            'Readiness': settings.readiness_address,
        }
    )
    for name, text in needed.items():
        if not text:
            yield f'Network.BindAddresses.{name}: missing'


def _make_node_settings(
    model: SettingsFile, *, is_control: bool
) -> NodeSettings:
    """Convert the platform's settings to those of a control or entry process.

    Processes of one machine share its ports: control processes take the first
    internal port and entry processes the second. Ports are the same on all
    machines, so a seed's internal address follows from its control address.
    """
    first_port = model.network.internal_port_range[0]
    bounds = model.terms.bounds
    own_port = first_port if is_control else first_port + 1
    data_dir = model.process.data_dir
    return NodeSettings(
        vm=Address(model.process.ip, own_port),
        failure_domain=model.process.zone,
        seeds=tuple(
            Address(parse_address(seed).host, first_port)
            for seed in model.network.seed_nodes
        ),
        is_first_start=model.process.bootstrap,
        data_folder=Path(data_dir) if data_dir else None,
        check_in_ms=max(1, _seconds_to_ms(model.platform.heartbeat_interval_s)),
        catch_up_ms=_seconds_to_ms(bounds.catch_up_s),
        drain_ms=_seconds_to_ms(bounds.drain_period_s),
        hold_max_ms=_seconds_to_ms(bounds.max_hold_s),
        grace_ms=_seconds_to_ms(bounds.grace_period_s),
        capacity=_measure_capacity(model),
        link_mbps=model.process.limits.link_mbps,
        memory_mb=model.process.limits.memory_mb,
        evacuation_ms=_seconds_to_ms(bounds.evacuation_s),
        failure_domains=tuple(model.network.zones),
        hedge_ratio=bounds.hedge_ratio,
        max_open_files=int(model.process.limits.max_open_files),
        tolerated_losses=int(model.terms.fault_tolerance.machines),
        budget=BudgetTerms(
            bounds.retry_budget_ratio,
            bounds.retry_budget_slack,
            _seconds_to_ms(bounds.budget_window_s),
        ),
        cold=ColdTerms(bounds.cold_overage, bounds.cold_slack),
    )


def _measure_capacity(model: SettingsFile) -> int:
    """Return the capacity of the machine's processor and link together.

    Both are needed to decide for other VMs, so their product counts.
    """
    limits = model.process.limits
    cores = limits.cpu_share * limits.cpu_cores
    return max(1, round(cores * limits.link_mbps * _CAPACITY_SCALE))


def _seconds_to_ms(seconds: float) -> int:
    return round(seconds * MS_PER_S)
