"""The task of one request."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any, Final

from ibisjunction.clock import in_seconds
from ibisjunction.dispatch.messages import TicketResult
from ibisjunction.ledger.messages import ReportCrash, SuspectFinished
from ibisjunction.mailbox import Mailbox
from ibisjunction.outcomes import Answered, Failed, Outcome, Reason, Refused
from ibisjunction.routing.attempts import (
    AttemptState,
    GiveUp,
    RetryAfter,
    decide_retry,
    is_upstream_lost,
    limit_attempt,
)
from ibisjunction.routing.exchange import build_exchange, perform_exchange
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
from ibisjunction.routing.results import judge_outcome
from ibisjunction.services.catalog import RequestHead, RouteMatch
from ibisjunction.upstreams.cancellation import CancelAtUpstream
from ibisjunction.verdict import Verdict

TIMEOUT_HEADER: Final = 'Request-Timeout-Ms'


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
            request.route = route
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
    record_key = read_record_key(request.head, route)
    if isinstance(record_key, Refused):
        return record_key
    deadline_ms = context.clock.now() + timeout_ms
    try:
        async with asyncio.timeout(in_seconds(timeout_ms)):
            fingerprint = await make_fingerprint(request, route, record_key)
    except TimeoutError:
        return Refused(Reason.DEADLINE_PASSED, 'no body from the caller')
    run = _Run(context, request, route, deadline_ms, fingerprint)
    if record_key is None or route.operation.idempotent:
        return await _attempt_repeatedly(run)
    return await _run_recorded(run, record_key)


@dataclass(slots=True)
class _Run:
    """A request on its route, until its deadline.

    ``sent`` counts the attempts that got a ticket. ``verdict`` covers the
    attempts so far, with the current one once its bytes may have been written.
    """

    context: RequestContext
    request: CallerRequest
    route: RouteMatch
    deadline_ms: int
    fingerprint: str
    attempt: int = 0
    sent: int = 0
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


async def _run_recorded(run: _Run, record_key: str) -> Outcome:
    """Run a non-idempotent request if its record allows it."""
    ledger = run.context.ledger
    async with record_request(ledger, run.request, record_key) as recording:
        if recording.refusal is not None:
            return recording.refusal
        try:
            recording.outcome = await _attempt_repeatedly(run)
        finally:
            # Holds if the caller left before there was an outcome.
            recording.verdict = run.verdict
        return recording.outcome


async def _attempt_repeatedly(run: _Run) -> Outcome:
    while True:
        earlier = run.verdict
        outcome = await _attempt(run)
        run.verdict = earlier.combine(outcome.verdict)
        _report_crash(run, outcome)
        decision = decide_retry(
            outcome,
            AttemptState(
                attempt=run.attempt,
                idempotent=run.route.operation.idempotent,
                can_repeat=run.can_repeat,
                remaining_ms=run.remaining_ms,
                jitter=run.context.random.random(),
                earlier=earlier,
            ),
        )
        match decision:
            case GiveUp(outcome=final):
                return final
            case RetryAfter(delay_ms=delay_ms):
                run.attempt += 1
                await asyncio.sleep(in_seconds(delay_ms))
                run.request.body.rewind()


def _report_crash(run: _Run, outcome: Outcome) -> None:
    if is_upstream_lost(outcome):
        run.context.ledger.post(ReportCrash(run.fingerprint, run.ticket_id))


def _read_timeout(head: RequestHead, route: RouteMatch) -> int | None:
    text = head.headers.get(TIMEOUT_HEADER)
    if text is None:
        return route.operation.timeout_ms
    if not text.isdecimal() or int(text) == 0:
        return None
    return min(int(text), route.operation.timeout_ms)


async def _attempt(run: _Run) -> Outcome:
    context = run.context
    ticket_id = run.ticket_id
    reply: Mailbox[Any] = Mailbox()
    client = run.request.head.headers.get(CLIENT_HEADER, '')
    async with _ticket(context, ticket_id) as use:
        context.routing.post(
            ObtainTicket(
                ticket_id,
                run.fingerprint,
                run.route,
                client,
                run.deadline_ms,
                reply,
                run.sent,
            ),
        )
        try:
            async with asyncio.timeout(in_seconds(run.remaining_ms)):
                answer = await reply.get()
        except TimeoutError:
            return Refused(Reason.DEADLINE_PASSED)
        match answer:
            case Refused():
                return answer
            case TicketHeld():
                run.request.upstream = answer.granted.upstream
                use.started_ms = context.clock.now()
                use.outcome = Failed(Reason.CALLER_GONE)
                use.outcome = await _send(run, answer)
                _clear_suspect(run, answer, use.outcome)
                return use.outcome
    raise AssertionError('a ticket is held or refused')


def _clear_suspect(run: _Run, ticket: TicketHeld, outcome: Outcome) -> None:
    if ticket.is_suspect and isinstance(outcome, Answered):
        run.context.ledger.post(SuspectFinished(run.fingerprint))


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


async def _send(run: _Run, ticket: TicketHeld) -> Outcome:
    idempotent = run.route.operation.idempotent
    limit_ms = limit_attempt(run.remaining_ms, idempotent and run.can_repeat)
    exchange = build_exchange(run.request, run.route, ticket, limit_ms)
    async with (
        _cancel_if_unfinished(run, ticket) as sending,
        run.context.pool.borrow(
            ticket.address,
            can_repeat=idempotent,
        ) as connection,
    ):
        run.sent += 1
        run.verdict = run.verdict.combine(Verdict.MAY_HAVE_RUN)
        connection.mailbox.post(exchange)
        sending.outcome = await perform_exchange(
            run.context,
            run.request,
            exchange,
            limit_ms,
            run.deadline_ms,
        )
    return sending.outcome


@dataclass(slots=True)
class _Sending:
    outcome: Outcome = Failed(Reason.CALLER_GONE)


@asynccontextmanager
async def _cancel_if_unfinished(
    run: _Run,
    ticket: TicketHeld,
) -> AsyncIterator[_Sending]:
    """Cancel at the upstream what may still run there after the block."""
    sending = _Sending()
    try:
        yield sending
    finally:
        _cancel_at_upstream(run, ticket, sending.outcome)


def _cancel_at_upstream(
    run: _Run,
    ticket: TicketHeld,
    outcome: Outcome,
) -> None:
    match outcome:
        case Failed(reason=Reason.CALLER_GONE | Reason.CALLER_SLOW):
            was_silent = False
        case Failed(reason=Reason.DEADLINE_PASSED):
            was_silent = not run.request.is_answer_started
        case _:
            return
    if was_silent:
        run.context.pool.distrust(ticket.address)
    run.context.cancellations.post(
        CancelAtUpstream(ticket.address, run.request.request_id, was_silent),
    )
