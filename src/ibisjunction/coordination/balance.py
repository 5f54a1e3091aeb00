"""Decides which shards an upstream takes, and which are divided.

A grant travels only in the answer to a check-in. So shards without an owner
are taken by upstreams as they check in.
"""

from collections.abc import Iterable
from typing import Final

import xxhash

from ibisjunction.coordination.service_view import (
    FULL,
    MAX_OWNED,
    Member,
    ServiceView,
)
from ibisjunction.fleet.model import FleetState, Shard

#: Shards per upstream when the keys of a service are first divided.
_SHARDS_PER_UPSTREAM: Final = 10
#: Bounds the first division, for the size of the state.
_MAX_SHARDS: Final = 1024
#: A shard with more than this utilisation of its owner is divided.
_SPLIT_ABOVE: Final = 0.15
#: Overload that an upstream accepts for each interval of check-ins that shards
#: have been free, so that none waits for one that does not check in.
_FULLNESS_PER_INTERVAL: Final = 0.5
#: Digits to which rates of free shards are compared, in requests each second.
_RATE_DIGITS: Final = 1


def count_shards(state: FleetState, service: str) -> int:
    """Return into how many shards the keys of a service are divided first."""
    wanted = len(state.list_upstreams(service)) * _SHARDS_PER_UPSTREAM
    return max(1, min(wanted, _MAX_SHARDS))


def choose_free(
    view: ServiceView,
    taker: Member,
    reserved: Iterable[int],
    promised: Iterable[int],
    waited_intervals: float,
) -> list[int]:
    """Return the first keys of the shards that an upstream takes.

    :param reserved: first keys that other upstreams are about to take.
    :param promised: first keys that were released for this one.
    :param waited_intervals: intervals of check-ins that shards have been free.
    """
    free = _rank_free(view, frozenset(reserved), frozenset(promised))
    fullness = FULL + _FULLNESS_PER_INTERVAL * max(0, waited_intervals - 1)
    fair = view.rate * taker.capacity / view.capacity
    room = fair * fullness - view.load_on(taker)
    limit = MAX_OWNED - len(view.owned_by(taker))
    taken: list[int] = []
    for is_promised, rate, first in free:
        if len(taken) >= limit:
            break
        if is_promised:
            taken.append(first)
        elif room > 0:
            taken.append(first)
            room -= rate
    return taken


def find_large(view: ServiceView, owner: Member) -> list[Shard]:
    """Return an owner's shards that are too busy to be moved as a whole."""
    if not view.is_busy(owner):
        return []
    limit = find_split_limit(view, owner)
    return [
        view.shards[position]
        for position in view.owned_by(owner)
        if view.rates[position] > limit
        and view.shards[position].last > view.shards[position].first
    ]


def find_split_limit(view: ServiceView, owner: Member) -> float:
    """Return the requests each second above which a shard is divided."""
    mean = view.rate / view.capacity
    return max(_SPLIT_ABOVE, mean / 2) * owner.capacity


def _rank_free(
    view: ServiceView,
    reserved: frozenset[int],
    promised: frozenset[int],
) -> list[tuple[bool, float, int]]:
    """Return whether promised, rate and first key of free shards.

    Busy keys are close to one another, so shards of about the same rate are
    taken in an order that does not follow their keys.
    """
    free = [
        (shard.first in promised, rate, shard.first)
        for shard, rate in zip(view.shards, view.rates, strict=True)
        if not shard.owner and shard.first not in reserved
    ]
    return sorted(free, key=_order_free, reverse=True)


def _order_free(free: tuple[bool, float, int]) -> tuple[bool, float, int]:
    is_promised, rate, first = free
    return (is_promised, round(rate, _RATE_DIGITS), _scatter(first))


def _scatter(first: int) -> int:
    """Return a number that differs widely for neighbouring keys."""
    return xxhash.xxh3_64_intdigest(first.to_bytes(4))
