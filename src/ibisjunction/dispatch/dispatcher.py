"""The decision to issue tickets for one upstream."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

from ibisjunction.dispatch.messages import (
    GrantsInForce,
    TicketCancel,
    TicketDone,
    TicketGranted,
    TicketRefused,
    TicketRequest,
)
from ibisjunction.outcomes import Reason
from ibisjunction.services.spec import Rank

#: Requests kept in one rank's queue. With 3 or 4 slots and service times of
#: some ms, a longer queue holds only requests that miss their deadline.
_QUEUE_LENGTH = 256


@dataclass(frozen=True, slots=True)
class SendToVm:
    """Effect: send a message to the VM that asked."""

    vm: str
    message: TicketGranted | TicketRefused


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request that waits for a ticket."""

    vm: str
    request: TicketRequest
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class Outstanding:
    """A ticket that was issued and not given back."""

    vm: str
    shard: int
    deadline_ms: int


class Dispatcher:
    """Queue, slots and outstanding tickets of one upstream."""

    def __init__(self, upstream: str, epoch: int, slots: int) -> None:
        """Start with an empty queue and no confirmed grants."""
        self.upstream = upstream
        self.epoch = epoch
        self._slots = slots
        self._fences: dict[int, int] = {}
        self._fences_until_ms = 0
        self._queues: dict[Rank, deque[QueuedRequest]] = {
            rank: deque() for rank in Rank
        }
        self._outstanding: dict[str, Outstanding] = {}
        self._held_shards: frozenset[int] = frozenset()

    def hold_shards(self, shards: frozenset[int]) -> None:
        """Issue no ticket for these shards until the next call.

        Requests for them wait in the queue.
        """
        self._held_shards = shards

    def is_idle(self, shard: int) -> bool:
        """Return whether no ticket for the shard is outstanding."""
        return all(
            ticket.shard != shard for ticket in self._outstanding.values()
        )

    def restore(self, tickets: Mapping[str, Outstanding]) -> None:
        """Take over tickets that an earlier dispatcher issued, by id."""
        self._outstanding.update(tickets)

    def drop_vm(self, vm: str, now: int) -> list[SendToVm]:
        """Forget what a lost VM asked for or holds.

        Only for a VM whose lease has run out: it sends nothing any more.
        """
        self._outstanding = {
            ticket_id: ticket
            for ticket_id, ticket in self._outstanding.items()
            if ticket.vm != vm
        }
        for queue in self._queues.values():
            for queued in tuple(queue):
                if queued.vm == vm:
                    queue.remove(queued)
        return self.issue(now)

    def confirm_grants(self, grants: GrantsInForce, now: int) -> list[SendToVm]:
        """Take the grants that the upstream confirmed."""
        if grants.epoch == self.epoch:
            self._fences = grants.fences
            self._fences_until_ms = grants.until_ms
        return self.issue(now)

    def request(
        self,
        vm: str,
        request: TicketRequest,
        now: int,
    ) -> list[SendToVm]:
        """Queue a request, or refuse it, and issue what is possible."""
        queue = self._queues[request.rank]
        if len(queue) >= _QUEUE_LENGTH:
            refusal = TicketRefused(request.ticket_id, Reason.QUEUE_FULL)
            return [SendToVm(vm, refusal)]
        deadline_ms = now + request.remaining_ms
        queue.append(QueuedRequest(vm, request, deadline_ms))
        return self.issue(now)

    def finish(self, done: TicketDone, now: int) -> list[SendToVm]:
        """Take a ticket back and issue what is possible."""
        self._outstanding.pop(done.ticket_id, None)
        return self.issue(now)

    def cancel(self, cancel: TicketCancel, now: int) -> list[SendToVm]:
        """Forget a queued request or take back its ticket."""
        self._outstanding.pop(cancel.ticket_id, None)
        for queue in self._queues.values():
            for queued in tuple(queue):
                if queued.request.ticket_id == cancel.ticket_id:
                    queue.remove(queued)
        return self.issue(now)

    def issue(self, now: int) -> list[SendToVm]:
        """Issue tickets for free slots and refuse what has expired."""
        effects: list[SendToVm] = []
        if now >= self._fences_until_ms:
            return effects
        for queue in self._queues.values():
            for queued in tuple(queue):
                if len(self._outstanding) >= self._slots:
                    return effects
                if queued.request.shard not in self._held_shards:
                    queue.remove(queued)
                    effects.append(self._answer(queued, now))
        return effects

    def _answer(self, queued: QueuedRequest, now: int) -> SendToVm:
        request = queued.request
        if now >= queued.deadline_ms:
            refusal = TicketRefused(request.ticket_id, Reason.DEADLINE_PASSED)
            return SendToVm(queued.vm, refusal)
        fence = self._fences.get(request.shard)
        if fence is None:
            refusal = TicketRefused(request.ticket_id, Reason.NO_OWNER)
            return SendToVm(queued.vm, refusal)
        self._outstanding[request.ticket_id] = Outstanding(
            queued.vm,
            request.shard,
            queued.deadline_ms,
        )
        granted = TicketGranted(
            request.ticket_id,
            self.upstream,
            self.epoch,
            fence,
        )
        return SendToVm(queued.vm, granted)
