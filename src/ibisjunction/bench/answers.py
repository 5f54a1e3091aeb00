"""The content of answers, known to stand-ins and to callers."""

import functools
import hashlib
from typing import Final

_DIGESTS_KEPT: Final = 4096


def make_answer(target: str, length: int) -> bytes:
    """Return the answer to a target, so that a caller can check it whole."""
    digest = hashlib.sha256(target.encode()).digest()
    repeats = -(-length // len(digest))
    return (digest * repeats)[:length]


@functools.lru_cache(_DIGESTS_KEPT)
def digest_answer(target: str, length: int) -> str:
    """Return the SHA-256 of :func:`make_answer` in hexadecimal."""
    return hashlib.sha256(make_answer(target, length)).hexdigest()
