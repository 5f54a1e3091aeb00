"""Answer bodies, derived from the target so that callers can verify them."""

import functools
import hashlib
from typing import Final

_CACHED_DIGESTS: Final = 4096


def make_answer(target: str, length: int) -> bytes:
    """Return the answer body of a target: its repeated SHA-256 digest."""
    digest = hashlib.sha256(target.encode()).digest()
    repeats = -(-length // len(digest))
    return (digest * repeats)[:length]


@functools.lru_cache(_CACHED_DIGESTS)
def digest_answer(target: str, length: int) -> str:
    """Return the SHA-256 of :func:`make_answer` in hexadecimal."""
    return hashlib.sha256(make_answer(target, length)).hexdigest()
