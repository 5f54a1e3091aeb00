"""Decides which connections of callers a process keeps.

Each connection takes a descriptor and memory, and upstreams and other VMs need
descriptors too. If all places are taken, a new connection takes that of an idle
one. The address with most connections loses the first, so that one that opens
many can't keep others out.

The module does no I/O and reads no clock.
"""

from collections import Counter
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Admitted:
    """The connection is kept; ``displaced`` is closed for it, if set."""

    displaced: int | None = None


@dataclass(frozen=True, slots=True)
class Rejected:
    """The connection is closed, as no other may be closed for it."""


Admission = Admitted | Rejected


@dataclass(slots=True)
class ConnectionTable:
    """The open connections, against the places for them.

    Numbers are given in the order of arrival. ``rejections`` and
    ``displacements`` count the connections that were closed.
    """

    limit: int
    rejections: int = 0
    displacements: int = 0
    _addresses: dict[int, str] = field(default_factory=dict)
    _count_by_address: Counter[str] = field(default_factory=Counter)
    _busy: set[int] = field(default_factory=set)

    @property
    def count(self) -> int:
        """The number of open connections."""
        return len(self._addresses)

    def admit(
        self, number: int, address: str, *, may_displace_busy: bool = True
    ) -> Admission:
        """Decide on a new connection.

        :param may_displace_busy: whether a busy connection of an address that
            has most of them may be closed. A VM that stops does not do so: the
            caller of the new connection finds another VM.
        """
        displaced = None
        if self.count >= self.limit:
            displaced = self._find_idle()
            if displaced is None and may_displace_busy:
                displaced = self._find_busy(address)
            if displaced is None:
                self.rejections += 1
                return Rejected()
            self.displacements += 1
            self.remove(displaced)
        self._addresses[number] = address
        self._count_by_address[address] += 1
        return Admitted(displaced)

    def mark(self, number: int, *, is_busy: bool) -> None:
        """Record whether a whole request of a connection is served.

        One that sends a head or a body is not busy: nothing is lost for its
        caller that can't be sent again.
        """
        if is_busy and number in self._addresses:
            self._busy.add(number)
        else:
            self._busy.discard(number)

    def remove(self, number: int) -> None:
        """Record that a connection is closed."""
        address = self._addresses.pop(number, None)
        self._busy.discard(number)
        if address is not None:
            self._count_by_address[address] -= 1
            if not self._count_by_address[address]:
                self._count_by_address.pop(address)

    def _find_idle(self) -> int | None:
        """Return the oldest idle connection of the address with most."""
        return max(
            self._addresses.keys() - self._busy,
            key=lambda number: (
                self._count_by_address[self._addresses[number]],
                -number,
            ),
            default=None,
        )

    def _find_busy(self, address: str) -> int | None:
        """Return the busy connection that is closed for one of an address.

        It is the latest one of another address that has more than half of all
        connections.
        """
        heavy, count = self._count_by_address.most_common(1)[0]
        if heavy == address or count * 2 <= self.limit:
            return None
        return max(
            number
            for number, other in self._addresses.items()
            if other == heavy
        )
