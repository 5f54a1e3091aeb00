"""Runs a request and, if its answer is slow, a second attempt beside it."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Coroutine
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Protocol, TypeVar

from ibisjunction.clock import Clock, in_seconds
from ibisjunction.entry.hedging.counts import HedgeResult
from ibisjunction.entry.hedging.policy import (
    HedgeAt,
    HedgeCandidate,
    HedgePolicy,
)
from ibisjunction.entry.model import (
    Answered,
    Failed,
    Outcome,
    Refused,
    RoutedRequest,
)
from ibisjunction.entry.serving.trail import Trail
from ibisjunction.events import Event
from ibisjunction.fleet.model import ProcessKey
from ibisjunction.mailbox import Mailbox

_Result = TypeVar('_Result')


@dataclass(frozen=True, slots=True)
class AttemptSent:
    """An attempt was sent to a process of an upstream at ``sent_ms``."""

    process: ProcessKey
    sent_ms: int
    attempts: int


class AttemptRunner(Protocol):
    """Serves a request, and tells when it sends it."""

    sent: Mailbox[AttemptSent]
    attempts: int

    async def run(self) -> Outcome:
        """Send the request until it has a final outcome."""

    def make_timeout_outcome(self) -> Outcome:
        """Return the outcome of a request that has timed out."""


class Hedge:
    """The race between the attempts of one request.

    The first successful answer counts. The other attempt is cancelled, which
    closes its connection, so that its upstream stops working on it.
    """

    def __init__(
        self,
        policy: HedgePolicy,
        clock: Clock,
        routed: RoutedRequest,
        trail: Trail,
        first: AttemptRunner,
        make_second: Callable[[ProcessKey], AttemptRunner],
        try_acquire_retry: Callable[[int], bool],
    ) -> None:
        """Prepare the race; nothing is sent before :meth:`run`.

        :param make_second: returns the second attempt, which avoids a process
            of an upstream.
        :param try_acquire_retry: takes a retry from the shared budget.
        """
        self._policy = policy
        self._clock = clock
        self._routed = routed
        self._trail = trail
        self._first = first
        self._second: AttemptRunner | None = None
        self._make_second = make_second
        self._try_acquire_retry = try_acquire_retry

    async def run(self) -> Outcome:
        """Return the outcome of the request."""
        async with _own_tasks() as tasks:
            first = tasks.start(self._first.run())
            second = await self._start_second(first, tasks)
            if second is None:
                return await first
            await asyncio.wait(
                {first, second}, return_when=asyncio.FIRST_COMPLETED
            )
            if not first.done():
                outcome = second.result()
                if _is_success(outcome):
                    self._record_win()
                    return outcome
            return await self._finish(first, second)

    def make_timeout_outcome(self) -> Outcome:
        """Return the outcome of both attempts when the time is over."""
        outcome = self._first.make_timeout_outcome()
        if self._second is None:
            return outcome
        return _combine(outcome, self._second.make_timeout_outcome())

    async def _start_second(
        self, first: 'asyncio.Task[Outcome]', tasks: '_Tasks'
    ) -> 'asyncio.Task[Outcome] | None':
        """Start the second attempt once the first one is slow."""
        sent_reader = tasks.start(self._first.sent.get())
        await asyncio.wait(
            {first, sent_reader}, return_when=asyncio.FIRST_COMPLETED
        )
        if first.done():
            return None
        sent = sent_reader.result()
        decision = self._policy.decide(
            self._make_candidate(sent), self._clock.now()
        )
        if not isinstance(decision, HedgeAt):
            return None
        wait_ms = max(0, decision.due_ms - self._clock.now())
        await asyncio.wait({first}, timeout=in_seconds(wait_ms))
        if first.done() or not self._may_start(sent):
            return None
        # The route's limit on attempts holds for both attempts together.
        self._first.attempts += 1
        self._second = self._make_second(sent.process)
        return tasks.start(self._second.run())

    def _make_candidate(self, sent: AttemptSent) -> HedgeCandidate:
        route = self._routed.named_route.route
        return HedgeCandidate(
            self._routed.service,
            route.kind,
            self._routed.is_sharded,
            len(self._routed.request.body),
            sent.attempts,
            route.max_attempts,
            sent.sent_ms,
            self._routed.give_up_ms,
        )

    def _may_start(self, sent: AttemptSent) -> bool:
        """Return whether the limits allow a second attempt, and count it."""
        now = self._clock.now()
        service = self._routed.service
        # The limit is checked first: a hedge that it refuses must not use up
        # the budget that retries after failures need.
        is_allowed = self._policy.try_spend(
            service, now
        ) and self._try_acquire_retry(now)
        self._trail.hedge = (
            HedgeResult.STARTED if is_allowed else HedgeResult.REFUSED
        )
        self._trail.add(
            Event.REQUEST_HEDGED,
            now,
            waited_ms=now - sent.sent_ms,
            is_allowed=is_allowed,
        )
        return is_allowed

    async def _finish(
        self,
        first: 'asyncio.Task[Outcome]',
        second: 'asyncio.Task[Outcome]',
    ) -> Outcome:
        """Return the outcome once the first attempt decides, or both."""
        outcome = await first
        if _is_success(outcome):
            return outcome
        second_outcome = await second
        if _is_success(second_outcome):
            self._record_win()
            return second_outcome
        return _combine(outcome, second_outcome)

    def _record_win(self) -> None:
        """Record that the second attempt has answered."""
        self._trail.hedge = HedgeResult.WON
        self._trail.add(Event.HEDGE_WON, self._clock.now())


def _is_success(outcome: Outcome) -> bool:
    return (
        isinstance(outcome, Answered)
        and outcome.status < HTTPStatus.MULTIPLE_CHOICES
    )


def _combine(first: Outcome, second: Outcome) -> Outcome:
    """Return the outcome of a request that no attempt has answered well.

    A refusal says that the request has not run, so it must be true of both.
    """
    match first, second:
        case Refused(reason=reason), Failed(verdict=verdict):
            return Failed(reason, verdict)
        case _:
            return first


class _Tasks:
    """Tasks that end with the block that owns them."""

    def __init__(self) -> None:
        self.running: list[asyncio.Task[Any]] = []

    def start(
        self, coroutine: Coroutine[Any, Any, _Result]
    ) -> 'asyncio.Task[_Result]':
        """Run a coroutine until the block ends."""
        task = asyncio.create_task(coroutine)
        self.running.append(task)
        return task


@contextlib.asynccontextmanager
async def _own_tasks() -> AsyncIterator[_Tasks]:
    """Provide tasks that are cancelled and awaited at the end of the block."""
    tasks = _Tasks()
    try:
        yield tasks
    finally:
        for task in tasks.running:
            task.cancel()
        await asyncio.gather(*tasks.running, return_exceptions=True)
