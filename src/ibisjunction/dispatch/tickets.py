"""The tickets of one upstream that are outstanding."""

from collections import Counter
from dataclasses import dataclass
from typing import Final, TypeVar

_Key = TypeVar('_Key', str, int)

#: A request ends by its deadline, and its ticket is returned within a round
#: trip; a ticket that is later than this is overdue.
_RETURN_GRACE_MS: Final = 1000


@dataclass(frozen=True, slots=True)
class OutstandingTicket:
    """A ticket that was issued and not returned yet.

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
        """Client and shard, which stay the same when a request is retried."""
        return f'{self.client}/{self.shard}'


class TicketTable:
    """Outstanding tickets by id, counted by shard and by client."""

    def __init__(self) -> None:
        """Start without tickets."""
        self._tickets: dict[str, OutstandingTicket] = {}
        self._by_shard: Counter[int] = Counter()
        self._by_client: Counter[str] = Counter()

    def __len__(self) -> int:
        """Return the number of outstanding tickets."""
        return len(self._tickets)

    def __contains__(self, ticket_id: str) -> bool:
        """Return whether a ticket is outstanding."""
        return ticket_id in self._tickets

    def add(self, ticket_id: str, ticket: OutstandingTicket) -> None:
        """Add a ticket; it replaces a ticket with the same id."""
        self.remove(ticket_id)
        self._tickets[ticket_id] = ticket
        self._by_shard[ticket.shard] += 1
        self._by_client[ticket.client] += 1

    def remove(self, ticket_id: str) -> OutstandingTicket | None:
        """Remove and return a ticket, if it is outstanding."""
        ticket = self._tickets.pop(ticket_id, None)
        if ticket is not None:
            _decrement(self._by_shard, ticket.shard)
            _decrement(self._by_client, ticket.client)
        return ticket

    def ids_of_vm(self, vm: str) -> list[str]:
        """Return the ids of the tickets that a VM holds."""
        return [
            ticket_id
            for ticket_id, ticket in self._tickets.items()
            if ticket.vm == vm
        ]

    def find_overdue(self, now: int) -> dict[str, list[str]]:
        """Return the ids of the overdue tickets, by VM."""
        overdue: dict[str, list[str]] = {}
        for ticket_id, ticket in self._tickets.items():
            if now >= ticket.deadline_ms + _RETURN_GRACE_MS:
                overdue.setdefault(ticket.vm, []).append(ticket_id)
        return overdue

    def has_shard(self, shard: int) -> bool:
        """Return whether a ticket for the shard is outstanding."""
        return self._by_shard[shard] > 0

    def count_by_client(self, client: str) -> int:
        """Return the number of outstanding tickets of a client."""
        return self._by_client[client]

    def is_at_limit(self, client: str, max_in_flight: int) -> bool:
        """Return whether a client has as many tickets as its terms allow."""
        return self._by_client[client] >= max_in_flight


def _decrement(counts: Counter[_Key], key: _Key) -> None:
    counts[key] -= 1
    if not counts[key]:
        counts.pop(key)
