"""Simulated control and entry VMs, which run the product's own tasks."""

import asyncio
import contextlib
import random
import shutil
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace
from typing import Any, Final

from ibisjunction.bench.soak.network import Network, Peers
from ibisjunction.control.effects import Tick
from ibisjunction.coordination.loads import KeyLoad, UpstreamSpeed
from ibisjunction.coordination.task import FleetTask, ReplicaOptions
from ibisjunction.entry.budget import BudgetTerms
from ibisjunction.entry.membership import EntryMembership
from ibisjunction.entry.view import FleetView
from ibisjunction.fleet.model import FleetState
from ibisjunction.mailbox import Mailbox
from ibisjunction.membership.leases import VmLease
from ibisjunction.membership.task import HeartbeatDue
from ibisjunction.nodes.control import open_replica
from ibisjunction.nodes.settings import CLOCK_ERROR, NodeSettings
from ibisjunction.settings import Address

CONTROL_PORT: Final = 7000
TICK_MS: Final = 20
HEARTBEAT_MS: Final = 200
#: Requests may go to an upstream this long after its departure was confirmed,
#: and items of before a confirmation may be followed as long.
DRAIN_MS: Final = 2000
CHECK_IN_MS: Final = 1000
_HOLD_MAX_MS: Final = 9000
_GRACE_MS: Final = 6000
_BUDGET_WINDOW_MS: Final = 10_000


class VmClock:
    """A machine's clock, which runs a little fast or slow."""

    def __init__(self, network: Network, rate: float) -> None:
        """Start with the observer's time."""
        self._network = network
        self._rate = rate

    def now(self) -> int:
        """Return the machine's time in milliseconds."""
        return round(self._network.now * self._rate)


def make_settings(vm: Address, seeds: tuple[Address, ...]) -> NodeSettings:
    """Return the settings of a control VM; two disks may be lost at once."""
    return NodeSettings(
        vm=vm,
        failure_domain='a',
        seeds=seeds,
        is_first_start=True,
        data_folder=None,
        check_in_ms=CHECK_IN_MS,
        drain_ms=DRAIN_MS,
        hold_max_ms=_HOLD_MAX_MS,
        grace_ms=_GRACE_MS,
        tolerated_losses=2,
        budget=BudgetTerms(0.1, 10, _BUDGET_WINDOW_MS),
    )


class ControlVm:
    """A control VM with its files; it can be killed and started again."""

    def __init__(
        self,
        settings: NodeSettings,
        network: Network,
        folder: Path,
    ) -> None:
        """Prepare the VM; :meth:`start` starts its process."""
        self.settings = settings
        self.name = str(settings.vm)
        self.task: FleetTask | None = None
        self._network = network
        self._folder = folder
        self._stack = contextlib.ExitStack()
        self.starts = 0

    def start(self) -> None:
        """Start a process on what the disk holds."""
        self.starts += 1
        settings = replace(
            self.settings,
            data_folder=self._folder,
            is_first_start=self.starts == 1,
        )
        self._folder.mkdir(exist_ok=True)
        opened = self._stack.enter_context(open_replica(settings))
        self.task = FleetTask(
            ReplicaOptions(
                self.name,
                f'{self.name}.{self.starts}',
                settings.seed_names,
                settings.election,
                settings.timing,
            ),
            VmClock(self._network, 1),
            Peers(self._network, self.name),
            replace(opened, run_blocking=_run_now),
            random.Random(f'{self.name}.{self.starts}'),
        )
        storage = asyncio.create_task(self.task.log.storage.run())
        self._stack.callback(storage.cancel)
        self._network.machines[self.name] = self

    def kill(self, *, loses_disk: bool) -> None:
        """End the process at once."""
        self._network.machines.pop(self.name, None)
        self.task = None
        self._stack.close()
        if loses_disk:
            shutil.rmtree(self._folder)

    def take(self, message: object) -> None:
        """Process a message of another machine or a call."""
        if self.task is not None:
            self.task.handle(message)

    def tick(self) -> None:
        """Do what is due, and what the disk has finished."""
        if self.task is None or self._network.is_frozen(self.name):
            return
        self.task.handle(Tick())
        for message in self.task.mailbox.take_queued():
            self.task.handle(message)


class EntryVm:
    """An entry VM without its front end: its lease and its view count."""

    def __init__(
        self,
        name: str,
        seeds: tuple[str, ...],
        network: Network,
        take_loads: Callable[[], tuple[KeyLoad, ...]],
    ) -> None:
        """Prepare the VM; :meth:`start` starts its process."""
        self.name = name
        self.lease = VmLease(0, CLOCK_ERROR)
        self.view: FleetView | None = None
        self._seeds = seeds
        self._network = network
        self._take_loads = take_loads
        self.starts = 0
        self._membership: EntryMembership | None = None
        rate = 1 + network.generator.uniform(-CLOCK_ERROR, CLOCK_ERROR) / 2
        self._clock = VmClock(network, rate)

    @property
    def state(self) -> FleetState | None:
        """The state that the VM acts on; none while it may not act."""
        if self.view is None or not self.lease.is_held(self._clock.now()):
            return None
        return self.view.state

    def start(self) -> None:
        """Start a process, which knows nothing of before."""
        self.starts += 1
        self.lease = VmLease(self.starts, CLOCK_ERROR)
        self.view = None
        desk: Any = self
        parts: Any = SimpleNamespace(
            lease=self.lease,
            budget=SimpleNamespace(vms=1),
            tickets=Mailbox(),
        )
        self._membership = EntryMembership(
            self.name,
            self.starts,
            self._seeds,
            self._clock,
            Peers(self._network, self.name),
            desk,
            parts,
        )
        self._network.machines[self.name] = self

    def kill(self) -> None:
        """End the process at once."""
        self._network.machines.pop(self.name, None)
        self._membership = None
        self.view = None

    def take(self, message: object) -> None:
        """Process a message of another machine."""
        if self._membership is not None:
            self._membership.handle(message)

    def tick(self) -> None:
        """Send a heartbeat."""
        if not self._network.is_frozen(self.name):
            self.take(HeartbeatDue())

    def update_view(self, view: FleetView) -> None:
        """Take a new state of the fleet, as the front end does."""
        self.view = view

    def take_loads(self) -> tuple[KeyLoad, ...]:
        """Return the load since the last report."""
        return self._take_loads()

    def take_speeds(self) -> tuple[UpstreamSpeed, ...]:
        """Report no speeds: upstreams count by their slots."""
        return ()


async def _run_now(function: Callable[..., Any], *arguments: Any) -> Any:
    """Write at once instead of in a thread, so that runs repeat."""
    return function(*arguments)
