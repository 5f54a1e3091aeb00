"""The machines of a soak and what happens to them at which time."""

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
_FOUNDERS: Final = 3
_ENTRY_VMS: Final = 4
_UPSTREAMS: Final = 6
_REQUESTS_PER_REPORT: Final = 8


@dataclass(frozen=True, slots=True, order=True)
class _Planned:
    at_ms: int
    number: int
    act: Callable[[], None] = field(compare=False)


@dataclass(slots=True)
class Fleet:
    """All machines; ``hot_key`` has half of the requests."""

    seed: int
    folder: Path
    network: Network = field(init=False)
    control: list[ControlVm] = field(default_factory=list)
    entries: list[EntryVm] = field(default_factory=list)
    upstreams: list[SimulatedUpstream] = field(default_factory=list)
    hot_key: int = 0
    _planned: list[_Planned] = field(default_factory=list)
    _plans: int = 0

    def __post_init__(self) -> None:
        """Make the machines; the first three control VMs are the seeds."""
        self.network = Network(self.seed)
        addresses = tuple(
            Address(f'10.0.0.{number}', CONTROL_PORT)
            for number in range(1, _CONTROL_VMS + 1)
        )
        seeds = addresses[:_FOUNDERS]
        self.control.extend(
            ControlVm(
                make_settings(address, seeds),
                self.network,
                self.folder / address.host,
            )
            for address in addresses
        )
        names = tuple(str(seed) for seed in seeds)
        for number in range(_ENTRY_VMS):
            name = f'10.0.1.{number}:7001'
            entry = EntryVm(name, names, self.network, self._take_loads)
            self.entries.append(entry)
        for number in range(_UPSTREAMS):
            self.add_upstream(f'u{number}')

    @property
    def generator(self) -> random.Random:
        """What decides on chance in this run."""
        return self.network.generator

    @property
    def vms(self) -> list[str]:
        """The names of all control and entry VMs."""
        return [
            *(vm.name for vm in self.control),
            *(vm.name for vm in self.entries),
        ]

    def start(self) -> None:
        """Start all processes."""
        for vm in self.control:
            vm.start()
        for entry in self.entries:
            entry.start()

    def add_upstream(self, name: str) -> None:
        """Start a process of an upstream."""
        born = self.network.now + 1
        control = [vm.name for vm in self.control]
        upstream = SimulatedUpstream(name, born, self.network, control)
        self.upstreams.append(upstream)

    def list_alive(self) -> list[SimulatedUpstream]:
        """Return the upstreams that run."""
        return [one for one in self.upstreams if one.is_alive]

    def plan(self, delay_ms: int, act: Callable[[], None]) -> None:
        """Plan what happens after a time."""
        self._plans += 1
        at_ms = self.network.now + delay_ms
        self._planned.append(_Planned(at_ms, self._plans, act))

    def do_planned(self) -> None:
        """Do what is due, in its order."""
        now = self.network.now
        due = sorted(one for one in self._planned if one.at_ms <= now)
        self._planned = [one for one in self._planned if one.at_ms > now]
        for one in due:
            one.act()

    def _take_loads(self) -> tuple[KeyLoad, ...]:
        requests: dict[int, int] = {}
        for number in range(_REQUESTS_PER_REPORT):
            key = self.generator.randint(0, LAST_KEY)
            key = self.hot_key if number % 2 else key
            bucket = key // BUCKET_KEYS
            requests[bucket] = requests.get(bucket, 0) + 1
        return (KeyLoad(SERVICE, requests),)
