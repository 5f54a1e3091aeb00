"""Plays faults on simulated machines and checks them all the time."""

import asyncio
import tempfile
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final, TextIO

from ibisjunction.bench.soak.checks import Checks
from ibisjunction.bench.soak.faults import Faults
from ibisjunction.bench.soak.fleet import Fleet
from ibisjunction.bench.soak.machines import HEARTBEAT_MS, TICK_MS
from ibisjunction.bench.soak.upstreams import SERVICE
from ibisjunction.catalogue.model import Item, ItemType, ItemUpdate, Service
from ibisjunction.clock import MS_PER_S
from ibisjunction.coordination.calls import CallAnswer, ChangeItems, Confirmed
from ibisjunction.coordination.messages import LocalCall
from ibisjunction.fleet.model import LAST_KEY, FleetState
from ibisjunction.mailbox import Mailbox

_SETTLE_MS: Final = 10_000
#: After the last fault, leases, holds and a lost voter take this long at most.
_RECOVER_MS: Final = 30_000
#: A planned move is over after this time.
_MOVE_MS: Final = 4000
_LOOK_MS: Final = 500
_ORDER_MS: Final = 1500
_HOT_KEY_MS: Final = 4000
#: Turns of the event loop in which a storage task does what it was handed.
_TURNS: Final = 3


@dataclass(frozen=True, slots=True)
class SoakResult:
    """What a run found; ``missing`` is what had not recovered at its end."""

    seed: int
    violations: tuple[str, ...]
    missing: tuple[str, ...]
    faults: int
    grants: int


@dataclass(frozen=True, slots=True)
class _Order:
    """An order of the operator that waits for its answer."""

    version: int
    reply: Mailbox[CallAnswer]


@dataclass(slots=True)
class Soak:
    """One run; operators publish, and the busy key changes meanwhile."""

    fleet: Fleet
    checks: Checks = field(default_factory=Checks)
    _orders: list[_Order] = field(default_factory=list)
    _version: int = 0

    async def play(self, duration_ms: int) -> SoakResult:
        """Play faults for a time, then let everything recover."""
        faults = Faults(self.fleet)
        self.fleet.start()
        self._order()
        self._change_hot_key()
        await self._run_until(_SETTLE_MS)
        faults.play(_SETTLE_MS + duration_ms)
        end_ms = _SETTLE_MS + duration_ms + _RECOVER_MS
        await self._run_until(end_ms)
        missing = set(self._list_missing())
        # A busy key keeps moves under way, so a shard may be free at any look.
        while self.fleet.network.now < end_ms + _MOVE_MS:
            await self._run_until(self.fleet.network.now + _LOOK_MS)
            missing.intersection_update(self._list_missing())
        return SoakResult(
            self.fleet.seed,
            tuple(self.checks.violations),
            tuple(sorted(missing)),
            faults.count,
            self._count_grants(),
        )

    async def _run_until(self, end_ms: int) -> None:
        network = self.fleet.network
        while network.now < end_ms:
            network.deliver(network.now + TICK_MS)
            self.fleet.do_planned()
            for vm in self.fleet.control:
                vm.tick()
            for _ in range(_TURNS):
                await asyncio.sleep(0)
            self._tick_others(network.now)
            self._look_for_answers(network.now)
            self.checks.look(
                self.fleet.upstreams,
                self.fleet.entries,
                network.now,
            )

    def _tick_others(self, now: int) -> None:
        for number, entry in enumerate(self.fleet.entries):
            if (now + number * TICK_MS) % HEARTBEAT_MS < TICK_MS:
                entry.tick()
        for upstream in self.fleet.upstreams:
            upstream.tick()

    def _order(self) -> None:
        self._version += 1
        item = Item(
            ItemType.SERVICE,
            SERVICE,
            self._version,
            '{}',
            service=Service('/health', 100, is_sharded=True, warmup_ms=0),
        )
        reply: Mailbox[CallAnswer] = Mailbox()
        call = LocalCall(ChangeItems(ItemUpdate((item,))), reply)
        self.fleet.generator.choice(self.fleet.control).take(call)
        self._orders.append(_Order(self._version, reply))
        self.fleet.plan(_ORDER_MS, self._order)

    def _look_for_answers(self, now: int) -> None:
        waiting = []
        for order in self._orders:
            answers = order.reply.take_queued()
            if not answers:
                waiting.append(order)
            elif isinstance(answers[0], Confirmed):
                self.checks.confirm(order.version, now)
        self._orders = waiting

    def _change_hot_key(self) -> None:
        self.fleet.hot_key = self.fleet.generator.randint(0, LAST_KEY)
        self.fleet.plan(_HOT_KEY_MS, self._change_hot_key)

    def _list_missing(self) -> Iterator[str]:
        """Yield what has not recovered."""
        for entry in self.fleet.entries:
            if entry.state is None:
                yield f'{entry.name} has no lease'
            else:
                for text in self._list_lacks(entry.state):
                    yield f'{entry.name} {text}'

    def _list_lacks(self, state: FleetState) -> Iterator[str]:
        newest = max(self.checks.confirmed, default=0)
        shards = state.shards.get(SERVICE, ())
        if not shards:
            yield 'knows no shards'
        for shard in shards:
            if not shard.owner:
                yield f'knows no owner of {shard.first}'
        if state.catalogue.services[SERVICE].version < newest:
            yield f'lacks version {newest}'

    def _count_grants(self) -> int:
        states = [entry.state for entry in self.fleet.entries]
        return max(
            (state.last_fence for state in states if state is not None),
            default=0,
        )


def run_soak(seed: int, duration_ms: int) -> SoakResult:
    """Play one seed and return what was found."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_play(seed, Path(folder), duration_ms))


async def _play(seed: int, folder: Path, duration_ms: int) -> SoakResult:
    fleet = Fleet(seed, folder)
    try:
        return await Soak(fleet).play(duration_ms)
    finally:
        for vm in fleet.control:
            vm.kill(loses_disk=False)


def run_soaks(
    first_seed: int,
    runs: int,
    duration_s: int,
    output: TextIO,
) -> int:
    """Play several seeds; return 1 if one broke a rule or did not recover."""
    is_clean = True
    for seed in range(first_seed, first_seed + runs):
        found = run_soak(seed, duration_s * MS_PER_S)
        output.write(
            f'seed {seed}: {found.faults} faults, {found.grants} grants,'
            f' {len(found.violations)} violations,'
            f' {len(found.missing)} not recovered\n',
        )
        output.flush()
        for text in (*found.violations, *found.missing):
            output.write(f'  {text}\n')
            is_clean = False
    return int(not is_clean)
