"""The simulated machines of a soak, and actions scheduled on them."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

from ibisjunction.bench.soak.machines import (
    CONTROL_PORT,
    ControlVm,
    EntryVm,
    make_settings,
)
from ibisjunction.bench.soak.network import Network
from ibisjunction.bench.soak.upstreams import SERVICE, SimulatedUpstream
from ibisjunction.coordination.loads import KeyLoad
from ibisjunction.fleet.model import BUCKET_KEYS, LAST_KEY
from ibisjunction.settings import Address

_CONTROL_VMS: Final = 5
_SEED_VMS: Final = 3
_ENTRY_VMS: Final = 4
_UPSTREAMS: Final = 6
_REQUESTS_PER_REPORT: Final = 8


@dataclass(frozen=True, slots=True, order=True)
class _ScheduledAction:
    """An action; ``number`` orders those of the same time."""

    at_ms: int
    number: int
    callback: Callable[[], None] = field(compare=False)


@dataclass(slots=True)
class Fleet:
    """All machines of a run; ``hot_key`` receives half of the requests."""

    seed: int
    folder: Path
    network: Network = field(init=False)
    control_vms: list[ControlVm] = field(default_factory=list)
    entry_vms: list[EntryVm] = field(default_factory=list)
    upstreams: list[SimulatedUpstream] = field(default_factory=list)
    hot_key: int = 0
    _scheduled_actions: list[_ScheduledAction] = field(default_factory=list)
    _scheduled_count: int = 0

    def __post_init__(self) -> None:
        """Create the machines; the first three control VMs are the seeds."""
        self.network = Network(self.seed)
        addresses = tuple(
            Address(f'10.0.0.{number}', CONTROL_PORT)
            for number in range(1, _CONTROL_VMS + 1)
        )
        seed_addresses = addresses[:_SEED_VMS]
        self.control_vms.extend(
            ControlVm(
                make_settings(address, seed_addresses),
                self.network,
                self.folder / address.host,
            )
            for address in addresses
        )
        seed_names = tuple(str(seed) for seed in seed_addresses)
        for number in range(_ENTRY_VMS):
            name = f'10.0.1.{number}:7001'
            entry = EntryVm(
                name, seed_names, self.network, self._generate_loads
            )
            self.entry_vms.append(entry)
        for number in range(_UPSTREAMS):
            self.add_upstream(f'u{number}')

    @property
    def rng(self) -> random.Random:
        """The random number generator of this run."""
        return self.network.rng

    @property
    def vm_names(self) -> list[str]:
        """The names of all control and entry VMs."""
        return [
            *(vm.name for vm in self.control_vms),
            *(vm.name for vm in self.entry_vms),
        ]

    def start(self) -> None:
        """Start all processes."""
        for vm in self.control_vms:
            vm.start()
        for entry in self.entry_vms:
            entry.start()

    def add_upstream(self, name: str) -> None:
        """Start a process of an upstream."""
        born = self.network.now + 1
        control_names = [vm.name for vm in self.control_vms]
        upstream = SimulatedUpstream(name, born, self.network, control_names)
        self.upstreams.append(upstream)

    def list_alive_upstreams(self) -> list[SimulatedUpstream]:
        """Return the upstreams whose processes run."""
        return [upstream for upstream in self.upstreams if upstream.is_alive]

    def schedule(self, delay_ms: int, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay."""
        self._scheduled_count += 1
        at_ms = self.network.now + delay_ms
        self._scheduled_actions.append(
            _ScheduledAction(at_ms, self._scheduled_count, callback)
        )

    def run_due_actions(self) -> None:
        """Run the actions that are due, in the order of their times."""
        now = self.network.now
        due_actions = sorted(
            action for action in self._scheduled_actions if action.at_ms <= now
        )
        self._scheduled_actions = [
            action for action in self._scheduled_actions if action.at_ms > now
        ]
        for action in due_actions:
            action.callback()

    def _generate_loads(self) -> tuple[KeyLoad, ...]:
        requests_by_bucket: dict[int, int] = {}
        for number in range(_REQUESTS_PER_REPORT):
            key = self.rng.randint(0, LAST_KEY)
            key = self.hot_key if number % 2 else key
            bucket = key // BUCKET_KEYS
            requests_by_bucket[bucket] = requests_by_bucket.get(bucket, 0) + 1
        return (KeyLoad(SERVICE, requests_by_bucket),)
