"""The queue of requests for one upstream, by rank."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from functools import partial
from typing import Final

from ibisjunction.dispatch.fairness import FairQueue, IsBlocked, QueuedRequest
from ibisjunction.dispatch.shares import RankShares
from ibisjunction.services.spec import Rank

#: Queued requests of all ranks together. With 3 or 4 slots and service times
#: of some ms, further requests would miss their target.
MAX_QUEUE_LENGTH: Final = 256


@dataclass(frozen=True, slots=True)
class RankQueue:
    """The queued requests of one rank.

    Those that can no longer meet their target move to ``late`` and are served
    after the others, so that an overload does not make every request late.
    """

    on_time: FairQueue = field(default_factory=FairQueue)
    late: FairQueue = field(default_factory=FairQueue)

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self.on_time) + len(self.late)

    @property
    def queues(self) -> tuple[FairQueue, FairQueue]:
        """The queues of this rank, on time first."""
        return self.on_time, self.late

    def take(self, is_blocked: IsBlocked) -> QueuedRequest | None:
        """Remove and return the next request."""
        queued = self.on_time.take(is_blocked)
        return queued or self.late.take(is_blocked)

    def evict(self) -> QueuedRequest | None:
        """Remove and return the newest late request, else the newest on time.

        It belongs to the client with most requests for its weight.
        """
        return self.late.evict_newest() or self.on_time.evict_newest()


class RequestQueue:
    """One queue per rank, and one of requests whose shard is suspended."""

    def __init__(self) -> None:
        """Start with empty queues."""
        self.shares = RankShares()
        self._rank_queues = {rank: RankQueue() for rank in Rank}
        self._suspended_requests = FairQueue()
        self._suspended_shards: frozenset[int] = frozenset()

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return sum(queue.size for queue in self._queues())

    def rank_queue(self, rank: Rank) -> RankQueue:
        """Return the queue of a rank."""
        return self._rank_queues[rank]

    def waiting_ranks(self) -> list[Rank]:
        """Return the ranks with queued requests, most urgent first."""
        return [
            rank
            for rank, rank_queue in self._rank_queues.items()
            if rank_queue.on_time.size or rank_queue.late.size
        ]

    def replace_suspended_shards(self, shards: frozenset[int]) -> None:
        """Suspend these shards and release all others."""
        released = self._suspended_shards - shards
        self._suspended_shards = shards
        if not released:
            return
        for queued in tuple(self._suspended_requests):
            if queued.request.shard in released:
                self._suspended_requests.remove(queued.request.ticket_id)
                self.put(queued)

    def put(self, queued: QueuedRequest) -> None:
        """Add a request that can still meet its target."""
        rank_queue = self._rank_queues[queued.request.rank]
        rank_queue.on_time.add(queued, queued.latest_start_ms)

    def put_late(self, queued: QueuedRequest, service_ms: int) -> None:
        """Add a request that misses its target."""
        rank_queue = self._rank_queues[queued.request.rank]
        rank_queue.late.add(queued, queued.deadline_ms - service_ms)

    def take(
        self,
        is_blocked: IsBlocked,
        is_reserved_slot: bool = False,
    ) -> QueuedRequest | None:
        """Remove and return the request whose turn it is.

        Requests for suspended shards that come before it are set aside.
        """
        waiting_ranks = self.waiting_ranks()
        for rank in self.shares.order_ranks(waiting_ranks, is_reserved_slot):
            take_next = partial(self._rank_queues[rank].take, is_blocked)
            for queued in iter(take_next, None):
                if queued.request.shard in self._suspended_shards:
                    self._suspended_requests.add(queued, queued.deadline_ms)
                    continue
                self.shares.record_ticket(rank, waiting_ranks)
                return queued
        return None

    def remove(self, ticket_id: str) -> None:
        """Remove a request, if it is queued."""
        for queue in self._queues():
            queue.remove(ticket_id)

    def remove_vm(self, vm: str) -> None:
        """Remove the requests of a lost VM.

        This scans every request; VMs are lost some tens of times a day.
        """
        for queue in self._queues():
            for queued in tuple(queue):
                if queued.vm == vm:
                    queue.remove(queued.request.ticket_id)

    def drain(self) -> Iterator[QueuedRequest]:
        """Remove and return every request whose shard is not suspended."""
        for rank_queue in self._rank_queues.values():
            yield from iter(rank_queue.evict, None)

    def evict_excess(self, rank: Rank) -> Iterator[QueuedRequest]:
        """Remove and return one request, if the queue is too long.

        A request of ``rank`` was added. The request is taken from the least
        urgent rank, but from no rank that is more urgent than ``rank``. Each
        less urgent rank keeps its ``min_share`` of the queue, without which it
        could not use its share of the slots.
        """
        if len(self) <= MAX_QUEUE_LENGTH:
            return
        ranks = tuple(Rank)
        for candidate in reversed(ranks[ranks.index(rank) :]):
            rank_queue = self._rank_queues[candidate]
            reserved_length = (
                self.shares.policies[candidate].min_share * MAX_QUEUE_LENGTH
            )
            evicted = None
            if candidate is rank or len(rank_queue) > reserved_length:
                evicted = rank_queue.evict()
            if evicted is not None:
                yield evicted
                return

    def expire(self, now: int, service_ms: int) -> Iterator[QueuedRequest]:
        """Remove and return the requests that cannot start in time.

        Requests that miss their target, but not their deadline, become late.
        """
        yield from _take_expired(self._suspended_requests, now)
        for rank_queue in self._rank_queues.values():
            for queued in _take_expired(rank_queue.on_time, now):
                self.put_late(queued, service_ms)
            yield from _take_expired(rank_queue.late, now)

    def unblock(self, client: str) -> None:
        """Schedule a client that was skipped as blocked."""
        for rank_queue in self._rank_queues.values():
            rank_queue.on_time.unblock(client)
            rank_queue.late.unblock(client)

    def _queues(self) -> Iterator[FairQueue]:
        yield self._suspended_requests
        for rank_queue in self._rank_queues.values():
            yield from rank_queue.queues


def _take_expired(queue: FairQueue, now: int) -> Iterable[QueuedRequest]:
    if not queue.may_have_expired(now):
        return ()
    return iter(partial(queue.take_expired, now), None)
