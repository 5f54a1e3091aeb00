"""The body of a request, with a bounded copy for another attempt."""

from typing import Final

from ibisjunction.limits import CHUNK_BYTES
from ibisjunction.mailbox import Mailbox
from ibisjunction.upstreams.messages import BodyChunk, BodyPart

#: A request whose body is longer is not sent a second time. The first part of
#: any body fits.
COPY_BYTES: Final = 2 * CHUNK_BYTES


class CopiedBody:
    """Reads the caller's body and keeps what was read, up to a limit."""

    def __init__(
        self,
        source: Mailbox[BodyPart],
        limit: int = COPY_BYTES,
    ) -> None:
        """Start at the first part of the body."""
        self._source = source
        self._limit = limit
        self._copy: list[BodyPart] = []
        self._position = 0
        self.can_rewind = True

    async def get(self) -> BodyPart:
        """Return the next part, waiting for one."""
        if self._position < len(self._copy):
            part = self._copy[self._position]
        else:
            part = await self._source.get()
            self._keep(part)
        self._position += 1
        return part

    async def peek(self, limit: int) -> bytes:
        """Return the first bytes, up to ``limit``, and leave the body whole.

        The result does not depend on how the body arrived in parts. The limit
        must be less than that of the copy minus the largest part.
        """
        start = b''
        while len(start) < limit:
            part = await self.get()
            if not isinstance(part, BodyChunk):
                break
            start += part.chunk
        self.rewind()
        return start[:limit]

    def rewind(self) -> None:
        """Start again at the first part; only while ``can_rewind``."""
        self._position = 0

    def _keep(self, part: BodyPart) -> None:
        if not self.can_rewind:
            return
        if isinstance(part, BodyChunk):
            self._limit -= len(part.chunk)
        if self._limit < 0:
            self.can_rewind = False
            self._copy.clear()
            return
        self._copy.append(part)
