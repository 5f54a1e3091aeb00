"""The task of one request."""

import asyncio
import itertools
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, Final, Protocol

from ibisjunction.clock import Clock, in_seconds
from ibisjunction.dispatch.messages import TicketResult
from ibisjunction.mailbox import Mailbox
from ibisjunction.outcomes import (
    Answered,
    Failed,
    Outcome,
    Reason,
    Refused,
)
from ibisjunction.routing.attempts import (
    AttemptState,
    GiveUp,
    RetryAfter,
    decide_retry,
)
from ibisjunction.routing.messages import (
    AbandonTicket,
    FindRoute,
    ObtainTicket,
    ReturnTicket,
    TicketHeld,
)
from ibisjunction.routing.results import judge_outcome
from ibisjunction.services.catalog import RequestHead, RouteMatch
from ibisjunction.upstreams.messages import (
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    AnswerPart,
    BodyPart,
    Exchange,
    ExchangeFailed,
    HeaderList,
)
from ibisjunction.upstreams.pool import ConnectionPool
from ibisjunction.upstreams.protocol import (
    DEADLINE_HEADER,
    EPOCH_HEADER,
    FENCE_HEADER,
    REQUEST_ID_HEADER,
    SHARD_HEADER,
)
from ibisjunction.verdict import VERDICT_HEADER, Verdict, parse_verdict

#: Parts of an answer kept between the upstream's and the caller's connection;
#: with chunks of 64 KiB this bounds the memory of one download to 256 KiB.
_PARTS_IN_FLIGHT: Final = 4

CLIENT_HEADER: Final = 'Ibis-Client'
TIMEOUT_HEADER: Final = 'Request-Timeout-Ms'
#: Hop-by-hop headers and those the system sets itself.
_NOT_FORWARDED: Final = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'expect',
        SHARD_HEADER.lower(),
        FENCE_HEADER.lower(),
        EPOCH_HEADER.lower(),
        REQUEST_ID_HEADER.lower(),
        DEADLINE_HEADER.lower(),
        VERDICT_HEADER.lower(),
    )
)


class Caller(Protocol):
    """The caller's end of a request."""

    async def send_head(self, head: AnswerHead, request_id: str) -> None:
        """Send status and headers."""

    async def send_chunk(self, chunk: bytes) -> None:
        """Send a part of the body, waiting while the caller is slow."""

    def finish(self) -> None:
        """End the answer."""

    def abort(self) -> None:
        """Close the connection, so that a partial answer is not taken whole."""


@dataclass(slots=True)
class CallerRequest:
    """A request as it arrived.

    ``has_body`` says whether body parts follow in ``body``, and ``sent`` counts
    the attempts that were sent.
    """

    request_id: str
    head: RequestHead
    headers: HeaderList
    has_body: bool
    body: Mailbox[BodyPart]
    caller: Caller
    attempts: 'itertools.count[int]' = field(default_factory=itertools.count)
    sent: int = 0


@dataclass(frozen=True, slots=True)
class RequestContext:
    """What the tasks of all requests share."""

    clock: Clock
    routing: Mailbox[Any]
    pool: ConnectionPool
    random: random.Random


async def route_request(
    context: RequestContext,
    request: CallerRequest,
) -> Outcome:
    """Serve a request and return its outcome.

    An answer, whole or not, has been passed to the caller. A refusal or a
    failure before the answer's head has not; the HTTP front end sends it.
    """
    reply: Mailbox[Any] = Mailbox()
    context.routing.post(FindRoute(request.head, reply))
    match await reply.get():
        case RouteMatch() as route:
            return await _route_until_deadline(context, request, route)
        case Refused() as refused:
            return refused
    raise AssertionError('a route is a match or a refusal')


async def _route_until_deadline(
    context: RequestContext,
    request: CallerRequest,
    route: RouteMatch,
) -> Outcome:
    timeout_ms = _read_timeout(request.head, route)
    if timeout_ms is None:
        return Refused(
            Reason.BAD_HEADER,
            f'{TIMEOUT_HEADER}: expected a positive number of milliseconds',
        )
    deadline_ms = context.clock.now() + timeout_ms
    while True:
        attempt = next(request.attempts)
        outcome = await _attempt(context, request, route, deadline_ms, attempt)
        decision = decide_retry(
            outcome,
            AttemptState(
                attempt=attempt,
                idempotent=route.operation.idempotent,
                can_repeat=not request.has_body or _is_unsent(outcome),
                remaining_ms=deadline_ms - context.clock.now(),
                jitter=context.random.random(),
            ),
        )
        match decision:
            case GiveUp(outcome=final):
                return final
            case RetryAfter(delay_ms=delay_ms):
                await asyncio.sleep(in_seconds(delay_ms))


def _is_unsent(outcome: Outcome) -> bool:
    return isinstance(outcome, Refused)


def _read_timeout(head: RequestHead, route: RouteMatch) -> int | None:
    text = head.headers.get(TIMEOUT_HEADER)
    if text is None:
        return route.operation.timeout_ms
    if not text.isdecimal() or int(text) == 0:
        return None
    return min(int(text), route.operation.timeout_ms)


async def _attempt(
    context: RequestContext,
    request: CallerRequest,
    route: RouteMatch,
    deadline_ms: int,
    attempt: int,
) -> Outcome:
    ticket_id = f'{request.request_id}.{attempt}'
    reply: Mailbox[Any] = Mailbox()
    context.routing.post(
        ObtainTicket(
            ticket_id,
            route,
            request.head.headers.get(CLIENT_HEADER, ''),
            deadline_ms,
            reply,
            request.sent,
        ),
    )
    async with _ticket(context, ticket_id) as use:
        remaining_ms = max(0, deadline_ms - context.clock.now())
        try:
            async with asyncio.timeout(in_seconds(remaining_ms)):
                answer = await reply.get()
        except TimeoutError:
            return Refused(Reason.DEADLINE_PASSED)
        if isinstance(answer, Refused):
            return answer
        exchange = _build_exchange(request, route, answer, deadline_ms, context)
        request.sent += 1
        use.started_ms = context.clock.now()
        use.outcome = Failed(Reason.CALLER_GONE)
        use.outcome = await _exchange(
            context,
            request,
            answer,
            exchange,
            deadline_ms,
        )
        return use.outcome


@dataclass(slots=True)
class _TicketUse:
    started_ms: int = 0
    outcome: Outcome | None = None


@asynccontextmanager
async def _ticket(
    context: RequestContext,
    ticket_id: str,
) -> AsyncIterator[_TicketUse]:
    """Give the ticket back at the end of the block, used or not."""
    use = _TicketUse()
    try:
        yield use
    finally:
        if use.outcome is None:
            context.routing.post(AbandonTicket(ticket_id))
        else:
            context.routing.post(
                ReturnTicket(
                    ticket_id,
                    TicketResult(
                        judge_outcome(use.outcome),
                        context.clock.now() - use.started_ms,
                    ),
                ),
            )


def _build_exchange(
    request: CallerRequest,
    route: RouteMatch,
    ticket: TicketHeld,
    deadline_ms: int,
    context: RequestContext,
) -> Exchange:
    remaining_ms = max(0, deadline_ms - context.clock.now())
    own_headers = (
        (SHARD_HEADER, f'{route.spec.service}/{route.shard}'),
        (FENCE_HEADER, str(ticket.granted.fence)),
        (EPOCH_HEADER, str(ticket.granted.epoch)),
        (REQUEST_ID_HEADER, request.request_id),
        (DEADLINE_HEADER, str(remaining_ms)),
    )
    forwarded = tuple(
        (name, text)
        for name, text in request.headers
        if name.lower() not in _NOT_FORWARDED
    )
    return Exchange(
        method=request.head.method,
        target=request.head.target,
        headers=forwarded + own_headers,
        start_before_ms=ticket.start_before_ms,
        body=request.body,
        answers=Mailbox(_PARTS_IN_FLIGHT),
    )


async def _exchange(
    context: RequestContext,
    request: CallerRequest,
    ticket: TicketHeld,
    exchange: Exchange,
    deadline_ms: int,
) -> Outcome:
    started_ms = context.clock.now()
    async with context.pool.borrow(ticket.address) as connection:
        connection.mailbox.post(exchange)
        try:
            async with asyncio.timeout(in_seconds(deadline_ms - started_ms)):
                head = await exchange.answers.get()
        except TimeoutError:
            return Failed(Reason.DEADLINE_PASSED)
        match head:
            case AnswerHead():
                refusal = _read_refusal(head)
                if refusal is not None:
                    await _discard(exchange.answers)
                    return refusal
                return await _pass_answer(context, request, exchange, head)
            case ExchangeFailed():
                return _to_outcome(head)
    raise AssertionError('an answer starts with its head')


def _read_refusal(head: AnswerHead) -> Refused | None:
    """Return the refusal an upstream states, if the answer is one."""
    headers = {name.lower(): text for name, text in head.headers}
    verdict = parse_verdict(headers.get(VERDICT_HEADER.lower()))
    if verdict is not Verdict.NOT_RUN:
        return None
    if head.status == HTTPStatus.CONFLICT:
        return Refused(Reason.UPSTREAM_FENCED)
    return Refused(Reason.UPSTREAM_SHED)


async def _discard(answers: Mailbox[AnswerPart]) -> None:
    part: AnswerPart | None = None
    while not isinstance(part, AnswerEnd | ExchangeFailed):
        part = await answers.get()


async def _pass_answer(
    context: RequestContext,
    request: CallerRequest,
    exchange: Exchange,
    head: AnswerHead,
) -> Outcome:
    started_ms = context.clock.now()
    await request.caller.send_head(head, request.request_id)
    while True:
        part = await exchange.answers.get()
        match part:
            case AnswerChunk(chunk=chunk):
                await request.caller.send_chunk(chunk)
            case AnswerEnd():
                request.caller.finish()
                return Answered(head.status, context.clock.now() - started_ms)
            case ExchangeFailed(reason=reason, detail=detail):
                request.caller.abort()
                return Failed(reason, detail, Verdict.RAN)


def _to_outcome(failure: ExchangeFailed) -> Outcome:
    if failure.verdict is Verdict.NOT_RUN:
        return Refused(failure.reason, failure.detail)
    return Failed(failure.reason, failure.detail, failure.verdict)
