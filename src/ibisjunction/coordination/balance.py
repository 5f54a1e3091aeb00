"""Chooses the free shards that an upstream gets, and the shards to split.

A grant is sent only in the answer to a check-in. So shards without an owner
are assigned to upstreams as they check in.
"""

from collections.abc import Iterable, Iterator
from typing import Final

import xxhash

from ibisjunction.coordination.service_view import (
    MAX_SHARDS_PER_UPSTREAM,
    MAX_SHARE_RATIO,
    Member,
    ServiceView,
)
from ibisjunction.fleet.model import MAX_SHARDS, FleetState, Shard

#: Shards per upstream when the keys of a service are first divided.
_SHARDS_PER_UPSTREAM: Final = 10
#: Bounds the first division, to keep the replicated state small, unless there
#: are so many upstreams that some would get no keys.
_MAX_INITIAL_SHARDS: Final = 1024
_MIN_SHARDS_PER_UPSTREAM: Final = 2
#: A shard is never split while it uses less than this part of its owner's
#: capacity.
_MIN_SPLIT_UTILISATION: Final = 0.15
#: Load above its share that an upstream accepts, as a part of that share, for
#: each interval of check-ins after the first for which shards have been free.
#: Without it, shards would wait for an upstream that does not check in.
_EXTRA_LOAD_PER_INTERVAL: Final = 0.5
#: Decimal places to which the rates of free shards, in requests per second,
#: are rounded before they are ranked.
_RATE_DIGITS: Final = 1


def count_initial_shards(state: FleetState, service: str) -> int:
    """Return the number of shards into which a service is first divided."""
    upstreams = len(state.list_upstreams(service))
    return min(
        MAX_SHARDS,
        max(
            1,
            upstreams * _MIN_SHARDS_PER_UPSTREAM,
            min(upstreams * _SHARDS_PER_UPSTREAM, _MAX_INITIAL_SHARDS),
        ),
    )


def choose_free_shards(
    view: ServiceView,
    target: Member,
    reserved_for_others: Iterable[int],
    reserved_for_target: Iterable[int],
    waited_intervals: float,
) -> list[int]:
    """Return the first keys of the free shards to assign to an upstream.

    :param reserved_for_others: first keys of shards that were released
        for other upstreams.
    :param reserved_for_target: first keys of shards that were released
        for this upstream.
    :param waited_intervals: time for which shards have been free, in
        intervals of check-ins.
    """
    if not view.free:
        return []
    free = _rank_free_shards(
        view, frozenset(reserved_for_others), frozenset(reserved_for_target)
    )
    share_ratio = MAX_SHARE_RATIO + _EXTRA_LOAD_PER_INTERVAL * max(
        0, waited_intervals - 1
    )
    fair_rate = view.rate * target.capacity / view.capacity
    spare_rate = fair_rate * share_ratio - view.load_on(target)
    max_chosen = MAX_SHARDS_PER_UPSTREAM - len(view.owned_by(target))
    chosen: list[int] = []
    for is_reserved, rate, first in free:
        is_taken = is_reserved or spare_rate > 0
        if len(chosen) >= max_chosen or not is_taken:
            break
        chosen.append(first)
        if not is_reserved:
            spare_rate -= rate
    return chosen


def find_shards_to_split(view: ServiceView, owner: Member) -> list[Shard]:
    """Return an owner's shards that are too busy to be moved undivided."""
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
    """Return the requests per second above which a shard is split."""
    mean = view.rate / view.capacity
    return max(_MIN_SPLIT_UTILISATION, mean / 2) * owner.capacity


def _rank_free_shards(
    view: ServiceView,
    reserved_for_others: frozenset[int],
    reserved_for_target: frozenset[int],
) -> Iterator[tuple[bool, float, int]]:
    """Yield the free shards: reserved ones first, then the busiest ones.

    Each is described by whether it is reserved, its rate and its first key.
    """
    if reserved_for_target:
        for rate, first in _list_free(view):
            if first in reserved_for_target:
                yield True, rate, first
    excluded = reserved_for_others | reserved_for_target
    for rate, first in _list_free(view):
        if first not in excluded:
            yield False, rate, first


def _list_free(view: ServiceView) -> Iterator[tuple[float, int]]:
    """Yield the rate and the first key of the free shards, in their order."""
    if view.ranked_free is None:
        view.ranked_free = sorted(
            view.free,
            key=lambda position: _make_sort_key(
                view.rates[position], view.shards[position].first
            ),
            reverse=True,
        )
    for position in view.ranked_free:
        if position in view.free:
            yield view.rates[position], view.shards[position].first


def _make_sort_key(rate: float, first: int) -> tuple[float, int]:
    """Return the rank of a free shard; the highest goes first.

    Busy keys are close to one another, so shards of about the same rate are
    ranked by a hash of their first key and not by the key. Otherwise a busy
    range would go to one upstream as a whole.
    """
    return (round(rate, _RATE_DIGITS), _hash_first_key(first))


def _hash_first_key(first: int) -> int:
    """Return a number that differs widely between neighbouring keys."""
    return xxhash.xxh3_64_intdigest(first.to_bytes(4))
