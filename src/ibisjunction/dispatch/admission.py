"""Decides early whether a request can be served in time."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class QueueAhead:
    """What stands before a new request of one client in one rank.

    ``share`` is the share of the ``limit`` concurrent requests that the rank
    can count on, and ``active_weight`` the sum of the weights of the clients
    that wait in the rank, with the new one.
    """

    is_slot_free: bool
    service_ms: int
    limit: int
    share: float
    rank_count: int
    client_count: int
    client_in_flight: int
    client_weight: float
    active_weight: float
    max_in_flight: int


@dataclass(frozen=True, slots=True)
class OnTime:
    """The request can start in time for its target."""


@dataclass(frozen=True, slots=True)
class Late:
    """It misses its target, but can meet its deadline."""

    wait_ms: int


@dataclass(frozen=True, slots=True)
class Unmeetable:
    """It cannot meet its deadline."""

    retry_after_ms: int


Admission = OnTime | Late | Unmeetable


def estimate_wait_ms(ahead: QueueAhead) -> int:
    """Return the time until the request starts, or 0 if nothing is known.

    The rank's queue is served at the rank's share of the slots, a client's at
    its share of the rank, and a client never has more than its number of
    requests in flight.
    """
    is_full = ahead.client_in_flight >= ahead.max_in_flight
    if ahead.is_slot_free and not ahead.rank_count and not is_full:
        return 0
    fair_count = ahead.client_count * ahead.active_weight / ahead.client_weight
    count = min(ahead.rank_count, fair_count) + 1
    by_rank = count * ahead.service_ms / (ahead.limit * ahead.share)
    by_client: float = 0
    if is_full:
        rounds = (ahead.client_count + 1) / ahead.max_in_flight
        by_client = rounds * ahead.service_ms
    return round(max(by_rank, by_client))


def decide_admission(
    ahead: QueueAhead,
    to_due_ms: int,
    to_deadline_ms: int,
) -> Admission:
    """Decide on a request.

    :param to_due_ms: time until the last start that meets the target.
    :param to_deadline_ms: time until the last start that meets the deadline.
    """
    wait_ms = estimate_wait_ms(ahead)
    if wait_ms > to_deadline_ms:
        return Unmeetable(max(1, wait_ms - max(to_deadline_ms, 0)))
    if wait_ms > to_due_ms:
        return Late(wait_ms)
    return OnTime()
