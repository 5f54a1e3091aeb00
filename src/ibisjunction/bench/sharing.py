"""Compares one dispatcher per upstream with VMs that divide its slots.

Ten VMs get the same arrivals. With time slices, each VM in turn uses all
slots for one slice. With lending, a VM keeps a slot for a few requests and
then passes it to the next VM that has work. Only the line "with messages"
includes the travel time of messages; messages about lent slots take none.
"""

import itertools
from collections.abc import Iterator
from typing import IO, Final

from ibisjunction.bench.policy import (
    PolicyScenario,
    format_summary,
    make_arrivals,
    make_dispatcher,
    read_service,
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
#: A ticket and its return take 0.5 ms each, while the slot is unused.
_TICKET_ROUND_TRIP_MS: Final = 1
_END_MS: Final = 16_000
_UNLIMITED: Final = 1_000_000
#: Long enough for the rest of a running request and a few more.
_SLICE_MS: Final = 20
#: Requests that a VM runs on a slot before another VM gets the slot.
_REQUESTS_PER_LOAN: Final = 4
#: Load in percent of the capacity, for each rank in the order of ``Rank``.
_LOADS: Final = (
    ('ordinary load', 20, 30, 20),
    ('deferrable flood', 20, 20, 260),
    ('urgent flood', 260, 20, 20),
)
_PERCENT: Final = 100


class TimeSlicing:
    """Scheme in which each VM uses all slots during its time slice."""

    def __init__(self, spec: ServiceSpec) -> None:
        """Create a dispatcher for each VM."""
        self._dispatchers = _make_dispatchers(spec)

    def request(
        self,
        vm: str,
        request: TicketRequest,
        now: int,
    ) -> list[Effect]:
        """Queue the request at the VM that it arrived at."""
        effects = self.issue(now)
        return effects + self._dispatchers[vm].request(vm, request, now)

    def finish(self, done: TicketDone, now: int) -> list[Effect]:
        """Return a ticket; dispatchers that did not issue it ignore it."""
        effects = self.issue(now)
        for dispatcher in self._dispatchers.values():
            effects += dispatcher.finish(done, now)
        return effects

    def issue(self, now: int) -> list[Effect]:
        """Grant all slots to the VM of the present slice until its end."""
        slice_index = now // _SLICE_MS
        owner = self._dispatchers[_VMS[slice_index % len(_VMS)]]
        until_ms = (slice_index + 1) * _SLICE_MS
        fences = dict.fromkeys(range(_SHARDS), 1)
        effects: list[Effect] = []
        for dispatcher in self._dispatchers.values():
            end_ms = until_ms if dispatcher is owner else 0
            grants = GrantsInForce(UPSTREAM, 1, fences, end_ms)
            effects += dispatcher.set_confirmed_grants(grants, now)
        return effects


class SlotLending:
    """Scheme in which VMs lend each other whole slots.

    A slot is with one VM at a time, which issues tickets for it.
    """

    def __init__(self, spec: ServiceSpec) -> None:
        """Assign one slot to each of the first VMs."""
        self._dispatchers = _make_dispatchers(spec)
        self._rotation = itertools.cycle(_VMS)
        self._slots = dict.fromkeys(_VMS, 0)
        self._requests_since_loan = dict.fromkeys(_VMS, 0)
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
        """Queue the request at its VM and lend idle slots to VMs with work."""
        effects = self._dispatchers[vm].request(vm, request, now)
        return effects + self._lend_idle_slots(now)

    def finish(self, done: TicketDone, now: int) -> list[Effect]:
        """Return a ticket; lend a slot once the requests of a loan ended."""
        effects: list[Effect] = []
        for vm, dispatcher in self._dispatchers.items():
            if done.ticket_id in dispatcher.tickets:
                self._requests_since_loan[vm] += 1
                if (
                    self._requests_since_loan[vm]
                    >= _REQUESTS_PER_LOAN * self._slots[vm]
                ):
                    self._requests_since_loan[vm] = 0
                    self._lend_slot(vm)
                self._set_limit(vm)
                effects += dispatcher.finish(done, now)
        return effects + self._lend_idle_slots(now)

    def issue(self, now: int) -> list[Effect]:
        """Issue tickets and expire requests at every VM."""
        effects: list[Effect] = []
        for dispatcher in self._dispatchers.values():
            effects += dispatcher.issue(now)
        return effects + self._lend_idle_slots(now)

    def _lend_idle_slots(self, now: int) -> list[Effect]:
        """Lend the idle slots of VMs without work to VMs with work."""
        effects: list[Effect] = []
        for vm, dispatcher in self._dispatchers.items():
            idle = self._slots[vm] - len(dispatcher.tickets)
            if not dispatcher.queue:
                for _ in range(idle):
                    self._lend_slot(vm)
        for vm, dispatcher in self._dispatchers.items():
            self._set_limit(vm)
            effects += dispatcher.issue(now)
        return effects

    def _lend_slot(self, lender: str) -> None:
        """Lend a slot to the next VM that needs one, if there is one.

        A VM needs a slot if requests wait in its queue and its slots are used.
        """
        for borrower in itertools.islice(self._rotation, len(_VMS)):
            dispatcher = self._dispatchers[borrower]
            is_fully_used = self._slots[borrower] <= len(dispatcher.tickets)
            if dispatcher.queue and is_fully_used and borrower != lender:
                self._slots[lender] -= 1
                self._slots[borrower] += 1
                return

    def _set_limit(self, vm: str) -> None:
        count = self._slots[vm]
        self._dispatchers[vm].health.limit = AdaptiveLimit(count, count)


def _make_dispatchers(spec: ServiceSpec) -> dict[str, Dispatcher]:
    return {vm: make_dispatcher(spec, _SLOTS) for vm in _VMS}


def compare_sharing(seed: int, output: IO[str]) -> int:
    """Print the figures of each scheme, for 10 VMs and 3 slots."""
    spec = read_service('consorcio', 'mail-log')
    for name, *loads in _LOADS:
        fractions = [load / _PERCENT for load in loads]
        load_by_rank = dict(zip(Rank, fractions, strict=True))
        scenario = PolicyScenario(name, _SERVICE_MS, load_by_rank)
        output.write(f'{name}, 10 VMs, {_SLOTS} slots\n')
        for line in _compare(spec, scenario, seed):
            output.write(f'  {line}\n')
    return 0


def _compare(
    spec: ServiceSpec,
    scenario: PolicyScenario,
    seed: int,
) -> Iterator[str]:
    arrivals = make_arrivals(spec, scenario, _SLOTS / _SERVICE_MS, seed)
    for name, scheme, extra_ms in (
        ('one dispatcher', make_dispatcher(spec, _SLOTS), 0),
        ('with messages', make_dispatcher(spec, _SLOTS), _TICKET_ROUND_TRIP_MS),
        ('shares by time', TimeSlicing(spec), 0),
        ('shares by lending', SlotLending(spec), 0),
    ):
        phases = [UpstreamPhase(0, _SLOTS, _UNLIMITED, _SERVICE_MS + extra_ms)]
        replay = Replay(scheme, phases)
        ended = replay.run(arrivals, _END_MS)
        line = format_summary(name, spec, ended)
        yield f'{line}, at most {replay.peak_in_flight} at the upstream'
