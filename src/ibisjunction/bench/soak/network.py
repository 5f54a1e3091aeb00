"""Delivers messages between simulated machines, with cuts and freezes."""

import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, Final, Protocol

from ibisjunction.mailbox import Mailbox
from ibisjunction.peers.link import Received
from ibisjunction.settings import Address

_MIN_DELAY_MS: Final = 1
_MAX_DELAY_MS: Final = 20
#: Messages that a link keeps while it is cut, like the sockets between VMs.
_KEPT: Final = 100

Link = tuple[str, str]


class Machine(Protocol):
    """What receives messages."""

    def take(self, message: object) -> None:
        """Process a message."""


@dataclass(frozen=True, slots=True)
class Peers:
    """The links of one machine, as its tasks see them."""

    network: 'Network'
    vm: str

    def send(self, vm: str, message: object) -> None:
        """Send a message; it may be late or lost."""
        self.network.send(self.vm, vm, Received(self.vm, message))

    def subscribe(
        self,
        mailbox: Mailbox[Any],
        *message_types: type[Any],
    ) -> None:
        """Do nothing: a machine passes all messages to its task."""

    def set_address(self, vm: str, address: Address) -> None:
        """Do nothing: machines are found by name."""


@dataclass(frozen=True, slots=True, order=True)
class _Sent:
    """A message on its way to one process of a machine."""

    at_ms: int
    link: Link
    number: int
    meant: Machine | None = field(compare=False)
    message: object = field(compare=False)


@dataclass(slots=True)
class Network:
    """Messages on their way; ``now`` is the time of an outside observer."""

    seed: int
    now: int = 0
    generator: random.Random = field(init=False)
    machines: dict[str, Machine] = field(default_factory=dict)
    frozen_until: dict[str, int] = field(default_factory=dict)
    _cuts: Counter[Link] = field(default_factory=Counter)
    _queue: list[_Sent] = field(default_factory=list)
    _held: dict[Link, deque[object]] = field(default_factory=dict)
    _latest: dict[Link, int] = field(default_factory=dict)
    _chances: dict[Link, random.Random] = field(default_factory=dict)
    _numbers: 'itertools.count[int]' = field(default_factory=itertools.count)

    def __post_init__(self) -> None:
        """Let the seed decide on chance."""
        self.generator = random.Random(self.seed)

    def send(self, sender: str, vm: str, message: object) -> None:
        """Send a message that arrives after those sent before it."""
        # The order in which a task sends to several machines may differ from
        # run to run, so each link has its own chance.
        chance = self._chances.get((sender, vm))
        if chance is None:
            chance = random.Random(f'{self.seed} {sender} {vm}')
            self._chances[(sender, vm)] = chance
        delay_ms = chance.randint(_MIN_DELAY_MS, _MAX_DELAY_MS)
        if sender == vm:
            delay_ms = 0
        self.send_late(sender, vm, message, delay_ms)

    def send_late(
        self,
        sender: str,
        vm: str,
        message: object,
        delay_ms: int,
    ) -> None:
        """Send a message with a given delay."""
        link = (sender, vm)
        at_ms = max(self.now + delay_ms, self._latest.get(link, 0))
        self._latest[link] = at_ms
        self._push(at_ms, link, self.machines.get(vm), message)

    def cut(self, links: Iterable[Link]) -> None:
        """Part links; a link may be cut several times."""
        self._cuts.update(links)

    def heal(self, links: Iterable[Link]) -> None:
        """End a cut; what the links kept is delivered now."""
        for link in links:
            self._cuts[link] -= 1
            if self._cuts[link] > 0:
                continue
            _, vm = link
            for message in self._held.pop(link, ()):
                self._push(self.now, link, self.machines.get(vm), message)

    def is_frozen(self, vm: str) -> bool:
        """Return whether a machine stands still."""
        return self.now < self.frozen_until.get(vm, 0)

    def deliver(self, until: int) -> None:
        """Deliver all messages that are due until then."""
        while self._queue and self._queue[0].at_ms <= until:
            sent = heapq.heappop(self._queue)
            self.now = max(self.now, sent.at_ms)
            self._arrive(sent.link, sent.meant, sent.message)
        self.now = until

    def _push(
        self,
        at_ms: int,
        link: Link,
        meant: Machine | None,
        message: object,
    ) -> None:
        sent = _Sent(at_ms, link, next(self._numbers), meant, message)
        heapq.heappush(self._queue, sent)

    def _arrive(
        self,
        link: Link,
        meant: Machine | None,
        message: object,
    ) -> None:
        _, vm = link
        machine = self.machines.get(vm)
        if self._cuts[link] > 0:
            held = self._held.setdefault(link, deque(maxlen=_KEPT))
            held.append(message)
        elif self.is_frozen(vm):
            self._push(self.frozen_until[vm], link, meant, message)
        elif machine is not None and (meant is None or meant is machine):
            # What was sent to an earlier process of the machine is lost.
            machine.take(message)
