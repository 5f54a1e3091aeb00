"""The requests that wait for one upstream, by rank."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from functools import partial
from typing import Final

from ibisjunction.dispatch.fairness import FairQueue, IsBlocked, QueuedRequest
from ibisjunction.dispatch.shares import RankShares
from ibisjunction.services.spec import Rank

#: Requests that wait in all ranks together. With 3 or 4 slots and service
#: times of some ms, a longer queue holds only requests that miss their target.
QUEUE_LENGTH: Final = 256


@dataclass(frozen=True, slots=True)
class Lane:
    """The requests of one rank.

    Those that can no longer meet their target move to ``late`` and go after
    the others, so that a flood does not make every request late.
    """

    on_time: FairQueue = field(default_factory=FairQueue)
    late: FairQueue = field(default_factory=FairQueue)

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return len(self.on_time) + len(self.late)

    @property
    def queues(self) -> tuple[FairQueue, FairQueue]:
        """Both queues."""
        return self.on_time, self.late

    def take(self, is_blocked: IsBlocked) -> QueuedRequest | None:
        """Remove and return the next request."""
        queued = self.on_time.take(is_blocked)
        return queued or self.late.take(is_blocked)

    def take_last(self) -> QueuedRequest | None:
        """Remove and return the request that is worth least."""
        return self.late.take_last() or self.on_time.take_last()


class WorkQueue:
    """Three lanes, and a place for requests whose shard is held."""

    def __init__(self) -> None:
        """Start empty."""
        self.shares = RankShares()
        self._lanes = {rank: Lane() for rank in Rank}
        self._held = FairQueue()
        self._held_shards: frozenset[int] = frozenset()

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return sum(queue.size for queue in self._queues())

    def lane(self, rank: Rank) -> Lane:
        """Return the lane of a rank."""
        return self._lanes[rank]

    def waiting(self) -> list[Rank]:
        """Return the ranks that have requests, most urgent first."""
        return [
            rank
            for rank, lane in self._lanes.items()
            if lane.on_time.size or lane.late.size
        ]

    def hold(self, shards: frozenset[int]) -> None:
        """Keep requests for these shards back, and no others."""
        released = self._held_shards - shards
        self._held_shards = shards
        if not released:
            return
        for queued in tuple(self._held):
            if queued.request.shard in released:
                self._held.remove(queued.request.ticket_id)
                self.put(queued)

    def put(self, queued: QueuedRequest) -> None:
        """Add a request that can still meet its target."""
        lane = self._lanes[queued.request.rank]
        lane.on_time.add(queued, queued.due_ms)

    def put_late(self, queued: QueuedRequest, service_ms: int) -> None:
        """Add a request that misses its target."""
        lane = self._lanes[queued.request.rank]
        lane.late.add(queued, queued.deadline_ms - service_ms)

    def take(
        self,
        is_blocked: IsBlocked,
        is_last: bool = False,
    ) -> QueuedRequest | None:
        """Remove and return the request whose turn it is."""
        waiting = self.waiting()
        for rank in self.shares.order(waiting, is_last):
            take_next = partial(self._lanes[rank].take, is_blocked)
            for queued in iter(take_next, None):
                if queued.request.shard in self._held_shards:
                    self._held.add(queued, queued.deadline_ms)
                    continue
                self.shares.charge(rank, waiting)
                return queued
        return None

    def remove(self, ticket_id: str) -> None:
        """Remove a request, if it waits."""
        for queue in self._queues():
            queue.remove(ticket_id)

    def remove_vm(self, vm: str) -> None:
        """Remove what a lost VM asked for.

        This looks at every request; VMs are lost some tens of times a day.
        """
        for queue in self._queues():
            for queued in tuple(queue):
                if queued.vm == vm:
                    queue.remove(queued.request.ticket_id)

    def drain(self) -> Iterator[QueuedRequest]:
        """Remove and return every request whose shard is not held."""
        for lane in self._lanes.values():
            yield from iter(lane.take_last, None)

    def shorten(self, rank: Rank) -> Iterator[QueuedRequest]:
        """Remove and return what is worth least, if too many wait.

        A request of ``rank`` was added; less urgent ones make room for it, but
        each rank keeps its ``min_share`` of the queue, without which it could
        not use its share of the slots.
        """
        if len(self) <= QUEUE_LENGTH:
            return
        ranks = tuple(Rank)
        for candidate in reversed(ranks[ranks.index(rank) :]):
            lane = self._lanes[candidate]
            kept = self.shares.policies[candidate].min_share * QUEUE_LENGTH
            victim = None
            if candidate is rank or len(lane) > kept:
                victim = lane.take_last()
            if victim is not None:
                yield victim
                return

    def expire(self, now: int, service_ms: int) -> Iterator[QueuedRequest]:
        """Remove and return the requests that cannot start in time.

        Requests that miss their target, but not their deadline, become late.
        """
        yield from _take_expired(self._held, now)
        for lane in self._lanes.values():
            for queued in _take_expired(lane.on_time, now):
                self.put_late(queued, service_ms)
            yield from _take_expired(lane.late, now)

    def unblock(self, client: str) -> None:
        """Give a client its turns again."""
        for lane in self._lanes.values():
            lane.on_time.unblock(client)
            lane.late.unblock(client)

    def _queues(self) -> Iterator[FairQueue]:
        yield self._held
        for lane in self._lanes.values():
            yield from lane.queues


def _take_expired(queue: FairQueue, now: int) -> Iterable[QueuedRequest]:
    if not queue.has_due(now):
        return ()
    return iter(partial(queue.take_expired, now), None)
