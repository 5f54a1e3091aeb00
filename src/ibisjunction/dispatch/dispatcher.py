"""Decides which tickets are issued for one upstream."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from ibisjunction.dispatch.backlog import Arrival, admit, trim_late
from ibisjunction.dispatch.breaker import Open
from ibisjunction.dispatch.fairness import QueuedRequest
from ibisjunction.dispatch.health import (
    BreakerChanged,
    LimitChanged,
    UpstreamHealth,
)
from ibisjunction.dispatch.messages import (
    GrantsInForce,
    ResultKind,
    TicketCancel,
    TicketDone,
    TicketGranted,
    TicketRefused,
    TicketRequest,
    TicketResult,
)
from ibisjunction.dispatch.queue import RequestQueue
from ibisjunction.dispatch.retries import RetryBudget, charge_attempt
from ibisjunction.dispatch.tickets import OutstandingTicket, TicketTable
from ibisjunction.outcomes import Reason
from ibisjunction.services.spec import Rank, RankPolicy

__all__ = (
    'BreakerChanged',
    'Dispatcher',
    'Effect',
    'LimitChanged',
    'OutstandingTicket',
    'SendToVm',
)

_CANCELLED: Final = TicketResult(ResultKind.CANCELLED, 0)


@dataclass(frozen=True, slots=True)
class SendToVm:
    """Effect: send a message to the VM that requested the ticket."""

    vm: str
    message: TicketGranted | TicketRefused


Effect = SendToVm | LimitChanged | BreakerChanged


class Dispatcher:
    """Queue, limits and outstanding tickets of one upstream."""

    def __init__(self, upstream: str, epoch: int, slots: int) -> None:
        """Start with an empty queue and no confirmed grants."""
        self.upstream = upstream
        self.epoch = epoch
        self.health = UpstreamHealth(upstream, slots)
        self._fences: dict[int, int] = {}
        self._grants_until_ms = 0
        self.queue = RequestQueue()
        self.tickets = TicketTable()
        self._budget = RetryBudget()

    def set_ranks(self, policies: Mapping[Rank, RankPolicy]) -> None:
        """Apply the published policies of the ranks."""
        self.queue.shares.policies = policies

    def replace_suspended_shards(self, shards: frozenset[int]) -> None:
        """Suspend these shards and release all others.

        No ticket is issued for them; their requests wait in the queue.
        """
        self.queue.replace_suspended_shards(shards)

    def is_idle(self, shard: int) -> bool:
        """Return whether no ticket for the shard is outstanding."""
        return not self.tickets.has_shard(shard)

    def restore_tickets(self, tickets: Mapping[str, OutstandingTicket]) -> None:
        """Add tickets that an earlier dispatcher issued, by id."""
        for ticket_id, ticket in tickets.items():
            self.tickets.add(ticket_id, ticket)

    def discard_vm(self, vm: str, now: int) -> list[Effect]:
        """Remove the queued requests and the tickets of a lost VM.

        Only for a VM whose lease has run out: it sends no more requests.
        """
        for ticket_id in self.tickets.ids_of_vm(vm):
            self._reclaim_ticket(ticket_id, now)
        self.queue.remove_vm(vm)
        return self.issue(now)

    def set_confirmed_grants(
        self, grants: GrantsInForce, now: int
    ) -> list[Effect]:
        """Store the grants that the upstream confirmed and issue tickets."""
        if grants.epoch == self.epoch:
            self._fences = grants.fences
            self._grants_until_ms = grants.until_ms
        return self.issue(now)

    def reset_after_restart(self, now: int) -> list[Effect]:
        """Ramp up again, because the upstream was restarted."""
        return [*self.health.reset(), *self.issue(now)]

    def request(
        self,
        vm: str,
        request: TicketRequest,
        now: int,
    ) -> list[Effect]:
        """Queue or refuse a request and issue tickets for free slots."""
        refusal = self._refuse_early(request, now)
        if refusal is None:
            arrival = Arrival(
                vm,
                request,
                self.tickets.count_by_client(request.client),
                self._has_free_slot(now),
                now,
            )
            refusal = admit(self.queue, arrival, self.health.capacity)
        if refusal is not None:
            return [SendToVm(vm, refusal), *self.issue(now)]
        effects: list[Effect] = [
            _refuse(evicted, Reason.QUEUE_FULL)
            for evicted in self.queue.evict_excess(request.rank)
        ]
        return effects + self.issue(now)

    def finish(self, done: TicketDone, now: int) -> list[Effect]:
        """Reclaim a ticket, record its result and issue tickets."""
        effects = self._reclaim_ticket(done.ticket_id, now, done.result)
        return effects + self.issue(now)

    def cancel(self, cancel: TicketCancel, now: int) -> list[Effect]:
        """Remove a queued request or reclaim its ticket."""
        self._reclaim_ticket(cancel.ticket_id, now)
        self.queue.remove(cancel.ticket_id)
        return self.issue(now)

    def issue(self, now: int) -> list[Effect]:
        """Issue tickets for free slots and refuse requests that expired."""
        self.health.advance_breaker(now)
        capacity = self.health.capacity
        effects: list[Effect] = [
            _refuse(queued, _expiry_reason(queued, now))
            for queued in self.queue.expire(now, capacity.service_ms)
        ]
        effects += [
            _refuse(queued, Reason.QUEUE_FULL)
            for queued in trim_late(self.queue, capacity)
        ]
        reserved_slots = self.queue.shares.reserved_slots(
            capacity.limit,
            capacity.service_ms,
        )
        while now < self._grants_until_ms and self._has_free_slot(now):
            free_slots = capacity.limit - len(self.tickets)
            queued = self.queue.take(
                self.tickets.is_at_limit, free_slots <= reserved_slots
            )
            if queued is None:
                break
            effects.append(self._issue_or_refuse(queued, now))
        return effects

    def _refuse_early(
        self,
        request: TicketRequest,
        now: int,
    ) -> TicketRefused | None:
        if request.remaining_ms <= 0:
            return TicketRefused(request.ticket_id, Reason.DEADLINE_PASSED)
        breaker = self.health.advance_breaker(now)
        if isinstance(breaker, Open):
            return TicketRefused(
                request.ticket_id,
                Reason.BREAKER_OPEN,
                breaker.until_ms - now,
            )
        budget = charge_attempt(self._budget, request.attempt)
        if budget is None:
            return TicketRefused(request.ticket_id, Reason.RETRY_BUDGET)
        self._budget = budget
        return None

    def _has_free_slot(self, now: int) -> bool:
        return len(self.tickets) < self.health.max_outstanding(now)

    def _issue_or_refuse(self, queued: QueuedRequest, now: int) -> SendToVm:
        request = queued.request
        fence = self._fences.get(request.shard)
        if fence is None:
            return _refuse(queued, Reason.NO_OWNER)
        ticket = OutstandingTicket(
            queued.vm,
            request.shard,
            queued.deadline_ms,
            request.client,
            now,
        )
        self.tickets.add(request.ticket_id, ticket)
        self.health.record_ticket_issued()
        granted = TicketGranted(
            request.ticket_id,
            self.upstream,
            self.epoch,
            fence,
        )
        return SendToVm(queued.vm, granted)

    def _reclaim_ticket(
        self,
        ticket_id: str,
        now: int,
        result: TicketResult = _CANCELLED,
    ) -> list[Effect]:
        ticket = self.tickets.remove(ticket_id)
        if ticket is None:
            return []
        self.queue.unblock(ticket.client)
        effects: list[Effect] = []
        effects += self.health.record_result(ticket, result, now)
        breaker = self.health.breaker
        if isinstance(breaker, Open):
            retry_after_ms = breaker.until_ms - now
            effects += [
                _refuse(queued, Reason.BREAKER_OPEN, retry_after_ms)
                for queued in self.queue.drain()
            ]
        return effects


def _refuse(
    queued: QueuedRequest,
    reason: Reason,
    retry_after_ms: int | None = None,
) -> SendToVm:
    refusal = TicketRefused(queued.request.ticket_id, reason, retry_after_ms)
    return SendToVm(queued.vm, refusal)


def _expiry_reason(queued: QueuedRequest, now: int) -> Reason:
    if now >= queued.deadline_ms:
        return Reason.DEADLINE_PASSED
    return Reason.DEADLINE_UNMEETABLE
