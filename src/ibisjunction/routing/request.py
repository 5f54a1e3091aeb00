"""The task of one request."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any, Final

from ibisjunction.clock import in_seconds
from ibisjunction.dispatch.messages import TicketResult
from ibisjunction.heads import parse_number
from ibisjunction.ledger.messages import ReportCrash, SuspectFinished
from ibisjunction.mailbox import Mailbox
from ibisjunction.outcomes import Answered, Failed, Outcome, Reason, Refused
from ibisjunction.routing.attempts import (
    AttemptState,
    GiveUp,
    RetryAfter,
    compute_attempt_timeout,
    decide_retry,
    is_upstream_lost,
)
from ibisjunction.routing.exchange import build_exchange, complete_exchange
from ibisjunction.routing.identity import (
    CLIENT_HEADER,
    make_fingerprint,
    read_record_key,
)
from ibisjunction.routing.messages import (
    AbandonTicket,
    FindRoute,
    ObtainTicket,
    ReturnTicket,
    TicketHeld,
)
from ibisjunction.routing.model import CallerRequest, RequestContext
from ibisjunction.routing.recording import record_request
from ibisjunction.routing.results import classify_outcome
from ibisjunction.services.catalogue import RequestHead, RouteMatch
from ibisjunction.upstreams.cancellation import CancelAtUpstream
from ibisjunction.verdict import Verdict

TIMEOUT_HEADER: Final = 'Request-Timeout-Ms'


async def serve_request(
    context: RequestContext,
    request: CallerRequest,
) -> Outcome:
    """Serve a request and return its outcome.

    An answer, complete or not, has already been sent to the caller. A refusal,
    or a failure before the head of the answer, is sent by the HTTP front end.
    """
    reply: Mailbox[Any] = Mailbox()
    context.routing.post(FindRoute(request.head, reply))
    match await reply.get():
        case RouteMatch() as route:
            request.route = route
            return await _serve_until_deadline(context, request, route)
        case Refused() as refused:
            return refused
    raise AssertionError('a route is a match or a refusal')


async def _serve_until_deadline(
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
    record_key = read_record_key(request.head, route)
    if isinstance(record_key, Refused):
        return record_key
    deadline_ms = context.clock.now() + timeout_ms
    try:
        async with asyncio.timeout(in_seconds(timeout_ms)):
            fingerprint = await make_fingerprint(request, route, record_key)
    except TimeoutError:
        return Refused(Reason.DEADLINE_PASSED, 'no body from the caller')
    routed = _RoutedRequest(context, request, route, deadline_ms, fingerprint)
    if record_key is None or route.operation.idempotent:
        return await _attempt_repeatedly(routed)
    return await _run_recorded(routed, record_key)


@dataclass(slots=True)
class _RoutedRequest:
    """A request with its route and the state of its attempts.

    ``attempt`` is the number of the current attempt, from 0, and
    ``sent_attempts`` counts those that were sent to an upstream. ``verdict``
    covers the attempts so far, and the current one once its bytes may have been
    written.
    """

    context: RequestContext
    request: CallerRequest
    route: RouteMatch
    deadline_ms: int
    fingerprint: str
    attempt: int = 0
    sent_attempts: int = 0
    verdict: Verdict = Verdict.NOT_RUN

    @property
    def ticket_id(self) -> str:
        """The id of the current attempt's ticket."""
        return f'{self.request.request_id}.{self.attempt}'

    @property
    def remaining_ms(self) -> int:
        """Time left until the deadline, at least 0."""
        return max(0, self.deadline_ms - self.context.clock.now())

    @property
    def can_repeat(self) -> bool:
        """Whether the request's bytes can be sent again."""
        request = self.request
        return request.body.can_rewind and not request.is_answer_started


async def _run_recorded(routed: _RoutedRequest, record_key: str) -> Outcome:
    """Run a non-idempotent request if its record allows it."""
    ledger = routed.context.ledger
    async with record_request(ledger, routed.request, record_key) as recording:
        if recording.refusal is not None:
            return recording.refusal
        try:
            recording.outcome = await _attempt_repeatedly(routed)
        finally:
            # Recorded if the caller disconnects before there is an outcome.
            recording.verdict = routed.verdict
        return recording.outcome


async def _attempt_repeatedly(routed: _RoutedRequest) -> Outcome:
    while True:
        earlier_verdict = routed.verdict
        outcome = await _attempt(routed)
        routed.verdict = earlier_verdict.combine(outcome.verdict)
        _report_crash(routed, outcome)
        decision = decide_retry(
            outcome,
            AttemptState(
                attempt=routed.attempt,
                idempotent=routed.route.operation.idempotent,
                can_repeat=routed.can_repeat,
                remaining_ms=routed.remaining_ms,
                jitter=routed.context.rng.random(),
                earlier_verdict=earlier_verdict,
            ),
        )
        match decision:
            case GiveUp(outcome=final_outcome):
                return final_outcome
            case RetryAfter(delay_ms=delay_ms):
                routed.attempt += 1
                await asyncio.sleep(in_seconds(delay_ms))
                routed.request.body.rewind()


def _report_crash(routed: _RoutedRequest, outcome: Outcome) -> None:
    if is_upstream_lost(outcome):
        routed.context.ledger.post(
            ReportCrash(routed.fingerprint, routed.ticket_id)
        )


def _read_timeout(head: RequestHead, route: RouteMatch) -> int | None:
    """Return the timeout in ms, or ``None`` if its header is not valid."""
    text = head.headers.get(TIMEOUT_HEADER)
    if text is None:
        return route.operation.timeout_ms
    timeout_ms = parse_number(text)
    if not timeout_ms:
        return None
    return min(timeout_ms, route.operation.timeout_ms)


async def _attempt(routed: _RoutedRequest) -> Outcome:
    context = routed.context
    ticket_id = routed.ticket_id
    reply: Mailbox[Any] = Mailbox()
    client = routed.request.head.headers.get(CLIENT_HEADER, '')
    async with _ticket_scope(context, ticket_id) as use:
        context.routing.post(
            ObtainTicket(
                ticket_id,
                routed.fingerprint,
                routed.route,
                client,
                routed.deadline_ms,
                reply,
                routed.sent_attempts,
            ),
        )
        try:
            async with asyncio.timeout(in_seconds(routed.remaining_ms)):
                ticket_answer = await reply.get()
        except TimeoutError:
            return Refused(Reason.DEADLINE_PASSED)
        match ticket_answer:
            case Refused():
                return ticket_answer
            case TicketHeld():
                routed.request.upstream = ticket_answer.granted.upstream
                use.started_ms = context.clock.now()
                # Applies if the task is cancelled during the attempt.
                use.outcome = Failed(Reason.CALLER_GONE)
                use.outcome = await _send(routed, ticket_answer)
                _clear_suspect(routed, ticket_answer, use.outcome)
                return use.outcome
    raise AssertionError('a ticket is held or refused')


def _clear_suspect(
    routed: _RoutedRequest, ticket: TicketHeld, outcome: Outcome
) -> None:
    if ticket.is_suspect and isinstance(outcome, Answered):
        routed.context.ledger.post(SuspectFinished(routed.fingerprint))


@dataclass(slots=True)
class _TicketUse:
    """An attempt with a ticket; without an outcome the ticket was not used."""

    started_ms: int = 0
    outcome: Outcome | None = None


@asynccontextmanager
async def _ticket_scope(
    context: RequestContext,
    ticket_id: str,
) -> AsyncIterator[_TicketUse]:
    """Return the ticket at the end of the block, or abandon it if unused."""
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
                        classify_outcome(use.outcome),
                        context.clock.now() - use.started_ms,
                    ),
                ),
            )


async def _send(routed: _RoutedRequest, ticket: TicketHeld) -> Outcome:
    idempotent = routed.route.operation.idempotent
    attempt_timeout_ms = compute_attempt_timeout(
        routed.remaining_ms, idempotent and routed.can_repeat
    )
    exchange = build_exchange(
        routed.request, routed.route, ticket, attempt_timeout_ms
    )
    async with (
        _cancel_if_unfinished(routed, ticket) as sending,
        routed.context.pool.borrow(
            ticket.address,
            routed.request.request_id,
            can_repeat=idempotent,
        ) as connection,
    ):
        routed.sent_attempts += 1
        routed.verdict = routed.verdict.combine(Verdict.MAY_HAVE_RUN)
        connection.mailbox.post(exchange)
        sending.outcome = await complete_exchange(
            routed.context,
            routed.request,
            exchange,
            attempt_timeout_ms,
            routed.deadline_ms,
        )
    return sending.outcome


@dataclass(slots=True)
class _Sending:
    """The outcome of an exchange; the default applies to a cancelled task."""

    outcome: Outcome = Failed(Reason.CALLER_GONE)


@asynccontextmanager
async def _cancel_if_unfinished(
    routed: _RoutedRequest,
    ticket: TicketHeld,
) -> AsyncIterator[_Sending]:
    """Cancel the request at the upstream if it may still run there."""
    sending = _Sending()
    try:
        yield sending
    finally:
        _cancel_at_upstream(routed, ticket, sending.outcome)


def _cancel_at_upstream(
    routed: _RoutedRequest,
    ticket: TicketHeld,
    outcome: Outcome,
) -> None:
    match outcome:
        case Failed(reason=Reason.CALLER_GONE | Reason.CALLER_SLOW):
            was_silent = False
        case Failed(reason=Reason.DEADLINE_PASSED):
            was_silent = not routed.request.is_answer_started
        case _:
            return
    if was_silent:
        routed.context.pool.close_idle(ticket.address)
    routed.context.cancellations.post(
        CancelAtUpstream(ticket.address, routed.request.request_id, was_silent),
    )
