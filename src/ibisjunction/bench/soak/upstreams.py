"""Simulated upstreams, which check in and hold keys as the pages say."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Final

from ibisjunction.bench.soak.machines import CHECK_IN_MS
from ibisjunction.bench.soak.network import Network
from ibisjunction.coordination.calls import (
    CallAnswer,
    CheckedIn,
    CheckIn,
    FreedRange,
    GrantedRange,
    HeldRange,
)
from ibisjunction.coordination.messages import LocalCall
from ibisjunction.fleet.model import BUCKET_KEYS, LAST_KEY
from ibisjunction.mailbox import Mailbox

#: Keys are compared in the units in which shards are divided.
BUCKETS: Final = (LAST_KEY + 1) // BUCKET_KEYS
_NO_FENCES: Final = tuple(0 for _ in range(BUCKETS))
SERVICE: Final = 'reads'
#: An answer that takes longer is not used, and the next VM is called.
_ANSWER_MS: Final = 1000
#: Interval of check-ins while the upstream is told to give keys up.
_RELEASE_MS: Final = 100
#: A check-in in so many arrives late.
_LATE_ONE_IN: Final = 12
_LATE_MS: Final = 4000
_USUAL_MS: Final = 20
#: An upstream's clock may run this much slow while it counts a hold.
_SLOW: Final = 1.02


@dataclass(slots=True)
class Hold:
    """Keys that an upstream holds until a time of the observer."""

    first: int
    last: int
    fence: int
    until: int


@dataclass(slots=True)
class SimulatedUpstream:
    """One process of an upstream."""

    name: str
    born: int
    network: Network
    control: list[str]
    holds: list[Hold] = field(default_factory=list)
    is_alive: bool = True
    is_draining: bool = False
    drained_ms: int | None = None
    _sequence: int = 0
    _next_ms: int = 0
    _target: int = 0
    _sent_ms: int = 0
    _sent_freed: tuple[FreedRange, ...] = ()
    _sent_draining: bool = False
    _freed: list[FreedRange] = field(default_factory=list)
    _highest: list[int] = field(default_factory=lambda: list(_NO_FENCES))
    _reply: Mailbox[CallAnswer] | None = None

    @property
    def process(self) -> str:
        """What tells this process from others, and names its links."""
        return f'{self.name}/{self.born}'

    def tick(self) -> None:
        """Use an answer, or check in if that is due."""
        now = self.network.now
        self.holds = [hold for hold in self.holds if now < hold.until]
        if not self.is_alive:
            return
        if self._reply is not None:
            self._look_for_answer(self._reply, now)
        elif now >= self._next_ms:
            self._check_in(now)

    def drain(self) -> None:
        """Say with the next check-in that this process leaves."""
        self.is_draining = True

    def stop(self) -> None:
        """End the process, which holds nothing from now on."""
        self.is_alive = False
        self.holds = []

    def _check_in(self, now: int) -> None:
        self._sequence += 1
        self._sent_ms = now
        self._sent_freed = tuple(self._freed)
        self._sent_draining = self.is_draining
        reply: Mailbox[CallAnswer] = Mailbox()
        self._reply = reply
        call = CheckIn(
            upstream=self.name,
            born=self.born,
            service=SERVICE,
            address=f'{self.name}:80',
            failure_domain='a',
            slots=3,
            is_draining=self.is_draining,
            sequence=self._sequence,
            holds=tuple(
                HeldRange(hold.first, hold.last, hold.fence)
                for hold in self.holds
            ),
            freed=self._sent_freed,
        )
        vm = self.control[self._target % len(self.control)]
        delay_ms = self.network.generator.randint(1, _USUAL_MS)
        if self.network.generator.randrange(_LATE_ONE_IN) == 0:
            delay_ms = self.network.generator.randrange(_LATE_MS)
        # Each call has a connection of its own, so calls overtake each other.
        message = LocalCall(call, reply)
        self.network.send_late(self.process, vm, message, delay_ms)

    def _look_for_answer(
        self,
        reply: Mailbox[CallAnswer],
        now: int,
    ) -> None:
        answers = reply.take_queued()
        if answers and now <= self._sent_ms + _ANSWER_MS:
            self._reply = None
            self._use(answers[0], now)
        elif now > self._sent_ms + _ANSWER_MS:
            self._reply = None
            self._target += 1
            self._next_ms = now

    def _use(self, answer: CallAnswer, now: int) -> None:
        self._next_ms = now + CHECK_IN_MS
        if not isinstance(answer, CheckedIn):
            self._target += 1
            return
        self._freed = [
            freed for freed in self._freed if freed not in self._sent_freed
        ]
        if self._sent_draining and self.drained_ms is None:
            self.drained_ms = now
        if answer.is_renewal:
            self._take_grants(answer.grants, answer.hold_ms, now)

    def _take_grants(
        self,
        grants: tuple[GrantedRange, ...],
        hold_ms: int,
        now: int,
    ) -> None:
        until = self._sent_ms + round(hold_ms * _SLOW)
        taken = [
            Hold(grant.first, grant.last, grant.fence, until)
            for grant in grants
            if self._is_acceptable(grant)
        ]
        for first, last in subtract(self.holds, taken):
            token = f'{self.name}.{first}.{now}'
            self._freed.append(FreedRange(first, last, token))
            self._next_ms = now + _RELEASE_MS
        self.holds = [hold for hold in taken if now < hold.until]

    def _is_acceptable(self, grant: GrantedRange) -> bool:
        """Refuse a range on one of whose keys a higher fence was seen."""
        buckets = slice(
            grant.first // BUCKET_KEYS,
            grant.last // BUCKET_KEYS + 1,
        )
        seen = self._highest[buckets]
        if grant.fence < max(seen):
            return False
        self._highest[buckets] = [grant.fence for _ in seen]
        return True


def subtract(
    holds: Iterable[Hold],
    others: Iterable[Hold],
) -> Iterator[tuple[int, int]]:
    """Yield the ranges of holds that no other hold covers."""
    covered = sorted((other.first, other.last) for other in others)
    for hold in holds:
        yield from _subtract_one(hold, covered)


def _subtract_one(
    hold: Hold,
    covered: list[tuple[int, int]],
) -> Iterator[tuple[int, int]]:
    begin = hold.first
    for first, last in covered:
        is_apart = last < begin or first > hold.last
        if begin < first and not is_apart:
            yield begin, first - 1
        begin = begin if is_apart else max(begin, last + 1)
    if begin <= hold.last:
        yield begin, hold.last
