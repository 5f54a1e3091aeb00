"""What a leader holds, sends and resends to entry VMs on slow links.

The leader's own parts run on simulated time: leases, distribution and links.
Each VM has a link of 1 Mbit/s, half of a small machine's, and one in twenty is
down. Entries are committed all the time, and a change of many routes in the
middle.
"""

import heapq
import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import IO, Any, Final

from ibisjunction.bench.report import format_table
from ibisjunction.byte_budget import ByteBudget
from ibisjunction.catalogue.model import (
    Item,
    ItemType,
    ItemUpdate,
    RequestKind,
    Route,
    Target,
)
from ibisjunction.clock import MS_PER_S
from ibisjunction.control.messages import CommittedEntries, StateSnapshot
from ibisjunction.control.protocol import Entry, Snapshot
from ibisjunction.control.replica_log import ReplicaLog
from ibisjunction.control.subscribers import Subscribers
from ibisjunction.coordination.coordinator import MAX_HEARTBEATS_PER_S
from ibisjunction.coordination.task import MAX_UPDATES_PER_S
from ibisjunction.entry.following.heartbeats import HeartbeatSchedule
from ibisjunction.fleet.codec import encode_fleet, encode_fleet_command
from ibisjunction.fleet.commands import AssignShards, UpdateItems
from ibisjunction.fleet.model import (
    FleetState,
    Shard,
    Upstream,
    list_first_keys,
)
from ibisjunction.membership.leases import LeaseTable, digest_vms
from ibisjunction.membership.messages import Heartbeat, LeaseRenewal
from ibisjunction.peers.codec import Codec
from ibisjunction.peers.delivery import (
    ACK_DELAY_MS,
    MAX_IN_FLIGHT_BYTES,
    PART_BYTES,
    NumberedMessage,
    OutboundLink,
)

_LINK_BYTES_PER_MS: Final = 125
_DOWN_EVERY: Final = 20
_LEASE_MS: Final = 5000
_STEP_MS: Final = 20
_COMMIT_INTERVAL_MS: Final = 50
_DOWN_MS: Final = 3000
_CHANGE_MS: Final = 5000
_END_MS: Final = 15_000
_ROUTES: Final = 1000
_SHARDS_PER_UPSTREAM: Final = 9
#: Shards that each committed entry assigns.
_MOVED_SHARDS: Final = 8
#: Entry VMs, upstreams and routes before the change. The first rows differ in
#: VMs only, the last ones in upstreams, shards and routes only.
_SIZES: Final = (
    (20, 200, 400),
    (80, 200, 400),
    (320, 200, 400),
    (1280, 200, 400),
    (80, 50, 100),
    (80, 800, 1600),
)
_KIB: Final = 1024


@dataclass(slots=True)
class _Vm:
    """An entry VM behind a slow link; ``index`` is what it has applied."""

    name: str
    is_down: bool
    outbound: OutboundLink
    index: int = 0
    link_free_ms: float = 0
    vms: tuple[str, ...] = ()
    schedule: HeartbeatSchedule = field(default_factory=HeartbeatSchedule)


@dataclass(slots=True)
class Figures:
    """What was measured; sizes are in bytes."""

    vms: int
    upstreams: int
    state_size: int = 0
    held: int = 0
    in_flight: int = 0
    sent: int = 0
    sent_at_most_per_s: int = 0
    resent: int = 0
    messages: int = 0
    change_ms: int = 0


class _Fleet:
    """The network of a leader and its entry VMs, in simulated time."""

    def __init__(self, vm_count: int, upstream_count: int) -> None:
        self.now = 0
        self.budget = ByteBudget(MAX_IN_FLIGHT_BYTES)
        self.figures = Figures(vm_count, upstream_count)
        self.vms = {
            f'10.0.{number}': _Vm(
                f'10.0.{number}',
                number % _DOWN_EVERY == 1,
                OutboundLink(self.budget),
            )
            for number in range(vm_count)
        }
        self._codec = Codec((CommittedEntries, StateSnapshot, LeaseRenewal))
        self._messages: dict[tuple[str, int], Any] = {}
        self._arrivals: list[tuple[float, int, str, NumberedMessage]] = []
        self._numbers = itertools.count()
        self._payloads: dict[int, tuple[bytes, int]] = {}
        self._sent_by_second: dict[int, int] = {}

    def send(self, name: str, message: object) -> None:
        """Send a message of the leader to a VM."""
        vm = self.vms[name]
        payload = self._codec.encode(message)
        vm.outbound.append(payload, self.now)
        self._messages[(name, vm.outbound.last_sequence)] = message
        self.figures.messages += 1
        self.transmit(vm, vm.outbound.take_sendable(self.now))

    def transmit(self, vm: _Vm, messages: list[NumberedMessage]) -> None:
        """Put messages on the link of a VM."""
        for message in messages:
            size = len(message.payload)
            second = self.now // MS_PER_S
            self.figures.sent += size
            self._sent_by_second[second] = (
                self._sent_by_second.get(second, 0) + size
            )
            start_ms = max(vm.link_free_ms, self.now)
            vm.link_free_ms = start_ms + size / _LINK_BYTES_PER_MS
            if not self.is_down(vm):
                arrival = (vm.link_free_ms, next(self._numbers))
                heapq.heappush(self._arrivals, (*arrival, vm.name, message))

    def is_down(self, vm: _Vm) -> bool:
        """Return whether a VM has failed by now."""
        return vm.is_down and self.now >= _DOWN_MS

    def resend(self, vm: _Vm) -> None:
        """Resend what a VM does not acknowledge."""
        vm.outbound.discard_undeliverable(self.now)
        resends = vm.outbound.take_resends(self.now)
        self.figures.resent += sum(len(entry.payload) for entry in resends)
        self.transmit(vm, resends)
        self.transmit(vm, vm.outbound.take_sendable(self.now))

    def deliver(self) -> Iterator[tuple[_Vm, Any]]:
        """Yield the messages that arrive by now, and acknowledge them."""
        while self._arrivals and self._arrivals[0][0] <= self.now:
            _, _, name, part = heapq.heappop(self._arrivals)
            vm = self.vms[name]
            delay_ms = 0 if len(part.payload) >= PART_BYTES else ACK_DELAY_MS
            vm.outbound.acknowledge(part.sequence, self.now + delay_ms)
            message = self._messages.pop((name, part.sequence), None)
            if message is not None:
                yield vm, message

    def record(self) -> None:
        """Record what the leader holds; a shared payload counts once."""
        payloads = {
            identity: size
            for vm in self.vms.values()
            for identity, size in vm.outbound.list_payloads()
        }
        held = sum(payloads.values())
        figures = self.figures
        figures.held = max(figures.held, held)
        figures.in_flight = max(figures.in_flight, self.budget.used)
        figures.sent_at_most_per_s = max(
            self._sent_by_second.values(), default=0
        )


def _make_state(upstream_count: int, route_count: int) -> FleetState:
    upstreams = {
        f'i-{number:010x}': Upstream(
            f'i-{number:010x}', 1, 'reads', f'10.1.{number}:80', 'a', 3
        )
        for number in range(upstream_count)
    }
    firsts = list_first_keys(upstream_count * _SHARDS_PER_UPSTREAM)
    names = list(upstreams)
    shards = tuple(
        Shard(first, first + 7, names[number % upstream_count], 1, number)
        for number, first in enumerate(firsts)
    )
    state = FleetState(upstreams=upstreams, shards={'reads': shards})
    catalogue, _ = state.catalogue.apply(_make_update(0, route_count))
    return FleetState(catalogue, upstreams, state.shards)


def _make_update(first: int, count: int) -> ItemUpdate:
    items = []
    for number in range(first, first + count):
        host = f'host-{number}.example'
        route = Route(
            host, '/a/', RequestKind.SAFE, 1000, 1000, 0, 2, (Target('', 1),)
        )
        document = f'{{"Name": "r-{number}", "Host": "{host}"}}'
        items.append(
            Item(ItemType.ROUTE, f'r-{number}', 3, document, route=route)
        )
    return ItemUpdate(tuple(items))


class _Leader:
    """A leader that commits entries at a steady rate."""

    def __init__(self, fleet: _Fleet, state: FleetState) -> None:
        self._fleet = fleet
        self._state = state
        encoded = encode_fleet(state)
        fleet.figures.state_size = len(encoded)
        self.leases = LeaseTable(_LEASE_MS, 0, 0, MAX_HEARTBEATS_PER_S)
        network: Any = fleet
        self.subscribers = Subscribers(
            network, self.leases, encode_fleet, MAX_UPDATES_PER_S
        )
        self.log = ReplicaLog(Snapshot(1, 1, (), encoded), ())
        self.change_index = 0

    def commit(self, now: int) -> None:
        """Commit an assignment of keys, or once a change of many routes."""
        names = list(self._state.upstreams)
        upstream = names[now % len(names)]
        firsts = tuple(list_first_keys(_MOVED_SHARDS))
        command: Any = AssignShards('reads', upstream, 1, firsts)
        is_change = now >= _CHANGE_MS and not self.change_index
        if is_change:
            command = UpdateItems(_make_update(10**6, _ROUTES))
            self.change_index = self.log.last_index + 1
        entry = Entry(1, '', encode_fleet_command(command))
        first = self.log.last_index + 1
        self.log.replace_from(first, (entry,))
        self.subscribers.add_entries(first, (entry,))
        self.subscribers.push(now, awaited_index=self.change_index)

    def handle_heartbeat(self, heartbeat: Heartbeat, now: int) -> None:
        """Renew a lease, and send what the VM misses."""
        index = self.log.last_index
        self.subscribers.renew_lease(heartbeat, now, 1, index)
        self.subscribers.send_missing(
            heartbeat, self.log, index, self._state, now
        )


def measure(vm_count: int, upstream_count: int, route_count: int) -> Figures:
    """Run a leader with entry VMs for some simulated seconds."""
    fleet = _Fleet(vm_count, upstream_count)
    leader = _Leader(fleet, _make_state(upstream_count, route_count))
    for now in range(0, _END_MS, _STEP_MS):
        fleet.now = now
        if now % _COMMIT_INTERVAL_MS < _STEP_MS:
            leader.commit(now)
        leader.subscribers.push(now)
        _run_vms(fleet, leader, now)
        fleet.record()
        _record_change(fleet, leader, now)
    return fleet.figures


def _run_vms(fleet: _Fleet, leader: _Leader, now: int) -> None:
    """Let the VMs apply what has arrived, and send heartbeats that are due."""
    for vm, message in fleet.deliver():
        _apply(vm, message)
    for machine in fleet.vms.values():
        fleet.resend(machine)
        if machine.schedule.is_due(now) and not fleet.is_down(machine):
            machine.schedule.record_sent(now)
            leader.handle_heartbeat(_make_heartbeat(machine, now), now)


def _make_heartbeat(vm: _Vm, now: int) -> Heartbeat:
    digest = digest_vms(vm.vms, tuple(1 for _ in vm.vms))
    return Heartbeat(vm.name, 1, now, vm.index, 0, vms_digest=digest)


def _apply(vm: _Vm, message: Any) -> None:
    """Apply a message of the leader as an entry VM does."""
    match message:
        case LeaseRenewal(vms=vms, heartbeat_ms=interval_ms):
            vm.vms = vm.vms if vms is None else vms
            vm.schedule.set_interval(interval_ms)
        case StateSnapshot(index=index):
            vm.index = max(vm.index, index)
        case CommittedEntries(first_index=first, commands=commands):
            if first <= vm.index + 1:
                vm.index = max(vm.index, first + len(commands) - 1)
            if message.wants_report:
                vm.schedule.request_report()


def _record_change(fleet: _Fleet, leader: _Leader, now: int) -> None:
    """Record when all VMs that run have the change."""
    running = [vm for vm in fleet.vms.values() if not fleet.is_down(vm)]
    is_missing = any(vm.index < leader.change_index for vm in running)
    if leader.change_index and is_missing:
        fleet.figures.change_ms = now - _CHANGE_MS + _STEP_MS


def report_distribution(output: IO[str]) -> int:
    """Print a table of what a leader holds, sends and resends."""
    header = (
        'entry VMs',
        'upstreams',
        'shards',
        'state KiB',
        'held KiB',
        'in flight KiB',
        'sent KiB',
        'most in 1 s, KiB',
        'resent KiB',
        'messages',
        'change applied, ms',
    )
    rows = (_format(measure(*size)) for size in _SIZES)
    for line in format_table(header, rows):
        output.write(f'{line}\n')
    return 0


def _format(figures: Figures) -> tuple[str, ...]:
    counts = (
        figures.vms,
        figures.upstreams,
        figures.upstreams * _SHARDS_PER_UPSTREAM,
    )
    sizes = (
        figures.state_size,
        figures.held,
        figures.in_flight,
        figures.sent,
        figures.sent_at_most_per_s,
        figures.resent,
    )
    cells = [str(count) for count in counts]
    cells += [f'{size / _KIB:,.0f}' for size in sizes]
    return (*cells, str(figures.messages), str(figures.change_ms))
