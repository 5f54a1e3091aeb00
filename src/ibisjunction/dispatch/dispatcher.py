"""The decision to issue tickets for one upstream."""

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
from ibisjunction.dispatch.queue import WorkQueue
from ibisjunction.dispatch.retries import RetryBudget, spend
from ibisjunction.dispatch.tickets import Outstanding, Tickets
from ibisjunction.outcomes import Reason
from ibisjunction.services.spec import Rank, RankPolicy

__all__ = (
    'BreakerChanged',
    'Dispatcher',
    'Effect',
    'LimitChanged',
    'Outstanding',
    'SendToVm',
)

_CANCELLED: Final = TicketResult(ResultKind.CANCELLED, 0)


@dataclass(frozen=True, slots=True)
class SendToVm:
    """Effect: send a message to the VM that asked."""

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
        self._fences_until_ms = 0
        self.queue = WorkQueue()
        self.tickets = Tickets()
        self._budget = RetryBudget()

    def set_ranks(self, policies: Mapping[Rank, RankPolicy]) -> None:
        """Take the published policies of the ranks."""
        self.queue.shares.policies = policies

    def hold_shards(self, shards: frozenset[int]) -> None:
        """Issue no ticket for these shards until the next call.

        Requests for them wait in the queue.
        """
        self.queue.hold(shards)

    def is_idle(self, shard: int) -> bool:
        """Return whether no ticket for the shard is outstanding."""
        return not self.tickets.has_shard(shard)

    def restore(self, tickets: Mapping[str, Outstanding]) -> None:
        """Take over tickets that an earlier dispatcher issued, by id."""
        for ticket_id, ticket in tickets.items():
            self.tickets.add(ticket_id, ticket)

    def drop_vm(self, vm: str, now: int) -> list[Effect]:
        """Forget what a lost VM asked for or holds.

        Only for a VM whose lease has run out: it sends nothing any more.
        """
        for ticket_id in self.tickets.ids_of_vm(vm):
            self._take_back(ticket_id, now)
        self.queue.remove_vm(vm)
        return self.issue(now)

    def confirm_grants(self, grants: GrantsInForce, now: int) -> list[Effect]:
        """Take the grants that the upstream confirmed."""
        if grants.epoch == self.epoch:
            self._fences = grants.fences
            self._fences_until_ms = grants.until_ms
        return self.issue(now)

    def restart_cold(self, now: int) -> list[Effect]:
        """Ramp up again: the upstream was restarted."""
        return [*self.health.restart(), *self.issue(now)]

    def request(
        self,
        vm: str,
        request: TicketRequest,
        now: int,
    ) -> list[Effect]:
        """Queue a request, or refuse it, and issue what is possible."""
        refusal = self._refuse_early(request, now)
        if refusal is None:
            arrival = Arrival(
                vm,
                request,
                self.tickets.count_of(request.client),
                self._has_free_slot(now),
                now,
            )
            refusal = admit(self.queue, arrival, self.health.capacity)
        if refusal is not None:
            return [SendToVm(vm, refusal), *self.issue(now)]
        effects: list[Effect] = [
            _refuse(victim, Reason.QUEUE_FULL)
            for victim in self.queue.shorten(request.rank)
        ]
        return effects + self.issue(now)

    def finish(self, done: TicketDone, now: int) -> list[Effect]:
        """Take a ticket back, learn from it and issue what is possible."""
        effects = self._take_back(done.ticket_id, now, done.result)
        return effects + self.issue(now)

    def cancel(self, cancel: TicketCancel, now: int) -> list[Effect]:
        """Forget a queued request or take back its ticket."""
        self._take_back(cancel.ticket_id, now)
        self.queue.remove(cancel.ticket_id)
        return self.issue(now)

    def issue(self, now: int) -> list[Effect]:
        """Issue tickets for free slots and refuse what cannot be served."""
        self.health.look(now)
        capacity = self.health.capacity
        effects: list[Effect] = [
            _refuse(queued, _reason_of_expiry(queued, now))
            for queued in self.queue.expire(now, capacity.service_ms)
        ]
        effects += [
            _refuse(queued, Reason.QUEUE_FULL)
            for queued in trim_late(self.queue, capacity)
        ]
        reserved = self.queue.shares.reserved(
            capacity.limit,
            capacity.service_ms,
        )
        while now < self._fences_until_ms and self._has_free_slot(now):
            free = capacity.limit - len(self.tickets)
            queued = self.queue.take(self.tickets.has_most, free <= reserved)
            if queued is None:
                break
            effects.append(self._answer(queued, now))
        return effects

    def _refuse_early(
        self,
        request: TicketRequest,
        now: int,
    ) -> TicketRefused | None:
        if request.remaining_ms <= 0:
            return TicketRefused(request.ticket_id, Reason.DEADLINE_PASSED)
        breaker = self.health.look(now)
        if isinstance(breaker, Open):
            return TicketRefused(
                request.ticket_id,
                Reason.BREAKER_OPEN,
                breaker.until_ms - now,
            )
        budget = spend(self._budget, request.attempt)
        if budget is None:
            return TicketRefused(request.ticket_id, Reason.RETRY_BUDGET)
        self._budget = budget
        return None

    def _has_free_slot(self, now: int) -> bool:
        return len(self.tickets) < self.health.allowed(now)

    def _answer(self, queued: QueuedRequest, now: int) -> SendToVm:
        request = queued.request
        fence = self._fences.get(request.shard)
        if fence is None:
            return _refuse(queued, Reason.NO_OWNER)
        ticket = Outstanding(
            queued.vm,
            request.shard,
            queued.deadline_ms,
            request.client,
            now,
        )
        self.tickets.add(request.ticket_id, ticket)
        self.health.note_issued()
        granted = TicketGranted(
            request.ticket_id,
            self.upstream,
            self.epoch,
            fence,
        )
        return SendToVm(queued.vm, granted)

    def _take_back(
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
        effects += self.health.learn(ticket, result, now)
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


def _reason_of_expiry(queued: QueuedRequest, now: int) -> Reason:
    if now >= queued.deadline_ms:
        return Reason.DEADLINE_PASSED
    return Reason.DEADLINE_UNMEETABLE
