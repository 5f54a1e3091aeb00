"""Compares one dispatcher per upstream with VMs that share its slots.

Ten VMs get the same arrivals. Shared by time, each VM uses every slot for a
slice in turn. Shared by lending, a VM keeps a slot for a few requests and then
passes it to the next VM that has work. Only the line "with messages" counts
the time of messages; those of lending are free.
"""

import itertools
from collections.abc import Iterator
from typing import IO, Final

from ibisjunction.bench.policy import (
    Scenario,
    make_arrivals,
    make_dispatcher,
    read_service,
    summarize,
)
from ibisjunction.bench.replay import UPSTREAM, Replay, UpstreamPhase
from ibisjunction.dispatch.dispatcher import Dispatcher, Effect
from ibisjunction.dispatch.limits import AdaptiveLimit
from ibisjunction.dispatch.messages import (
    GrantsInForce,
    TicketDone,
    TicketRequest,
)
from ibisjunction.services.spec import Rank, ServiceSpec

_VMS: Final = tuple(f'vm-{number}' for number in range(10))
_SHARDS: Final = 64
_SLOTS: Final = 3
_SERVICE_MS: Final = 6
#: A ticket and its return travel 0.5 ms each, in which the slot is not used.
_MESSAGES_MS: Final = 1
_UNTIL_MS: Final = 16_000
_UNLIMITED: Final = 1_000_000
#: A slice fits the tail of a request and a few more.
_SLICE_MS: Final = 20
#: Requests that a VM runs on a slot before it passes the slot on.
_KEPT: Final = 4
_LOADS: Final = (
    ('ordinary load', 20, 30, 20),
    ('deferrable flood', 20, 20, 260),
    ('urgent flood', 260, 20, 20),
)
_PERCENT: Final = 100


class ByTime:
    """Each VM dispatches on all slots during its slice."""

    def __init__(self, spec: ServiceSpec) -> None:
        """Start with one dispatcher for each VM."""
        self._dispatchers = _make_dispatchers(spec)

    def request(
        self,
        vm: str,
        request: TicketRequest,
        now: int,
    ) -> list[Effect]:
        """Queue the request at its VM."""
        effects = self.issue(now)
        return effects + self._dispatchers[vm].request(vm, request, now)

    def finish(self, done: TicketDone, now: int) -> list[Effect]:
        """Free a slot; only the VM that has the ticket knows it."""
        effects = self.issue(now)
        for dispatcher in self._dispatchers.values():
            effects += dispatcher.finish(done, now)
        return effects

    def issue(self, now: int) -> list[Effect]:
        """Give the VM whose slice it is the slots until the slice ends."""
        turn = now // _SLICE_MS
        owner = self._dispatchers[_VMS[turn % len(_VMS)]]
        until_ms = (turn + 1) * _SLICE_MS
        fences = dict.fromkeys(range(_SHARDS), 1)
        effects: list[Effect] = []
        for dispatcher in self._dispatchers.values():
            end_ms = until_ms if dispatcher is owner else 0
            grants = GrantsInForce(UPSTREAM, 1, fences, end_ms)
            effects += dispatcher.set_confirmed_grants(grants, now)
        return effects


class ByLending:
    """Each slot belongs to one VM at a time."""

    def __init__(self, spec: ServiceSpec) -> None:
        """Start with the slots at the first VMs."""
        self._dispatchers = _make_dispatchers(spec)
        self._order = itertools.cycle(_VMS)
        self._slots = dict.fromkeys(_VMS, 0)
        self._uses = dict.fromkeys(_VMS, 0)
        for vm in _VMS[:_SLOTS]:
            self._slots[vm] = 1
        for vm in _VMS:
            self._set_limit(vm)

    def request(
        self,
        vm: str,
        request: TicketRequest,
        now: int,
    ) -> list[Effect]:
        """Queue the request at its VM, and ask others for a slot."""
        effects = self._dispatchers[vm].request(vm, request, now)
        return effects + self._lend_idle(now)

    def finish(self, done: TicketDone, now: int) -> list[Effect]:
        """Free a slot and pass it on after some requests."""
        effects: list[Effect] = []
        for vm, dispatcher in self._dispatchers.items():
            if done.ticket_id in dispatcher.tickets:
                self._uses[vm] += 1
                if self._uses[vm] >= _KEPT * self._slots[vm]:
                    self._uses[vm] = 0
                    self._pass_on(vm)
                self._set_limit(vm)
                effects += dispatcher.finish(done, now)
        return effects + self._lend_idle(now)

    def issue(self, now: int) -> list[Effect]:
        """Look at the clock at every VM."""
        effects: list[Effect] = []
        for dispatcher in self._dispatchers.values():
            effects += dispatcher.issue(now)
        return effects + self._lend_idle(now)

    def _lend_idle(self, now: int) -> list[Effect]:
        """Pass slots that nobody uses to VMs that have work."""
        effects: list[Effect] = []
        for vm, dispatcher in self._dispatchers.items():
            idle = self._slots[vm] - len(dispatcher.tickets)
            if not dispatcher.queue:
                for _ in range(idle):
                    self._pass_on(vm)
        for vm, dispatcher in self._dispatchers.items():
            self._set_limit(vm)
            effects += dispatcher.issue(now)
        return effects

    def _pass_on(self, vm: str) -> None:
        for other in itertools.islice(self._order, len(_VMS)):
            dispatcher = self._dispatchers[other]
            is_short = self._slots[other] <= len(dispatcher.tickets)
            if dispatcher.queue and is_short and other != vm:
                self._slots[vm] -= 1
                self._slots[other] += 1
                return

    def _set_limit(self, vm: str) -> None:
        count = self._slots[vm]
        self._dispatchers[vm].health.limit = AdaptiveLimit(count, count)


def _make_dispatchers(spec: ServiceSpec) -> dict[str, Dispatcher]:
    return {vm: make_dispatcher(spec, _SLOTS) for vm in _VMS}


def compare_sharing(seed: int, output: IO[str]) -> int:
    """Print the figures of each way, for 10 VMs and 3 slots."""
    spec = read_service('consorcio', 'mail-log')
    for name, *loads in _LOADS:
        parts = [load / _PERCENT for load in loads]
        load_by_rank = dict(zip(Rank, parts, strict=True))
        scenario = Scenario(name, _SERVICE_MS, load_by_rank)
        output.write(f'{name}, 10 VMs, {_SLOTS} slots\n')
        for line in _compare(spec, scenario, seed):
            output.write(f'  {line}\n')
    return 0


def _compare(
    spec: ServiceSpec,
    scenario: Scenario,
    seed: int,
) -> Iterator[str]:
    arrivals = make_arrivals(spec, scenario, _SLOTS / _SERVICE_MS, seed)
    for name, scheme, extra_ms in (
        ('one dispatcher', make_dispatcher(spec, _SLOTS), 0),
        ('with messages', make_dispatcher(spec, _SLOTS), _MESSAGES_MS),
        ('shares by time', ByTime(spec), 0),
        ('shares by lending', ByLending(spec), 0),
    ):
        phases = [UpstreamPhase(0, _SLOTS, _UNLIMITED, _SERVICE_MS + extra_ms)]
        replay = Replay(scheme, phases)
        ended = replay.run(arrivals, _UNTIL_MS)
        line = summarize(name, spec, ended)
        yield f'{line}, at most {replay.peak_in_flight} at the upstream'
