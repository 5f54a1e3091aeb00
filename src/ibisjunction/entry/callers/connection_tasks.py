"""The tasks that read, serve and write for one connection."""

import asyncio
import functools
import logging
from collections.abc import Coroutine
from typing import Any

from ibisjunction.mailbox import Mailbox

_logger = logging.getLogger(__name__)


class ConnectionTasks:
    """Tasks beside that of a connection, which learns of their failures.

    Without a message, the caller would wait for ever.
    """

    def __init__(self, mailbox: Mailbox[Any]) -> None:
        """Start without tasks.

        :param mailbox: that of the connection.
        """
        self._mailbox = mailbox
        self._running: set[asyncio.Task[None]] = set()
        self._is_cancelled = False

    def start(
        self, coroutine: Coroutine[Any, Any, None], on_failure: Any
    ) -> 'asyncio.Task[None]':
        """Run a coroutine.

        :param on_failure: message that is posted if it raises an exception, or
            is cancelled by others than :meth:`cancel`.
        """
        task = asyncio.create_task(coroutine)
        self._running.add(task)
        task.add_done_callback(functools.partial(self._end, on_failure))
        return task

    def cancel(self) -> None:
        """Cancel all tasks."""
        self._is_cancelled = True
        for task in self._running:
            task.cancel()

    def _end(self, on_failure: Any, task: 'asyncio.Task[None]') -> None:
        self._running.discard(task)
        if task.cancelled():
            if not self._is_cancelled:
                _logger.error('a task of a caller was cancelled')
                self._mailbox.post(on_failure)
            return
        error = task.exception()
        if error is not None:
            _logger.error('a task of a caller failed', exc_info=error)
            self._mailbox.post(on_failure)
