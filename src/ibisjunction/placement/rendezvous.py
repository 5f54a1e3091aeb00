"""Weighted rendezvous hashing.

Each shard goes to the candidate with the highest score. A change of one
candidate's weight moves shards only to or from that candidate.
"""

import math
from typing import Final

import xxhash

_HASH_BITS: Final = 64
_HASH_RANGE: Final = 1 << _HASH_BITS


def score_candidate(subject: str, candidate: str, weight: float) -> float:
    """Return a candidate's score for a subject; the highest score wins."""
    digest = xxhash.xxh3_64_intdigest(f'{candidate}/{subject}'.encode())
    uniform = (digest + 1) / (_HASH_RANGE + 1)
    return -weight / math.log(uniform)
