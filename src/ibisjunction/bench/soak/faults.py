"""Injects random faults into the simulated fleet of a soak."""

import functools
from dataclasses import dataclass
from typing import Final

from ibisjunction.bench.soak.fleet import Fleet
from ibisjunction.bench.soak.network import Link

_INTERVAL_RANGE_MS: Final = (300, 3000)
_DURATION_RANGE_MS: Final = (200, 9000)
#: Limit of the disks lost in one run. The settings tolerate two lost at once,
#: and other faults decide whether a lost disk is replaced before the next loss.
_MAX_LOST_DISKS: Final = 2
#: A draining upstream stops this long after it began to drain.
_DRAIN_TO_STOP_MS: Final = 15_000


@dataclass(slots=True)
class FaultInjector:
    """Injects faults at random times; each ends after a random time.

    ``count`` is the number of faults so far.
    """

    _fleet: Fleet
    count: int = 0
    _lost_disks: int = 0

    def inject_until(self, end_ms: int) -> None:
        """Inject a fault now and others later, until ``end_ms``.

        All end by then, except that a replaced upstream may still drain.
        """
        remaining_ms = end_ms - self._fleet.network.now
        if remaining_ms <= 0:
            return
        self.count += 1
        duration_ms = min(
            self._fleet.rng.randint(*_DURATION_RANGE_MS), remaining_ms
        )
        fault = self._fleet.rng.choice(
            (
                self._cut_entries,
                self._cut_control,
                self._cut_one_way,
                self._cut_upstreams,
                self._freeze,
                self._kill_control,
                self._lose_disk,
                self._restart_entry,
                self._crash_upstream,
                self._replace_upstream,
            ),
        )
        fault(duration_ms)
        delay_ms = self._fleet.rng.randint(*_INTERVAL_RANGE_MS)
        self._fleet.schedule(
            delay_ms, functools.partial(self.inject_until, end_ms)
        )

    def _cut(self, links: list[Link], duration_ms: int) -> None:
        self._fleet.network.cut(links)
        heal = functools.partial(self._fleet.network.heal, links)
        self._fleet.schedule(duration_ms, heal)

    def _cut_entries(self, duration_ms: int) -> None:
        """Cut the links between some entry VMs and all control VMs."""
        rng = self._fleet.rng
        count = rng.randint(1, len(self._fleet.entry_vms) - 1)
        chosen = rng.sample(self._fleet.entry_vms, count)
        links = _make_two_way_links(
            [entry.name for entry in chosen],
            [vm.name for vm in self._fleet.control_vms],
        )
        self._cut(links, duration_ms)

    def _cut_control(self, duration_ms: int) -> None:
        """Cut the links between one or two control VMs and all other VMs."""
        rng = self._fleet.rng
        chosen = rng.sample(self._fleet.control_vms, rng.randint(1, 2))
        names = [vm.name for vm in chosen]
        other_names = [
            name for name in self._fleet.vm_names if name not in names
        ]
        self._cut(_make_two_way_links(names, other_names), duration_ms)

    def _cut_one_way(self, duration_ms: int) -> None:
        """Cut the link between two VMs in one direction."""
        sender, recipient = self._fleet.rng.sample(self._fleet.vm_names, 2)
        self._cut([(sender, recipient)], duration_ms)

    def _cut_upstreams(self, duration_ms: int) -> None:
        """Cut the links from one or two upstreams to all control VMs."""
        rng = self._fleet.rng
        alive = self._fleet.list_alive_upstreams()
        chosen = rng.sample(alive, min(2, len(alive)))
        names = [upstream.process for upstream in chosen]
        control_names = [vm.name for vm in self._fleet.control_vms]
        self._cut(
            [
                (name, control_name)
                for name in names
                for control_name in control_names
            ],
            duration_ms,
        )

    def _freeze(self, duration_ms: int) -> None:
        """Freeze one VM: it handles neither messages nor timers."""
        name = self._fleet.rng.choice(self._fleet.vm_names)
        self._fleet.network.frozen_until_ms[name] = (
            self._fleet.network.now + duration_ms
        )

    def _kill_control(self, duration_ms: int) -> None:
        vm = self._fleet.rng.choice(self._fleet.control_vms)
        if vm.task is not None:
            vm.kill(loses_disk=False)
            self._fleet.schedule(duration_ms, vm.start)

    def _lose_disk(self, duration_ms: int) -> None:
        """Kill a control VM, and later start it with an empty disk."""
        vm = self._fleet.rng.choice(self._fleet.control_vms)
        if vm.task is None or self._lost_disks >= _MAX_LOST_DISKS:
            return
        self._lost_disks += 1
        vm.kill(loses_disk=True)
        self._fleet.schedule(duration_ms, vm.start)

    def _restart_entry(self, duration_ms: int) -> None:
        entry = self._fleet.rng.choice(self._fleet.entry_vms)
        entry.kill()
        self._fleet.schedule(duration_ms, entry.start)

    def _crash_upstream(self, duration_ms: int) -> None:
        """Crash an upstream, and later start a process of the same name."""
        alive = self._fleet.list_alive_upstreams()
        if not alive:
            return
        upstream = self._fleet.rng.choice(alive)
        upstream.stop()
        self._fleet.schedule(
            duration_ms,
            functools.partial(self._fleet.add_upstream, upstream.name),
        )

    def _replace_upstream(self, _duration_ms: int) -> None:
        """Drain an upstream and start another one at once."""
        alive = [
            candidate
            for candidate in self._fleet.list_alive_upstreams()
            if not candidate.is_draining
        ]
        if not alive:
            return
        upstream = self._fleet.rng.choice(alive)
        upstream.drain()
        self._fleet.add_upstream(f'u{len(self._fleet.upstreams)}')
        self._fleet.schedule(_DRAIN_TO_STOP_MS, upstream.stop)


def _make_two_way_links(names: list[str], others: list[str]) -> list[Link]:
    forward = [(name, other) for name in names for other in others]
    return forward + [(other, name) for name, other in forward]
