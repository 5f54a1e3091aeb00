"""Waits of a request for the link, before it asks for its ticket.

A request with a large body or answer holds a slot of an upstream only when the
link can soon pass it.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any

from ibisjunction.clock import Clock
from ibisjunction.entry.dispatching.dispatch import Grant, Refuse
from ibisjunction.entry.link.model import AskNow, ExpectedAnswer, TooLate
from ibisjunction.entry.link.transfers import BulkTransfer
from ibisjunction.entry.model import Reason, RoutedRequest
from ibisjunction.entry.serving.trail import Trail
from ibisjunction.events import Event
from ibisjunction.mailbox import Mailbox, run_task


class LinkWait:
    """Where one request waits; it is refused meanwhile as others are."""

    def __init__(
        self,
        waiting: dict[Mailbox[Grant | Refuse], RoutedRequest],
        routed: RoutedRequest,
        clock: Clock,
        trail: Trail,
    ) -> None:
        """Wait for nothing yet.

        :param waiting: the requests that a shutdown may refuse, by where they
            get the decision.
        """
        self._waiting = waiting
        self._routed = routed
        self._clock = clock
        self._trail = trail

    async def start_body(self, transfer: BulkTransfer) -> Refuse | None:
        """Wait until the link can soon pass the body, or it is refused."""
        size = len(self._routed.request.body)
        if size <= transfer.piece_bytes:
            return None
        return await self._wait(transfer.start(size), Event.BODY_STARTED, size)

    async def ask_for_answer(
        self, transfer: BulkTransfer, answer: ExpectedAnswer
    ) -> Refuse | None:
        """Wait until the link can soon pass the answer, or it is refused."""
        if answer.size <= transfer.piece_bytes:
            return None
        return await self._wait(
            _ask(transfer, answer), Event.ANSWER_ASKED, answer.size
        )

    async def _wait(
        self,
        start: Coroutine[Any, Any, Refuse | None],
        event: Event,
        size: int,
    ) -> Refuse | None:
        started_ms = self._clock.now()
        reply: Mailbox[Grant | Refuse] = Mailbox()
        self._waiting[reply] = self._routed
        try:
            async with run_task(start, 'wait for the link') as link_wait:
                decision = await _wait_for_either(link_wait, reply)
        finally:
            self._waiting.pop(reply, None)
        now = self._clock.now()
        self._trail.add(event, now, size=size, waited_ms=now - started_ms)
        return decision if isinstance(decision, Refuse) else None


async def _ask(transfer: BulkTransfer, answer: ExpectedAnswer) -> Refuse | None:
    match await transfer.ask(answer):
        case TooLate(retry_after_ms=retry_after_ms):
            return Refuse(Reason.LINK_FULL, retry_after_ms)
        case AskNow():
            return None


async def _wait_for_either(
    link_wait: 'asyncio.Task[Refuse | None]', reply: Mailbox[Grant | Refuse]
) -> Grant | Refuse | None:
    """Wait for the link; return a decision that comes before, or its own."""
    decision = asyncio.create_task(reply.get())
    try:
        await asyncio.wait(
            (link_wait, decision), return_when=asyncio.FIRST_COMPLETED
        )
        return decision.result() if decision.done() else link_wait.result()
    finally:
        decision.cancel()
