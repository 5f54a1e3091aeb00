"""One attempt's exchange with an upstream."""

import asyncio
from http import HTTPStatus
from typing import Final

from ibisjunction.clock import MS_PER_S, in_seconds
from ibisjunction.heads import parse_number
from ibisjunction.mailbox import Mailbox
from ibisjunction.outcomes import Answered, Failed, Outcome, Reason, Refused
from ibisjunction.routing.messages import TicketHeld
from ibisjunction.routing.model import CallerRequest, RequestContext
from ibisjunction.services.catalogue import RouteMatch
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

#: Answer parts buffered between the upstream's and the caller's connection;
#: with chunks of 64 KiB this bounds the memory of one download to 256 KiB.
_MAX_BUFFERED_ANSWER_PARTS: Final = 4
_RETRY_AFTER_HEADER: Final = 'retry-after'
#: Hop-by-hop headers, and headers that the system sets itself.
_NOT_FORWARDED_HEADERS: Final = frozenset(
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
    attempt_timeout_ms: int,
) -> Exchange:
    """Return the exchange that sends a request under a ticket.

    The deadline sent to the upstream is ``attempt_timeout_ms``: the attempt is
    given up if the head of the answer has not arrived by then.
    """
    added_headers = (
        (SHARD_HEADER, f'{route.spec.service}/{route.shard}'),
        (FENCE_HEADER, str(ticket.granted.fence)),
        (EPOCH_HEADER, str(ticket.granted.epoch)),
        (REQUEST_ID_HEADER, request.request_id),
        (DEADLINE_HEADER, str(attempt_timeout_ms)),
    )
    forwarded = tuple(
        (name, text)
        for name, text in request.headers
        if name.lower() not in _NOT_FORWARDED_HEADERS
    )
    return Exchange(
        request_id=request.request_id,
        method=request.head.method,
        target=request.head.target,
        headers=forwarded + added_headers,
        start_before_ms=ticket.start_before_ms,
        body=request.body,
        answer_parts=Mailbox(_MAX_BUFFERED_ANSWER_PARTS),
    )


async def complete_exchange(
    context: RequestContext,
    request: CallerRequest,
    exchange: Exchange,
    attempt_timeout_ms: int,
    deadline_ms: int,
) -> Outcome:
    """Wait for the answer to a sent request and forward it to the caller.

    The head must arrive within ``attempt_timeout_ms``; the caller must have
    received the rest by ``deadline_ms``.
    """
    try:
        async with asyncio.timeout(in_seconds(attempt_timeout_ms)):
            head = await exchange.answer_parts.get()
    except TimeoutError:
        return Failed(Reason.DEADLINE_PASSED, 'no answer from the upstream')
    match head:
        case AnswerHead():
            return await _receive_answer(
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


async def _receive_answer(
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
                return await _forward_answer(context, request, exchange, head)
            await _discard_answer(exchange.answer_parts)
    except TimeoutError:
        if refusal is None:
            request.caller.abort()
            reason = Reason.DEADLINE_PASSED
            if request.is_sending_chunk:
                reason = Reason.CALLER_SLOW
            return Failed(reason, 'in the body of the answer', Verdict.RAN)
    return refusal or Failed(Reason.DEADLINE_PASSED)


def read_refusal(head: AnswerHead) -> Refused | None:
    """Return the refusal in an answer, or ``None`` if it is not a refusal.

    Only an explicit ``Ibis-Verdict: not-run`` on an error status counts.
    """
    headers = {name.lower(): text for name, text in head.headers}
    verdict = parse_verdict(headers.get(VERDICT_HEADER.lower()))
    if verdict is not Verdict.NOT_RUN or head.status < HTTPStatus.BAD_REQUEST:
        return None
    seconds = parse_number(headers.get(_RETRY_AFTER_HEADER))
    retry_after_ms = None if seconds is None else seconds * MS_PER_S
    if head.status == HTTPStatus.CONFLICT:
        return Refused(
            Reason.UPSTREAM_FENCED,
            retry_after_ms=retry_after_ms,
        )
    return Refused(Reason.UPSTREAM_SHED, retry_after_ms=retry_after_ms)


async def _discard_answer(answer_parts: Mailbox[AnswerPart]) -> None:
    part: AnswerPart | None = None
    while not isinstance(part, AnswerEnd | ExchangeFailed):
        part = await answer_parts.get()


async def _forward_answer(
    context: RequestContext,
    request: CallerRequest,
    exchange: Exchange,
    head: AnswerHead,
) -> Outcome:
    started_ms = context.clock.now()
    request.is_answer_started = True
    await request.caller.send_head(head, request.request_id)
    while True:
        part = await exchange.answer_parts.get()
        match part:
            case AnswerChunk(chunk=chunk):
                request.is_sending_chunk = True
                await request.caller.send_chunk(chunk)
                request.is_sending_chunk = False
            case AnswerEnd():
                request.caller.finish()
                return Answered(head.status, context.clock.now() - started_ms)
            case ExchangeFailed(reason=reason, detail=detail):
                request.caller.abort()
                return Failed(reason, detail, Verdict.RAN)
