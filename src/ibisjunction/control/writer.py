"""Makes a replica's writes durable without blocking its message handling."""

import asyncio
import errno
import logging
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Any, Final, Protocol

from ibisjunction.clock import in_seconds
from ibisjunction.control.effects import (
    SnapshotTaken,
    Write,
    WritesCompleted,
)
from ibisjunction.control.protocol import (
    Entry,
    Snapshot,
    Voters,
)
from ibisjunction.control.storage import ReplaceLog
from ibisjunction.events import Event, log_event
from ibisjunction.mailbox import Mailbox

_logger = logging.getLogger(__name__)

#: Entries before a snapshot that stay in memory for followers that lag.
RETAINED_ENTRIES: Final = 500

_DISK_FULL_ERRNOS: Final = frozenset((errno.ENOSPC, errno.EDQUOT))
#: Interval at which a write to a full disk is tried again.
_DISK_FULL_RETRY_MS: Final = 200

RunBlocking = Callable[..., Awaitable[Any]]


class LogStore(Protocol):
    """A replica's files; each call blocks until its data is durable."""

    def write(self, writes: Iterable[Write]) -> None:
        """Make writes durable, in their order."""

    def replace(self, change: ReplaceLog) -> None:
        """Replace the log by a snapshot and the entries after it."""


@dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Requests a snapshot of the applied state; ``encode`` returns its bytes.

    ``encode`` is called in a worker thread, so the state that it encodes must
    not change. ``entries`` are the entries after the snapshot.
    """

    index: int
    term: int
    voters: Voters
    encode: Callable[[], bytes]
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class StorageFailed:
    """Sent to the owner of the replica: no later write becomes durable."""


class StorageTask:
    """Owns the files of a replica; ``owner`` receives the results.

    All writes that are waiting are synced together.
    """

    def __init__(
        self,
        store: LogStore,
        owner: Mailbox[Any],
        run_blocking: RunBlocking = asyncio.to_thread,
    ) -> None:
        """Prepare the task."""
        self._store = store
        self._owner = owner
        self._run_blocking = run_blocking
        self.mailbox: Mailbox[Any] = Mailbox()

    async def run(self) -> None:
        """Perform writes until cancelled or until one fails."""
        try:
            while True:
                await self._write_waiting(await self.mailbox.get())
        except OSError as error:
            # After a failed sync the kernel may have dropped the data, so
            # trying again could report success for data that is lost.
            log_event(
                _logger,
                Event.STORAGE_FAILED,
                logging.CRITICAL,
                error=error,
            )
            self.mailbox.close()
            self._owner.post(StorageFailed())

    async def _write_waiting(self, first: Any) -> None:
        items = [first, *self.mailbox.take_queued()]
        writes: list[Write] = []
        for item in items:
            match item:
                case SaveSnapshot():
                    await self._write(writes)
                    writes = []
                    await self._save(item)
                case _:
                    writes.append(item)
        await self._write(writes)

    async def _write(self, writes: list[Write]) -> None:
        if writes:
            await self._persist(self._store.write, writes)
            self._owner.post(WritesCompleted(writes[-1].number))

    async def _save(self, item: SaveSnapshot) -> None:
        encoded = await self._run_blocking(item.encode)
        snapshot = Snapshot(item.index, item.term, item.voters, encoded)
        change = ReplaceLog(snapshot, item.entries)
        await self._persist(self._store.replace, change)
        self._owner.post(SnapshotTaken(snapshot, RETAINED_ENTRIES))

    async def _persist(self, write: Callable[[Any], None], data: Any) -> None:
        """Repeat a write while the disk is full.

        A write that failed for a full disk is not acknowledged, and a repeat
        replaces what it left behind.
        """
        while not await self._try_write(write, data):
            await asyncio.sleep(in_seconds(_DISK_FULL_RETRY_MS))

    async def _try_write(
        self,
        write: Callable[[Any], None],
        data: Any,
    ) -> bool:
        """Write, and return whether there was enough space on the disk."""
        try:
            await self._run_blocking(write, data)
        except OSError as error:
            if error.errno not in _DISK_FULL_ERRNOS:
                raise
            log_event(
                _logger,
                Event.STORAGE_FULL,
                logging.ERROR,
                error=error,
            )
            return False
        return True
