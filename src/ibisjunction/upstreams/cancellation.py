"""Tells upstreams that nobody waits for a request any more."""

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

#: Calls an upstream at an address to cancel a request, within a time in ms.
CancelCaller = Callable[[str, str, int], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class CancelAtUpstream:
    """Asks for the cancellation of a request at an upstream.

    ``was_silent`` is set if the connection of the request stopped answering;
    the call then also shows whether new connections work.
    """

    address: Address
    request_id: str
    was_silent: bool


class CancellationTask:
    """Owns the calls that cancel requests; they run side by side."""

    def __init__(self, call: CancelCaller) -> None:
        """Use ``call`` to reach upstreams."""
        self._call = call
        self._calls: set[asyncio.Task[None]] = set()
        self.mailbox: Mailbox[Any] = Mailbox()

    async def run(self) -> None:
        """Start a call for each message until cancelled."""
        try:
            while True:
                self._start(await self.mailbox.get())
        finally:
            for call in self._calls:
                call.cancel()

    def _start(self, ask: CancelAtUpstream) -> None:
        call = asyncio.create_task(
            self._cancel(ask),
            name=f'cancel {ask.request_id}',
        )
        self._calls.add(call)
        call.add_done_callback(self._calls.discard)

    async def _cancel(self, ask: CancelAtUpstream) -> None:
        is_reached = False
        with contextlib.suppress(UpstreamUnreachableError):
            await self._call(str(ask.address), ask.request_id, _TIMEOUT_MS)
            is_reached = True
        if ask.was_silent and is_reached:
            event = Event.CONNECTION_SILENT
        elif is_reached:
            event = Event.CANCELLED_AT_UPSTREAM
        else:
            event = Event.CANCELLATION_FAILED
        log_event(
            _logger,
            event,
            address=ask.address,
            request=ask.request_id,
        )


async def call_cancel(address: str, request_id: str, timeout_ms: int) -> None:
    """Cancel a request at the upstream at ``host:port``.

    The call uses a connection of its own.

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
