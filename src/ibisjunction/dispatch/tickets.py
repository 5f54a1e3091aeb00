"""The tickets of one upstream that are outstanding."""

from collections import Counter
from dataclasses import dataclass
from typing import Final, TypeVar

_Name = TypeVar('_Name', str, int)

#: A request ends by its deadline; its ticket comes back within a round trip.
_OVERDUE_MS: Final = 1000


@dataclass(frozen=True, slots=True)
class Outstanding:
    """A ticket that was issued and not given back.

    Tickets taken over from an earlier dispatcher have no client; their results
    still count for the upstream.
    """

    vm: str
    shard: int
    deadline_ms: int
    client: str = ''
    issued_ms: int = 0

    @property
    def origin(self) -> str:
        """What stays the same when a caller sends its request again."""
        return f'{self.client}/{self.shard}'


class Tickets:
    """Outstanding tickets by id, counted by shard and by client."""

    def __init__(self) -> None:
        """Start without tickets."""
        self._tickets: dict[str, Outstanding] = {}
        self._by_shard: Counter[int] = Counter()
        self._by_client: Counter[str] = Counter()

    def __len__(self) -> int:
        """Return the number of outstanding tickets."""
        return len(self._tickets)

    def __contains__(self, ticket_id: str) -> bool:
        """Return whether a ticket is outstanding."""
        return ticket_id in self._tickets

    def add(self, ticket_id: str, ticket: Outstanding) -> None:
        """Count a ticket; an id that is known replaces its ticket."""
        self.remove(ticket_id)
        self._tickets[ticket_id] = ticket
        self._by_shard[ticket.shard] += 1
        self._by_client[ticket.client] += 1

    def remove(self, ticket_id: str) -> Outstanding | None:
        """Remove and return a ticket, if it is outstanding."""
        ticket = self._tickets.pop(ticket_id, None)
        if ticket is not None:
            _count_down(self._by_shard, ticket.shard)
            _count_down(self._by_client, ticket.client)
        return ticket

    def ids_of_vm(self, vm: str) -> list[str]:
        """Return the ids of the tickets that a VM holds."""
        return [
            ticket_id
            for ticket_id, ticket in self._tickets.items()
            if ticket.vm == vm
        ]

    def find_overdue(self, now: int) -> dict[str, list[str]]:
        """Return the ids of tickets that should have come back, by VM."""
        overdue: dict[str, list[str]] = {}
        for ticket_id, ticket in self._tickets.items():
            if now >= ticket.deadline_ms + _OVERDUE_MS:
                overdue.setdefault(ticket.vm, []).append(ticket_id)
        return overdue

    def has_shard(self, shard: int) -> bool:
        """Return whether a ticket for the shard is outstanding."""
        return self._by_shard[shard] > 0

    def count_of(self, client: str) -> int:
        """Return how many tickets a client has."""
        return self._by_client[client]

    def has_most(self, client: str, max_in_flight: int) -> bool:
        """Return whether a client has as many as its terms allow."""
        return self._by_client[client] >= max_in_flight


def _count_down(counts: Counter[_Name], name: _Name) -> None:
    counts[name] -= 1
    if not counts[name]:
        counts.pop(name)
