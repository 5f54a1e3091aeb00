"""The body of a request, with a bounded copy for retries."""

from typing import Final

from ibisjunction.limits import CHUNK_BYTES
from ibisjunction.mailbox import Mailbox
from ibisjunction.upstreams.messages import BodyChunk, BodyPart

#: A request with a longer body is not sent again. The first part of any body
#: fits, and so do all parts that :meth:`CopiedBody.peek` reads.
MAX_COPY_BYTES: Final = 2 * CHUNK_BYTES


class CopiedBody:
    """Reads the caller's body and copies what was read, up to a limit."""

    def __init__(
        self,
        source: Mailbox[BodyPart],
        max_copy_bytes: int = MAX_COPY_BYTES,
    ) -> None:
        """Start at the first part of the body."""
        self._source = source
        self._remaining_copy_bytes = max_copy_bytes
        self._copy: list[BodyPart] = []
        self._position = 0
        self.can_rewind = True

    async def get(self) -> BodyPart:
        """Return the next part, waiting for one."""
        if self._position < len(self._copy):
            part = self._copy[self._position]
        else:
            part = await self._source.get()
            self._copy_part(part)
        self._position += 1
        return part

    async def peek(self, max_bytes: int) -> bytes:
        """Return the first bytes, up to ``max_bytes``, without consuming them.

        The result does not depend on how the body is split into parts.
        ``max_bytes`` must be less than the size of the copy minus that of the
        largest part, so that the copy contains all parts that are read.
        """
        start = b''
        while len(start) < max_bytes:
            part = await self.get()
            if not isinstance(part, BodyChunk):
                break
            start += part.chunk
        self.rewind()
        return start[:max_bytes]

    def rewind(self) -> None:
        """Start again at the first part; only while ``can_rewind``."""
        self._position = 0

    def _copy_part(self, part: BodyPart) -> None:
        if not self.can_rewind:
            return
        if isinstance(part, BodyChunk):
            self._remaining_copy_bytes -= len(part.chunk)
        if self._remaining_copy_bytes < 0:
            self.can_rewind = False
            self._copy.clear()
            return
        self._copy.append(part)
