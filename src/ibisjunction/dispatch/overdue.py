"""Finds tickets whose return message was lost.

A message is lost if its receiver stays unreachable while many more are sent.
Without a check the slot of such a ticket would stay occupied, and its shard
could not be moved.
"""

from collections.abc import Iterator, Mapping
from typing import Final

from ibisjunction.dispatch.handover import DispatchedUpstream
from ibisjunction.dispatch.messages import CheckTickets

_INTERVAL_MS: Final = 1000


class OverdueCheck:
    """Checks overdue tickets with their holders, at intervals."""

    def __init__(self) -> None:
        """Start with a check that is due."""
        self._next_check_ms = 0

    def list_checks(
        self,
        upstreams: Mapping[str, DispatchedUpstream],
        now: int,
    ) -> Iterator[tuple[str, CheckTickets]]:
        """Yield the messages to send, each with its recipient VM.

        There are none until the interval since the last check has passed.
        """
        if now < self._next_check_ms:
            return
        self._next_check_ms = now + _INTERVAL_MS
        for upstream, dispatched in upstreams.items():
            overdue = dispatched.dispatcher.tickets.find_overdue(now)
            for vm, ticket_ids in overdue.items():
                yield vm, CheckTickets(upstream, ticket_ids)
