"""Cancels requests at upstreams when their answers are no longer needed."""

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Final

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from ibisjunction.clock import in_seconds
from ibisjunction.events import Event, log_event
from ibisjunction.mailbox import Mailbox
from ibisjunction.settings import Address
from ibisjunction.upstreams.protocol import (
    CANCEL_PATH,
    UpstreamUnreachableError,
)

_logger = logging.getLogger(__name__)

#: A cancellation that takes longer frees the slot too late to matter.
_TIMEOUT_MS: Final = 250

#: Cancels a request at an upstream; receives its ``host:port``, the id of the
#: request and the timeout in ms.
CancellationSender = Callable[[str, str, int], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class CancelAtUpstream:
    """Message that cancels a request at an upstream.

    ``was_silent`` is set if no answer arrived on the connection of the request
    in time. The call, which uses a new connection, then also shows whether new
    connections work.
    """

    address: Address
    request_id: str
    was_silent: bool


class CancellationTask:
    """Owns the calls that cancel requests; they run concurrently."""

    def __init__(self, send: CancellationSender) -> None:
        """Use ``send`` to call upstreams."""
        self._send = send
        self._tasks: set[asyncio.Task[None]] = set()
        self.mailbox: Mailbox[Any] = Mailbox()

    async def run(self) -> None:
        """Start a call for each message until cancelled."""
        try:
            while True:
                self._start(await self.mailbox.get())
        finally:
            for task in self._tasks:
                task.cancel()

    def _start(self, cancellation: CancelAtUpstream) -> None:
        task = asyncio.create_task(
            self._cancel(cancellation),
            name=f'cancel {cancellation.request_id}',
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _cancel(self, cancellation: CancelAtUpstream) -> None:
        is_reached = False
        with contextlib.suppress(UpstreamUnreachableError):
            await self._send(
                str(cancellation.address), cancellation.request_id, _TIMEOUT_MS
            )
            is_reached = True
        if cancellation.was_silent and is_reached:
            event = Event.CONNECTION_SILENT
        elif is_reached:
            event = Event.CANCELLED_AT_UPSTREAM
        else:
            event = Event.CANCELLATION_FAILED
        log_event(
            _logger,
            event,
            address=cancellation.address,
            request=cancellation.request_id,
        )


async def send_cancellation(
    address: str, request_id: str, timeout_ms: int
) -> None:
    """Cancel a request at the upstream at ``host:port``.

    The call opens a new connection, because that of the request may be dead.

    :raises UpstreamUnreachableError: without an answer in time.
    """
    request = HTTPRequest(
        f'http://{address}{CANCEL_PATH}{request_id}',
        method='POST',
        body=b'',
        connect_timeout=in_seconds(timeout_ms),
        request_timeout=in_seconds(timeout_ms),
    )
    try:
        await AsyncHTTPClient().fetch(request, raise_error=False)
    except (HTTPClientError, OSError) as error:
        raise UpstreamUnreachableError(f'{address}: {error}') from error
