"""Decides on arrival whether a request can be served in time."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class QueuePosition:
    """The queue position of a new request of one client in one rank.

    ``rank_queued`` counts the queued requests of the rank that can still meet
    their target, and ``client_queued`` those of them that belong to the
    client.

    ``service_ms`` is the median service time, and ``limit`` the limit of
    concurrent requests at the upstream. ``share`` is the share of the limit
    that the rank is expected to get. ``active_weight`` is the sum of the
    weights of the clients that wait in the rank, with the new one.
    """

    is_slot_free: bool
    service_ms: int
    limit: int
    share: float
    rank_queued: int
    client_queued: int
    client_in_flight: int
    client_weight: float
    active_weight: float
    max_in_flight: int


@dataclass(frozen=True, slots=True)
class OnTime:
    """The request can start in time for its target."""


@dataclass(frozen=True, slots=True)
class Late:
    """The request misses its target but can meet its deadline."""

    wait_ms: int


@dataclass(frozen=True, slots=True)
class Unmeetable:
    """The request cannot meet its deadline.

    ``retry_after_ms`` is the time by which the estimated wait is too long.
    """

    retry_after_ms: int


Admission = OnTime | Late | Unmeetable


def estimate_wait_ms(position: QueuePosition) -> int:
    """Return the time until the request starts, 0 without measurements.

    The estimate assumes that a rank is served at its share of the slots and
    a client at its share of the rank, and that a client has at most
    ``max_in_flight`` requests in flight.
    """
    is_client_at_limit = position.client_in_flight >= position.max_in_flight
    if (
        position.is_slot_free
        and not position.rank_queued
        and not is_client_at_limit
    ):
        return 0
    # Clients get turns in proportion to their weights, so there are
    # active_weight / client_weight turns of the rank for each of this client.
    turns_by_weight = (
        position.client_queued * position.active_weight / position.client_weight
    )
    turns = min(position.rank_queued, turns_by_weight) + 1
    rank_wait_ms = (
        turns * position.service_ms / (position.limit * position.share)
    )
    client_wait_ms: float = 0
    if is_client_at_limit:
        rounds = (position.client_queued + 1) / position.max_in_flight
        client_wait_ms = rounds * position.service_ms
    return round(max(rank_wait_ms, client_wait_ms))


def decide_admission(
    position: QueuePosition,
    target_slack_ms: int,
    deadline_slack_ms: int,
) -> Admission:
    """Classify a request by the estimated wait.

    :param target_slack_ms: time until the last start that meets the target.
    :param deadline_slack_ms: time until the last start that meets the deadline.
    """
    wait_ms = estimate_wait_ms(position)
    if wait_ms > deadline_slack_ms:
        return Unmeetable(max(1, wait_ms - max(deadline_slack_ms, 0)))
    if wait_ms > target_slack_ms:
        return Late(wait_ms)
    return OnTime()
