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
#: Messages that a link buffers while it is cut, as the sockets between VMs do.
#: If there are more, the oldest are dropped.
_LINK_BUFFER_MESSAGES: Final = 100

#: Names of the sender and of the recipient.
Link = tuple[str, str]


class Machine(Protocol):
    """A receiver of messages."""

    def receive(self, message: object) -> None:
        """Handle a message."""


@dataclass(frozen=True, slots=True)
class Peers:
    """The links of one machine, in place of a ``PeerNetwork``."""

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
class _QueuedMessage:
    """A message in transit.

    ``recipient`` is the machine that was running under the name when the
    message was queued, or ``None`` if there was none. ``number`` orders
    messages of the same time and link.
    """

    at_ms: int
    link: Link
    number: int
    recipient: Machine | None = field(compare=False)
    message: object = field(compare=False)


@dataclass(slots=True)
class Network:
    """Queues messages in transit; ``now`` is the simulated time in ms.

    ``machines`` maps the names of running machines to them, and
    ``frozen_until_ms`` the names of frozen ones to the end of the freeze.
    """

    seed: int
    now: int = 0
    rng: random.Random = field(init=False)
    machines: dict[str, Machine] = field(default_factory=dict)
    frozen_until_ms: dict[str, int] = field(default_factory=dict)
    _cuts: Counter[Link] = field(default_factory=Counter)
    _queue: list[_QueuedMessage] = field(default_factory=list)
    _buffers: dict[Link, deque[object]] = field(default_factory=dict)
    _latest_arrivals_ms: dict[Link, int] = field(default_factory=dict)
    _link_rngs: dict[Link, random.Random] = field(default_factory=dict)
    _numbers: 'itertools.count[int]' = field(default_factory=itertools.count)

    def __post_init__(self) -> None:
        """Seed the random number generator."""
        self.rng = random.Random(self.seed)

    def send(self, sender: str, vm: str, message: object) -> None:
        """Send a message that arrives after earlier ones of the same link."""
        # The order in which a task sends to several machines may differ from
        # run to run, so each link has a random number generator of its own.
        rng = self._link_rngs.get((sender, vm))
        if rng is None:
            rng = random.Random(f'{self.seed} {sender} {vm}')
            self._link_rngs[(sender, vm)] = rng
        delay_ms = rng.randint(_MIN_DELAY_MS, _MAX_DELAY_MS)
        if sender == vm:
            delay_ms = 0
        self.send_delayed(sender, vm, message, delay_ms)

    def send_delayed(
        self,
        sender: str,
        vm: str,
        message: object,
        delay_ms: int,
    ) -> None:
        """Send a message with a given delay."""
        link = (sender, vm)
        at_ms = max(self.now + delay_ms, self._latest_arrivals_ms.get(link, 0))
        self._latest_arrivals_ms[link] = at_ms
        self._push(at_ms, link, self.machines.get(vm), message)

    def cut(self, links: Iterable[Link]) -> None:
        """Cut links; a link works again once each of its cuts has ended."""
        self._cuts.update(links)

    def heal(self, links: Iterable[Link]) -> None:
        """End a cut; links without another cut deliver what they buffered."""
        for link in links:
            self._cuts[link] -= 1
            if self._cuts[link] > 0:
                continue
            _, vm = link
            for message in self._buffers.pop(link, ()):
                self._push(self.now, link, self.machines.get(vm), message)

    def is_frozen(self, vm: str) -> bool:
        """Return whether a machine handles neither messages nor timers."""
        return self.now < self.frozen_until_ms.get(vm, 0)

    def deliver(self, until_ms: int) -> None:
        """Advance to a time and deliver the messages that arrive by then."""
        while self._queue and self._queue[0].at_ms <= until_ms:
            queued = heapq.heappop(self._queue)
            self.now = max(self.now, queued.at_ms)
            self._deliver_message(queued.link, queued.recipient, queued.message)
        self.now = until_ms

    def _push(
        self,
        at_ms: int,
        link: Link,
        recipient: Machine | None,
        message: object,
    ) -> None:
        queued = _QueuedMessage(
            at_ms, link, next(self._numbers), recipient, message
        )
        heapq.heappush(self._queue, queued)

    def _deliver_message(
        self,
        link: Link,
        recipient: Machine | None,
        message: object,
    ) -> None:
        _, vm = link
        machine = self.machines.get(vm)
        if self._cuts[link] > 0:
            buffer = self._buffers.setdefault(
                link, deque(maxlen=_LINK_BUFFER_MESSAGES)
            )
            buffer.append(message)
        elif self.is_frozen(vm):
            self._push(self.frozen_until_ms[vm], link, recipient, message)
        elif machine is not None and (
            recipient is None or recipient is machine
        ):
            # Messages to an earlier process of the machine are lost.
            machine.receive(message)
