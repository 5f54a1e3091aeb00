"""Compresses large encoded values that are stored and sent to many VMs."""

import zlib
from typing import Final

#: Smaller values gain little.
_MIN_BYTES: Final = 1024
#: The fastest level. On a list of routes, level 6 takes three times as long and
#: its result is as large.
_LEVEL: Final = 1
#: First byte of a zlib stream. Our encoded values are MessagePack arrays and
#: maps, which never begin with it.
_FIRST_BYTE: Final = 0x78


class CompressionError(Exception):
    """The bytes are not a complete zlib stream."""


def compress(encoded: bytes) -> bytes:
    """Return an encoded value, compressed if it is large.

    :param encoded: a MessagePack array or map.
    """
    if len(encoded) < _MIN_BYTES:
        return encoded
    return zlib.compress(encoded, _LEVEL)


def decompress(stored: bytes) -> bytes:
    """Return the encoded value that :func:`compress` was given.

    Values that were stored before large ones were compressed are returned
    unchanged.

    :raises CompressionError: if a compressed value is damaged.
    """
    if not stored or stored[0] != _FIRST_BYTE:
        return stored
    try:
        return zlib.decompress(stored)
    except zlib.error as error:
        raise CompressionError(str(error)) from error
