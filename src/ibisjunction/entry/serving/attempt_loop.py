"""Attempts of one request, from its ticket to its outcome."""

import asyncio
import contextlib
from typing import Final, Protocol

from ibisjunction.clock import in_seconds
from ibisjunction.coordination.crashes import RETENTION_MS
from ibisjunction.entry.components import EntryComponents
from ibisjunction.entry.dispatching.dispatch import Grant, Refuse
from ibisjunction.entry.dispatching.health import HealthReport, HealthResult
from ibisjunction.entry.following.view import FleetView
from ibisjunction.entry.hedging.race import AttemptSent
from ibisjunction.entry.link.model import Direction
from ibisjunction.entry.link.transfers import (
    BulkTransfer,
    Link,
    make_free_transfer,
)
from ibisjunction.entry.model import (
    Failed,
    Outcome,
    Reason,
    Refused,
    RoutedRequest,
)
from ibisjunction.entry.serving.attempts import (
    AttemptResult,
    Declined,
    Lost,
    Progress,
    Ran,
    Unsent,
    classify,
    health_result_of,
    make_outcome,
    may_retry,
    verdict_of,
)
from ibisjunction.entry.serving.crashes import LostRun, make_fingerprint
from ibisjunction.entry.serving.link_wait import LinkWait
from ibisjunction.entry.serving.phases import Phase, PhaseTimes
from ibisjunction.entry.serving.send_gate import SendGate
from ibisjunction.entry.serving.trail import Trail
from ibisjunction.entry.tickets.messages import (
    LocalTicketDone,
    LocalTicketRequest,
)
from ibisjunction.entry.tickets.ticket_request import TicketRequest
from ibisjunction.entry.upstream_calls.exchange import (
    ExchangeResult,
    NoAnswer,
    NotSent,
    UpstreamAnswer,
    UpstreamConnection,
)
from ibisjunction.entry.upstream_calls.notices import Notice, read_notice
from ibisjunction.entry.upstream_calls.outgoing import make_upstream_request
from ibisjunction.events import Event
from ibisjunction.fleet.model import ProcessKey, Upstream
from ibisjunction.mailbox import Mailbox
from ibisjunction.settings import Address
from ibisjunction.settings.loader import parse_address
from ibisjunction.verdict import Verdict

#: Retry time given to callers after a timeout of a request that has not
#: run.
_RETRY_AFTER_MS: Final = 500
_REFUSED_FOR_CRASHES: Final = Refuse(Reason.CRASHES, RETENTION_MS)
#: A request with less time left than this is not sent.
_MIN_REMAINING_MS: Final = 20
#: Delay before a retry to the only upstream that may serve the request; it is
#: multiplied by the number of failed attempts.
_SAME_UPSTREAM_DELAY_MS: Final = 40
#: Time in which a second attempt gets a slot, or is not made. A round trip to
#: a dispatcher takes milliseconds; a longer wait means that slots are short.
_HEDGE_GRANT_WAIT_MS: Final = 50
_NO_PROCESSES: Final[frozenset[ProcessKey]] = frozenset()
#: Failed attempts of a request after which an unsent one is not retried. The
#: limit of the route counts only attempts that sent the request.
_MAX_UNSENT_ATTEMPTS: Final = 3


class AttemptContext(Protocol):
    """What an attempt needs from the processor of its request."""

    view: FleetView | None
    waiting: dict[Mailbox[Grant | Refuse], RoutedRequest]
    send_gate: SendGate

    def make_ticket_request(
        self,
        routed: RoutedRequest,
        avoided: frozenset[ProcessKey],
        fingerprint: int,
    ) -> TicketRequest:
        """Return a new ticket request for a request."""

    def record_report(self, upstream: Upstream, report: HealthReport) -> None:
        """Record the latency and the limit in an answer."""


class AttemptLoop:
    """Sends one request, and retries it until it has an outcome."""

    def __init__(
        self,
        processor: AttemptContext,
        components: EntryComponents,
        routed: RoutedRequest,
        trail: Trail,
        avoided: frozenset[ProcessKey] = _NO_PROCESSES,
        *,
        is_hedge: bool = False,
    ) -> None:
        """Take a routed request; nothing is sent before `run`.

        :param avoided: upstreams that are chosen only if there is no other.
        :param is_hedge: whether this is a second attempt. It is sent once, and
            only if an upstream has room at once.
        """
        self._is_hedge = is_hedge
        self.sent: Mailbox[AttemptSent] = Mailbox()
        self._trail = trail
        # Phases of a second attempt don't count; it runs beside the first.
        self._phases = PhaseTimes() if is_hedge else trail.phases
        self._processor = processor
        self._components = components
        self._routed = routed
        #: Attempts that sent the request, those of a hedge included.
        self.attempts = 0
        self._failed_attempts = 0
        self._verdict = Verdict.NOT_RUN
        self._avoided = avoided
        self._connection: UpstreamConnection | None = None
        self._report = HealthReport(HealthResult.UNUSED)
        self._notice = Notice()
        self._transfer: BulkTransfer = make_free_transfer()
        self._fingerprint = make_fingerprint(routed.request)

    async def run(self) -> Outcome:
        """Send the request until it has a final outcome."""
        while True:
            with self._open_transfer() as transfer:
                self._transfer = transfer
                # A request with a large body or answer gets its ticket, and so
                # a slot of an upstream, only when the link can soon pass it.
                refusal = self._find_refusal()
                refusal = refusal or await self._wait_for_link(transfer)
                refusal = refusal or self._find_refusal()
                result = refusal or await self._attempt()
            if isinstance(result, Refuse):
                return self._make_refusal_outcome(result)
            if not self._should_retry(result):
                return make_outcome(result, self._verdict)
            self._phases.enter(
                Phase.BETWEEN_ATTEMPTS, self._components.clock.now()
            )
            if self._routed.is_sharded:
                await asyncio.sleep(
                    in_seconds(_SAME_UPSTREAM_DELAY_MS * self._failed_attempts),
                )

    async def _wait_for_link(self, transfer: BulkTransfer) -> Refuse | None:
        """Wait until the link can soon pass the answer and the body."""
        self._phases.enter(Phase.LINK, self._components.clock.now())
        link_wait = LinkWait(
            self._processor.waiting,
            self._routed,
            self._components.clock,
            self._trail,
        )
        answer = self._processor.send_gate.expect_answer(self._routed)
        # A body that has started counts as taking the link, so it comes last.
        return await link_wait.ask_for_answer(
            transfer, answer
        ) or await link_wait.start_body(transfer)

    def _find_refusal(self) -> Refuse | None:
        """Return why the request must not be sent now, if it must not."""
        now = self._components.clock.now()
        refusal = self._processor.send_gate.find_refusal(
            self._routed, self._components.link, now
        )
        if refusal is not None:
            return refusal
        if self._is_blocked:
            return _REFUSED_FOR_CRASHES
        pause_ms = self._find_pause_ms()
        return Refuse(Reason.NOT_ACCEPTED, pause_ms) if pause_ms else None

    @property
    def _is_blocked(self) -> bool:
        """Whether equal requests have crashed upstreams of late."""
        view = self._processor.view
        return (
            view is not None
            and self._fingerprint in view.blocked
            and self._components.suspects.is_suspect(self._fingerprint)
        )

    def _find_pause_ms(self) -> int:
        """Return how long the only upstream for the request wants nothing."""
        view = self._processor.view
        key = self._routed.request.key
        if view is None or not self._routed.is_sharded or key is None:
            return 0
        owner = view.find_owner(self._routed.service, key)
        if owner is None:
            return 0
        now = self._components.clock.now()
        return self._components.notices.pause_left_ms(owner.process_key, now)

    def _list_avoided(self) -> frozenset[ProcessKey]:
        """Return the upstreams that are chosen only if there is no other."""
        if self._routed.is_sharded:
            return self._avoided
        now = self._components.clock.now()
        return self._avoided | self._components.notices.list_avoided(
            self._routed.service, now
        )

    async def _attempt(self) -> AttemptResult | Refuse:
        """Get a ticket and send the request once."""
        self._phases.enter(Phase.TICKET, self._components.clock.now())
        ticket_request = self._processor.make_ticket_request(
            self._routed,
            self._list_avoided(),
            self._fingerprint,
        )
        reply: Mailbox[Grant | Refuse] = Mailbox()
        self._report = HealthReport(HealthResult.UNUSED)
        self._components.tickets.post(LocalTicketRequest(ticket_request, reply))
        self._processor.waiting[reply] = self._routed
        try:
            decision = await _wait_for_decision(reply, is_hedge=self._is_hedge)
            self._processor.waiting.pop(reply, None)
            return await self._apply_decision(decision)
        finally:
            self._processor.waiting.pop(reply, None)
            self._components.tickets.post(
                LocalTicketDone(ticket_request.number, self._report),
            )

    async def _apply_decision(
        self,
        decision: Grant | Refuse,
    ) -> AttemptResult | Refuse:
        """Send the request if the dispatcher granted it."""
        if isinstance(decision, Refuse):
            return decision
        # The report if the attempt is cancelled before its end.
        self._report = HealthReport(HealthResult.UNKNOWN)
        started_ms = self._components.clock.now()
        self._phases.enter(Phase.UPSTREAM, started_ms)
        self._trail.add(
            Event.REQUEST_GRANTED,
            started_ms,
            upstream=decision.upstream.upstream,
            index=self._processor.view.index if self._processor.view else 0,
        )
        attempt_result = await self._send(decision.upstream)
        latency_ms = self._components.clock.now() - started_ms
        self._report = HealthReport(
            health_result_of(attempt_result),
            latency_ms,
            self._notice.limit_per_s,
            self._notice.load,
        )
        self._processor.record_report(decision.upstream, self._report)
        if isinstance(attempt_result, Ran) and attempt_result.is_success:
            self._processor.send_gate.record_answer(
                self._routed,
                self._components.link,
                latency_ms,
                len(attempt_result.answer.body),
            )
        if self._report.result is HealthResult.ANSWERED:
            self._components.hedging.record_latency(
                self._routed.service,
                self._routed.named_route.route.kind,
                latency_ms,
                started_ms + latency_ms,
            )
        return attempt_result

    def make_timeout_outcome(self) -> Outcome:
        """Return the outcome of a request that has timed out."""
        connection = self._connection
        is_in_flight = connection is not None and connection.has_sent
        if is_in_flight or self._verdict is not Verdict.NOT_RUN:
            return Failed(Reason.TIMED_OUT, Verdict.MAY_HAVE_RUN)
        return Refused(Reason.TIMED_OUT, _RETRY_AFTER_MS)

    def _make_refusal_outcome(self, decision: Refuse) -> Outcome:
        if decision.detail:
            self._trail.add(
                Event.SHUTDOWN_TOO_SHORT,
                self._components.clock.now(),
                detail=decision.detail,
            )
        if self._verdict is Verdict.NOT_RUN:
            return Refused(decision.reason, decision.retry_after_ms)
        return Failed(decision.reason, self._verdict)

    def _should_retry(self, result: AttemptResult) -> bool:
        """Return whether to retry the request.

        The result is added to the verdict of the request. A retry is taken from
        the budget, unless the last attempt sent nothing.
        """
        self._verdict = verdict_of(result).combine(self._verdict)
        now = self._components.clock.now()
        route = self._routed.named_route.route
        progress = Progress(
            attempts=self.attempts,
            max_attempts=route.max_attempts,
            is_idempotent=route.kind.is_idempotent,
            has_time=now + _MIN_REMAINING_MS
            < self._processor.send_gate.find_give_up_ms(self._routed),
            verdict=self._verdict,
        )
        if self._is_hedge or not may_retry(result, progress):
            return False
        if isinstance(result, Unsent):
            return self._failed_attempts < _MAX_UNSENT_ATTEMPTS
        has_budget = self._components.budget.try_acquire(
            self._routed.service,
            now,
        )
        self._trail.add(Event.REQUEST_REPEATED, now, has_budget=has_budget)
        return has_budget

    async def _send(self, upstream: Upstream) -> AttemptResult:
        address = parse_address(upstream.address)
        started_ms = self._components.clock.now()
        result = await self._exchange(upstream, address)
        notice = read_notice(result, self._components.names)
        self._notice = notice
        self._components.notices.record(
            upstream, notice, self._components.clock.now()
        )
        attempt_result = classify(result, self._components.names)
        self._record_run(upstream, result, attempt_result, started_ms)
        if isinstance(attempt_result, Declined | Unsent | Lost):
            self._failed_attempts += 1
            self._avoided |= {upstream.process_key}
        if isinstance(attempt_result, Lost):
            self._components.pool.close_idle(address)
        self._trail.add(
            Event.REQUEST_SENT,
            self._components.clock.now(),
            upstream=upstream.upstream,
            result=type(attempt_result).__name__,
            detail=getattr(result, 'detail', ''),
        )
        return attempt_result

    def _record_run(
        self,
        upstream: Upstream,
        result: ExchangeResult,
        attempt_result: AttemptResult,
        started_ms: int,
    ) -> None:
        """Record whether the upstream may have crashed, or has answered."""
        now = self._components.clock.now()
        suspects = self._components.suspects
        match result:
            case NoAnswer(is_closed=True):
                lost = LostRun(self._fingerprint, upstream, started_ms, now)
                self._components.crashes.post(lost)
            case UpstreamAnswer():
                suspects.record_answer(upstream, now)
                if isinstance(attempt_result, Ran):
                    suspects.record_run(self._fingerprint)

    async def _exchange(
        self,
        upstream: Upstream,
        address: Address,
    ) -> ExchangeResult:
        pool = self._components.pool
        connection = await pool.acquire(
            address,
            self._routed.request.request_id,
            is_idempotent=self._routed.is_idempotent,
        )
        if isinstance(connection, NotSent):
            return connection
        hold_reason = self._find_hold_reason(upstream)
        if hold_reason is not None:
            # It may have been idle for long; releasing it would count from now.
            connection.close()
            return NotSent(hold_reason, is_held_back=True)
        return await self._perform(connection, upstream, address)

    def _find_hold_reason(self, upstream: Upstream) -> str | None:
        """Return why the request must no longer be sent, if it must not.

        The task is not suspended between this check and the write of the
        request, so the check still applies then.
        """
        view = self._processor.view
        now = self._components.clock.now()
        if not self._components.lease.is_held(now):
            return 'the lease of this VM has expired'
        if view is None or not view.is_current(upstream):
            return 'the upstream is draining or was removed'
        if not self._components.evacuations.may_send(
            upstream.failure_domain, now
        ):
            return 'its failure domain is evacuated'
        body_ms = _find_body_ms(self._routed, self._components.link)
        if self._components.notices.is_unwanted(
            upstream.process_key, now, body_ms
        ):
            return 'the upstream leaves or asked to wait'
        give_up_ms = self._processor.send_gate.find_give_up_ms(self._routed)
        if now + _MIN_REMAINING_MS >= give_up_ms:
            return 'too little time is left'
        if self._is_blocked:
            return 'equal requests have crashed upstreams'
        refusal = self._processor.send_gate.find_refusal(
            self._routed, self._components.link, now
        )
        return None if refusal is None else refusal.detail

    async def _perform(
        self,
        connection: UpstreamConnection,
        upstream: Upstream,
        address: Address,
    ) -> ExchangeResult:
        components = self._components
        request = self._routed.request
        now = components.clock.now()
        if self.attempts == 0 and not self._is_hedge:
            components.hedging.count_request(self._routed.service, now)
            components.budget.count_request(self._routed.service, now)
        self.attempts += 1
        self.sent.post(AttemptSent(upstream.process_key, now, self.attempts))
        self._connection = connection
        self._trail.is_sent = True
        result: ExchangeResult = NoAnswer('the request was cancelled')
        outgoing = make_upstream_request(
            self._routed,
            upstream,
            components.names,
            self._processor.send_gate.find_give_up_ms(self._routed) - now,
        )
        components.link.count_short(
            Direction.SENT, outgoing.count_short(self._transfer.piece_bytes)
        )
        try:
            with self._processor.send_gate.count_sent(
                self._routed, components.clock, self._transfer
            ):
                result = await connection.perform(
                    outgoing,
                    components.names.request_id,
                    request.request_id,
                    self._transfer,
                )
        finally:
            match result:
                case NoAnswer() | NotSent():
                    connection.close()
                case answer:
                    components.pool.release(
                        address,
                        connection,
                        answer.keep_alive_ms,
                    )
        self._connection = None
        if isinstance(result, UpstreamAnswer):
            components.link.count_short(Direction.RECEIVED, result.head_size)
        return result

    def _open_transfer(self) -> contextlib.AbstractContextManager[BulkTransfer]:
        """Provide the transfer of the body to an upstream."""
        rank = self._routed.named_route.route.rank
        return self._components.link.open_transfer(
            Direction.SENT, rank, self._routed.target_ms
        )


def _find_body_ms(routed: RoutedRequest, link: Link) -> float:
    """Return how long a large body needs on the link, behind earlier ones."""
    if len(routed.request.body) <= link.piece_bytes:
        return 0
    # The body itself has started, so it is among those that are counted.
    return link.count_started(Direction.SENT) / link.bytes_per_ms


async def _wait_for_decision(
    reply: Mailbox[Grant | Refuse], *, is_hedge: bool
) -> Grant | Refuse:
    """Return the decision; a second attempt does not wait for a slot."""
    if not is_hedge:
        return await reply.get()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(in_seconds(_HEDGE_GRANT_WAIT_MS)):
            return await reply.get()
    return Refuse(Reason.OVERLOADED)
