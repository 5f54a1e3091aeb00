"""Limits of HTTP messages, in bytes."""

from typing import Final

#: Largest part of a body handled at a time, 64 KiB.
CHUNK_BYTES: Final = 65536
#: Largest body accepted, 16 GiB; bodies are streamed, never buffered whole.
MAX_BODY_BYTES: Final = 17179869184
#: Largest head of a request, 64 KiB; longer ones are refused with 431.
MAX_HEADER_BYTES: Final = 65536
