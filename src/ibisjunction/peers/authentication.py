"""Authenticates messages between daemons with shared keys.

Each message carries a keyed BLAKE2b tag. Two keys may be valid at a time, so
that keys are rotated without downtime: the first one signs, both verify.
"""

import hashlib
import hmac
from typing import Final

from ibisjunction.settings import AuthKey

_TAG_BYTES: Final = 16
#: BLAKE2b accepts keys of up to 64 bytes; longer secrets are truncated.
_MAX_KEY_BYTES: Final = 64


class Authenticator:
    """Signs with the first key and verifies with any."""

    def __init__(self, keys: tuple[AuthKey, ...]) -> None:
        """Store the keys; ``keys`` must not be empty."""
        self._signing_key = keys[0]
        self._keys = {key.key_id: key for key in keys}

    @property
    def key_id(self) -> str:
        """Name of the key that signs."""
        return self._signing_key.key_id

    def sign(self, payload: bytes) -> bytes:
        """Return the tag of a payload."""
        return _compute_tag(self._signing_key, payload)

    def verify(self, key_id: str, payload: bytes, tag: bytes) -> bool:
        """Return whether the tag was made with the named key."""
        key = self._keys.get(key_id)
        if key is None:
            return False
        return hmac.compare_digest(_compute_tag(key, payload), tag)


def _compute_tag(key: AuthKey, payload: bytes) -> bytes:
    return hashlib.blake2b(
        payload,
        digest_size=_TAG_BYTES,
        key=key.secret[:_MAX_KEY_BYTES],
    ).digest()
