"""Admits requests to the queue of an upstream and bounds the late ones."""

import math
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from ibisjunction.dispatch.admission import (
    Late,
    OnTime,
    QueuePosition,
    Unmeetable,
    decide_admission,
)
from ibisjunction.dispatch.fairness import QueuedRequest
from ibisjunction.dispatch.messages import TicketRefused, TicketRequest
from ibisjunction.dispatch.queue import MAX_QUEUE_LENGTH, RequestQueue
from ibisjunction.outcomes import Reason
from ibisjunction.services.spec import Rank

#: Late requests that each rank may always queue, however slow the upstream is.
_MIN_LATE_REQUESTS: Final = 4


@dataclass(frozen=True, slots=True)
class Capacity:
    """The measured capacity of the upstream.

    ``limit`` is the current limit of concurrent requests. ``service_ms`` is
    the median time of a request and ``tail_ms`` the time within which 9 of 10
    end; both are 0 without measurements.
    """

    limit: int
    service_ms: int
    tail_ms: int


@dataclass(frozen=True, slots=True)
class Arrival:
    """A new request from ``vm``, and the tickets and slots in use at ``now``.

    ``client_in_flight`` counts the outstanding tickets of the client.
    """

    vm: str
    request: TicketRequest
    client_in_flight: int
    is_slot_free: bool
    now: int


def admit(
    queue: RequestQueue,
    arrival: Arrival,
    capacity: Capacity,
) -> TicketRefused | None:
    """Add a request to the queue, or return its refusal."""
    request = arrival.request
    queued = _make_queued_request(queue, arrival, capacity)
    admission = decide_admission(
        _make_queue_position(queue, arrival, capacity),
        queued.latest_start_ms - arrival.now,
        request.remaining_ms - capacity.service_ms,
    )
    match admission:
        case OnTime():
            queue.put(queued)
        case Late(wait_ms=wait_ms):
            late = queue.rank_queue(request.rank).late
            if len(late) >= _max_late_requests(queue, request.rank, capacity):
                return TicketRefused(
                    request.ticket_id,
                    Reason.QUEUE_FULL,
                    wait_ms,
                )
            queue.put_late(queued, capacity.service_ms)
        case Unmeetable(retry_after_ms=retry_after_ms):
            return TicketRefused(
                request.ticket_id,
                Reason.DEADLINE_UNMEETABLE,
                retry_after_ms,
            )
    return None


def trim_late(
    queue: RequestQueue, capacity: Capacity
) -> Iterator[QueuedRequest]:
    """Remove and return the late requests in excess of their rank's maximum."""
    for rank in queue.waiting_ranks():
        late = queue.rank_queue(rank).late
        if late.size <= _MIN_LATE_REQUESTS:
            continue
        excess = len(late) - _max_late_requests(queue, rank, capacity)
        for _ in range(excess):
            evicted = late.evict_newest()
            if evicted is not None:
                yield evicted


def _max_late_requests(
    queue: RequestQueue, rank: Rank, capacity: Capacity
) -> int:
    """Return how many late requests a rank may queue.

    That is as many as its share of the slots serves within its target; without
    measurements only the length of the whole queue is limited.
    """
    if not capacity.service_ms:
        return MAX_QUEUE_LENGTH
    share = queue.shares.expected_share(rank, queue.waiting_ranks())
    slot_time_ms = (
        queue.shares.policies[rank].target_ms * share * capacity.limit
    )
    return max(
        math.ceil(slot_time_ms / capacity.service_ms), _MIN_LATE_REQUESTS
    )


def _make_queued_request(
    queue: RequestQueue,
    arrival: Arrival,
    capacity: Capacity,
) -> QueuedRequest:
    request = arrival.request
    target_ms = queue.shares.policies[request.rank].target_ms
    effective_target_ms = min(request.remaining_ms, target_ms)
    # With a tail longer than the target every request would be late.
    assumed_service_ms = capacity.tail_ms
    if assumed_service_ms >= effective_target_ms:
        assumed_service_ms = capacity.service_ms
    return QueuedRequest(
        arrival.vm,
        request,
        latest_start_ms=(
            arrival.now + effective_target_ms - assumed_service_ms
        ),
        deadline_ms=arrival.now + request.remaining_ms,
    )


def _make_queue_position(
    queue: RequestQueue,
    arrival: Arrival,
    capacity: Capacity,
) -> QueuePosition:
    request = arrival.request
    on_time = queue.rank_queue(request.rank).on_time
    client_queued = on_time.count_queued(request.client)
    return QueuePosition(
        is_slot_free=arrival.is_slot_free,
        service_ms=capacity.service_ms,
        limit=capacity.limit,
        share=queue.shares.expected_share(request.rank, queue.waiting_ranks()),
        rank_queued=len(on_time),
        client_queued=client_queued,
        client_in_flight=arrival.client_in_flight,
        client_weight=request.weight,
        active_weight=(
            on_time.active_weight + request.weight * (client_queued == 0)
        ),
        max_in_flight=request.max_in_flight,
    )
