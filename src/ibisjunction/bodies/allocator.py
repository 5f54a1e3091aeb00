"""Settings of the C library's memory allocator."""

import ctypes
from typing import Final

#: ``M_MMAP_THRESHOLD`` of glibc's ``mallopt``.
_MMAP_THRESHOLD: Final = -3
#: The value with which glibc starts. It raises it, up to 32 MiB, whenever a
#: larger block is freed, unless it was set.
_LARGE_BLOCK_BYTES: Final = 131_072


def map_large_blocks() -> bool:
    """Let each large block have pages of its own, which are given back.

    Bodies that grow side by side on the heap leave gaps that are too small for
    others. The process then takes far more memory than they hold.

    :return: whether the C library has the setting; others than glibc don't.
    """
    mallopt = getattr(ctypes.CDLL(None), 'mallopt', None)
    if mallopt is None:
        return False
    return bool(mallopt(_MMAP_THRESHOLD, _LARGE_BLOCK_BYTES))
