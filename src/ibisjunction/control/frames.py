"""Framing of the records in the files of a replica.

A frame is a header of 12 bytes and a payload. The header holds the payload's
length, the payload's CRC32C and the CRC32C of these two, each as 32 bits in
little-endian order. The header has its own checksum because a damaged length
would otherwise make all later frames look like one unfinished frame.
"""

import struct
from collections.abc import Iterator
from pathlib import Path
from typing import Final

from crc32c import crc32c

_LENGTH_AND_CHECKSUM: Final = struct.Struct('<II')
_HEADER_CHECKSUM: Final = struct.Struct('<I')
HEADER_BYTES: Final = _LENGTH_AND_CHECKSUM.size + _HEADER_CHECKSUM.size


class StorageError(Exception):
    """Files of a replica can't be used."""

    def __init__(self, path: Path, detail: str) -> None:
        """Name the file."""
        super().__init__(f'{path}: {detail}')


class FolderInUseError(StorageError):
    """Another process has the files open."""

    def __init__(self, path: Path) -> None:
        """Name the folder."""
        super().__init__(path, 'another process uses it')


class CorruptFileError(StorageError):
    """A file contains damaged data that was durable before."""

    def __init__(self, path: Path, offset: int, detail: str) -> None:
        """Name the file and the offset of the damaged record."""
        super().__init__(
            path,
            f'corrupt record at offset {offset}: {detail}; this disk can no'
            ' longer be trusted, replace this voter as one that lost its disk',
        )
        self.offset = offset


def make_frame(payload: bytes) -> bytes:
    """Return a payload with its header."""
    fields = _LENGTH_AND_CHECKSUM.pack(len(payload), crc32c(payload))
    return fields + _HEADER_CHECKSUM.pack(crc32c(fields)) + payload


def read_frames(path: Path, data: bytes) -> Iterator[tuple[int, bytes]]:
    """Yield the end offset and the payload of each frame.

    Stops at a last frame that was not written completely.

    :raises CorruptFileError: at damage that an unfinished write can't explain.
    """
    offset = 0
    while offset < len(data):
        payload = _read_frame(data, offset)
        if payload is None:
            _check_torn(path, data, offset)
            return
        offset += HEADER_BYTES + len(payload)
        yield offset, payload


def _read_frame(data: bytes, offset: int) -> bytes | None:
    length = _read_length(data, offset)
    if length is None:
        return None
    start = offset + HEADER_BYTES
    payload = data[start : start + length]
    checksum = _LENGTH_AND_CHECKSUM.unpack_from(data, offset)[1]
    if len(payload) < length or crc32c(payload) != checksum:
        return None
    return payload


def _read_length(data: bytes, offset: int) -> int | None:
    """Return the payload's length, or ``None`` without an intact header."""
    if offset + HEADER_BYTES > len(data):
        return None
    fields = data[offset : offset + _LENGTH_AND_CHECKSUM.size]
    checksum = _HEADER_CHECKSUM.unpack_from(
        data, offset + _LENGTH_AND_CHECKSUM.size
    )[0]
    if crc32c(fields) != checksum:
        return None
    length: int = _LENGTH_AND_CHECKSUM.unpack(fields)[0]
    return length


def _check_torn(path: Path, data: bytes, offset: int) -> None:
    """Raise unless the frame at an offset is the last and unfinished.

    A frame is written only after the previous one is durable. So if data
    follows a damaged frame, that frame was complete before.
    """
    if offset == 0:
        # The first frame is synced before the file gets its name.
        raise CorruptFileError(path, offset, 'the first record is damaged')
    length = _read_length(data, offset)
    if length is not None:
        if offset + HEADER_BYTES + length < len(data):
            raise CorruptFileError(path, offset, 'checksum does not match')
        return
    # The length is damaged, so the next frame may start at any later offset.
    following = range(offset + 1, len(data))
    if any(_read_frame(data, later) is not None for later in following):
        raise CorruptFileError(path, offset, 'header does not match')
