"""Mailboxes and the lifetime of tasks.

A task owns its sockets and its state. Other tasks reach it only by putting a
message into its mailbox.
"""

import asyncio
import contextlib
import functools
import logging
from collections.abc import AsyncIterator, Coroutine
from typing import Any, Generic, TypeVar

_Message = TypeVar('_Message')
_Result = TypeVar('_Result')

_logger = logging.getLogger(__name__)


class Mailbox(Generic[_Message]):
    """A queue of messages with one reader.

    :param capacity: number of queued messages at which :meth:`put` waits; 0
        means no bound.
    """

    def __init__(self, capacity: int = 0) -> None:
        """Create an empty mailbox."""
        self._queue: asyncio.Queue[_Message] = asyncio.Queue()
        self._capacity = capacity
        self._has_room = asyncio.Event()
        self._has_room.set()
        self._is_closed = False

    @property
    def is_empty(self) -> bool:
        """Whether no message is queued."""
        return self._queue.empty()

    def post(self, message: _Message) -> None:
        """Add a message without waiting, even to a full mailbox."""
        if self._is_closed:
            return
        self._queue.put_nowait(message)
        self._update_room()

    async def put(self, message: _Message) -> None:
        """Add a message, waiting while the mailbox is full."""
        await self._has_room.wait()
        self.post(message)

    async def get(self) -> _Message:
        """Remove and return the oldest message, waiting for one."""
        message = await self._queue.get()
        self._update_room()
        return message

    def take_queued(self) -> list[_Message]:
        """Remove and return all queued messages without waiting."""
        messages = []
        while not self._queue.empty():
            messages.append(self._queue.get_nowait())
        self._update_room()
        return messages

    def close(self) -> None:
        """Drop all queued and later messages, and release waiting senders."""
        self._is_closed = True
        while not self._queue.empty():
            self._queue.get_nowait()
        self._has_room.set()

    def _update_room(self) -> None:
        if self._capacity and self._queue.qsize() >= self._capacity:
            self._has_room.clear()
        else:
            self._has_room.set()


@contextlib.asynccontextmanager
async def run_task(
    coroutine: Coroutine[Any, Any, _Result],
    name: str,
    failed: asyncio.Event | None = None,
) -> AsyncIterator['asyncio.Task[_Result]']:
    """Run a coroutine as a task for the duration of the block.

    A task that ends with an exception is logged when it happens, and sets
    ``failed``. On exit the task is cancelled and awaited.
    """
    task = asyncio.create_task(coroutine, name=name)
    task.add_done_callback(functools.partial(_report_failure, failed))
    try:
        yield task
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def _report_failure(
    failed: asyncio.Event | None,
    task: 'asyncio.Task[Any]',
) -> None:
    error = None if task.cancelled() else task.exception()
    if error is None:
        return
    _logger.error('task %s failed', task.get_name(), exc_info=error)
    if failed is not None:
        failed.set()
