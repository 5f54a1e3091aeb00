"""One attempt's exchange with an upstream."""

import asyncio
from http import HTTPStatus
from typing import Final

from ibisjunction.clock import MS_PER_S, in_seconds
from ibisjunction.mailbox import Mailbox
from ibisjunction.outcomes import Answered, Failed, Outcome, Reason, Refused
from ibisjunction.routing.messages import TicketHeld
from ibisjunction.routing.model import CallerRequest, RequestContext
from ibisjunction.services.catalog import RouteMatch
from ibisjunction.upstreams.messages import (
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    AnswerPart,
    Exchange,
    ExchangeFailed,
)
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
_RETRY_AFTER: Final = 'retry-after'
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


def build_exchange(
    request: CallerRequest,
    route: RouteMatch,
    ticket: TicketHeld,
    limit_ms: int,
) -> Exchange:
    """Return the exchange that sends a request under a ticket.

    ``limit_ms`` is the time after which nobody waits for the answer.
    """
    own_headers = (
        (SHARD_HEADER, f'{route.spec.service}/{route.shard}'),
        (FENCE_HEADER, str(ticket.granted.fence)),
        (EPOCH_HEADER, str(ticket.granted.epoch)),
        (REQUEST_ID_HEADER, request.request_id),
        (DEADLINE_HEADER, str(limit_ms)),
    )
    forwarded = tuple(
        (name, text)
        for name, text in request.headers
        if name.lower() not in _NOT_FORWARDED
    )
    return Exchange(
        request_id=request.request_id,
        method=request.head.method,
        target=request.head.target,
        headers=forwarded + own_headers,
        start_before_ms=ticket.start_before_ms,
        body=request.body,
        answers=Mailbox(_PARTS_IN_FLIGHT),
    )


async def perform_exchange(
    context: RequestContext,
    request: CallerRequest,
    exchange: Exchange,
    limit_ms: int,
    deadline_ms: int,
) -> Outcome:
    """Wait for the answer and pass it to the caller.

    The head must arrive within ``limit_ms``, the rest and the caller's taking
    it until ``deadline_ms``.
    """
    try:
        async with asyncio.timeout(in_seconds(limit_ms)):
            head = await exchange.answers.get()
    except TimeoutError:
        return Failed(Reason.DEADLINE_PASSED, 'no answer from the upstream')
    match head:
        case AnswerHead():
            return await _take_answer(
                context,
                request,
                exchange,
                head,
                deadline_ms,
            )
        case ExchangeFailed(verdict=Verdict.NOT_RUN):
            return Refused(head.reason, head.detail)
        case ExchangeFailed():
            return Failed(head.reason, head.detail, head.verdict)
    raise AssertionError('an answer starts with its head')


async def _take_answer(
    context: RequestContext,
    request: CallerRequest,
    exchange: Exchange,
    head: AnswerHead,
    deadline_ms: int,
) -> Outcome:
    remaining_ms = max(0, deadline_ms - context.clock.now())
    refusal = read_refusal(head)
    try:
        async with asyncio.timeout(in_seconds(remaining_ms)):
            if refusal is None:
                return await _pass_answer(context, request, exchange, head)
            await _discard(exchange.answers)
    except TimeoutError:
        if refusal is None:
            request.caller.abort()
            reason = Reason.DEADLINE_PASSED
            if request.is_caller_busy:
                reason = Reason.CALLER_SLOW
            return Failed(reason, 'in the body of the answer', Verdict.RAN)
    return refusal or Failed(Reason.DEADLINE_PASSED)


def read_refusal(head: AnswerHead) -> Refused | None:
    """Return the refusal an upstream states, if the answer is one.

    Only an explicit ``Ibis-Verdict: not-run`` on an error status counts.
    """
    headers = {name.lower(): text for name, text in head.headers}
    verdict = parse_verdict(headers.get(VERDICT_HEADER.lower()))
    if verdict is not Verdict.NOT_RUN or head.status < HTTPStatus.BAD_REQUEST:
        return None
    seconds = headers.get(_RETRY_AFTER, '')
    retry_after_ms = int(seconds) * MS_PER_S if seconds.isdecimal() else None
    if head.status == HTTPStatus.CONFLICT:
        return Refused(
            Reason.UPSTREAM_FENCED,
            retry_after_ms=retry_after_ms,
        )
    return Refused(Reason.UPSTREAM_SHED, retry_after_ms=retry_after_ms)


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
    request.is_answer_started = True
    await request.caller.send_head(head, request.request_id)
    while True:
        part = await exchange.answers.get()
        match part:
            case AnswerChunk(chunk=chunk):
                request.is_caller_busy = True
                await request.caller.send_chunk(chunk)
                request.is_caller_busy = False
            case AnswerEnd():
                request.caller.finish()
                return Answered(head.status, context.clock.now() - started_ms)
            case ExchangeFailed(reason=reason, detail=detail):
                request.caller.abort()
                return Failed(reason, detail, Verdict.RAN)
