"""Settings, calls and headers as stand-ins of the platform send them.

The soak with requests takes the platform's words from here.
"""

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

from ibisjunction.catalogue.model import Limits, RequestKind
from ibisjunction.clock import MS_PER_S
from ibisjunction.platform.bodies import HEADERS

REQUEST_ID_HEADER: Final = HEADERS.request_id
DEADLINE_HEADER: Final = HEADERS.deadline
RECEIPT_HEADER: Final = HEADERS.receipt
NOT_RUN_HEADER: Final = HEADERS.not_run
SETTINGS_VARIABLE: Final = 'IBISJUNCTION_SETTINGS'
UPDATE_PATH: Final = '/Config.Update'
DESCRIBE_PATH: Final = '/Config.Describe'
READINESS_PATH: Final = '/readiness'
HEALTH_PATH: Final = '/health'
#: Host of the requests of :class:`ibisjunction.bench.caller.CallerConnection`.
_HOST: Final = 'system'
_SERVICE: Final = 'service-1'
#: Ports of all processes, below those of outgoing connections. Each process has
#: an address of its own.
_INTERNAL_PORTS: Final = (12_000, 12_001)
CONTROL_PORT: Final = 12_002
CALLER_PORT: Final = 12_003
READINESS_PORT: Final = 12_004


@dataclass(frozen=True, slots=True)
class ProcessSettings:
    """What a stand-in of the platform tells a process at its start."""

    name: str
    is_control: bool
    host: str
    seeds: tuple[str, ...]
    is_first_start: bool
    tolerated_losses: int
    link_mbps: int
    check_in_ms: int
    grace_ms: int


def format_settings(settings: ProcessSettings, folder: Path) -> str:
    """Return the settings file of a process."""
    host = settings.host
    bind = (
        {'ControlPlane': f'{host}:{CONTROL_PORT}'}
        if settings.is_control
        else {
            'Frontend': f'{host}:{CALLER_PORT}',
            'Readiness': f'{host}:{READINESS_PORT}',
        }
    )
    data_folder = str(folder / settings.name) if settings.is_control else ''
    tables: dict[str, dict[str, Any]] = {
        'Self': {
            'Ip': host,
            'Zone': 'zone-a',
            'Bootstrap': settings.is_first_start,
            'DataDir': data_folder,
        },
        'Self.Limits': {'LinkMbps': settings.link_mbps, 'MemoryMb': 300},
        'Network': {
            'InternalPortRange': _INTERNAL_PORTS,
            'SeedNodes': [f'{seed}:{CONTROL_PORT}' for seed in settings.seeds],
        },
        'Network.BindAddresses': bind,
        'Platform': {'HeartbeatIntervalS': settings.check_in_ms / MS_PER_S},
        'Terms.FaultTolerance': {'Machines': settings.tolerated_losses},
        'Terms.Bounds': {'GracePeriodS': settings.grace_ms / MS_PER_S},
    }
    # Values of JSON without null and objects are values of TOML.
    return '\n'.join(
        f'[{table}]\n'
        + '\n'.join(f'{key} = {json.dumps(fields[key])}' for key in fields)
        for table, fields in tables.items()
    )


def make_update(number: int, timeout_ms: int, limits: Limits) -> dict[str, Any]:
    """Return a change that sets all items; numbers of changes must grow."""
    version = f'r{number}'
    routes = [
        {
            'Name': kind.value,
            'Host': _HOST,
            'PathPrefix': f'/{kind.value}/',
            'Type': kind.value,
            'TimeoutS': timeout_ms / MS_PER_S,
            'TargetLatencyS': timeout_ms / MS_PER_S,
            'Priority': 0,
            'MaxAttempts': 2,
            'Service': _SERVICE,
            'Version': version,
        }
        for kind in RequestKind
    ]
    service = {
        'Name': _SERVICE,
        'HealthCheckPath': HEALTH_PATH,
        'MaxConnections': 200,
        'Protocol': 'h1',
        'Tls': False,
        'Version': version,
    }
    limits_item = {
        'MaxHeaderBytes': limits.max_header_bytes,
        'MaxBodyBytes': limits.max_body_bytes,
        'HeaderTimeoutS': limits.header_timeout_ms / MS_PER_S,
        'IdleTimeoutS': limits.idle_timeout_ms / MS_PER_S,
        'Version': version,
    }
    return {
        'Upsert': {
            'Routes': _make_table(routes),
            'Services': _make_table([service]),
            'Limits': limits_item,
        },
        'Remove': {},
    }


def make_check_in(
    address: str, born: int, number: int, slots: int, *, is_leaving: bool
) -> dict[str, Any]:
    """Return the body of a check-in."""
    return {
        'Address': address,
        'Info': {
            'Service': _SERVICE,
            'Version': 'v1',
            'Zone': 'zone-a',
            'Capacity': slots,
        },
        'Status': {
            'State': 'draining' if is_leaving else 'ready',
            'SequenceNumber': number,
            'ColdRemainingS': 0,
        },
        'born': born,
    }


def format_check_in_path(upstream: str) -> str:
    """Return the path of the check-ins of an upstream."""
    return f'/Instances.Heartbeat/{upstream}'


def format_departure_path(upstream: str) -> str:
    """Return the path on which an upstream that has left is removed."""
    return f'/Instances.Deregister/{upstream}'


def _make_table(rows: list[dict[str, Any]]) -> dict[str, Any]:
    return {
        'Columns': list(rows[0]),
        'Rows': [list(row.values()) for row in rows],
    }
