"""Where a request carries its key, and which shard a key belongs to."""

import enum
from dataclasses import dataclass

import xxhash


class KeyPlace(enum.Enum):
    """Part of a request that carries the key."""

    PATH = 'path'
    HEADER = 'header'
    QUERY = 'query'


@dataclass(frozen=True, slots=True)
class KeySource:
    """Where to find the key.

    ``position`` counts path segments after the prefix, from 0, and applies to
    :attr:`KeyPlace.PATH`. ``name`` is the header or query argument otherwise.
    """

    place: KeyPlace
    position: int = 0
    name: str = ''


def shard_of(key: str, shards: int) -> int:
    """Return the shard of a key, 0 to ``shards`` - 1.

    xxh3 spreads short keys evenly and gives the same result on every VM.
    """
    return xxhash.xxh3_64_intdigest(key.encode()) % shards
