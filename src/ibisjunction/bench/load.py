"""Open-loop load generator.

Each request is sent at its planned time, even if earlier ones are unanswered.
"""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from http import HTTPStatus
from typing import Final

from ibisjunction.bench.arrivals import Arrival
from ibisjunction.bench.balancer import Balancer
from ibisjunction.bench.caller import Reply
from ibisjunction.bench.request_records import Attempt, RequestRecord
from ibisjunction.bench.workload import CallBuilder, PlannedCall
from ibisjunction.clock import MS_PER_S, Clock, in_seconds
from ibisjunction.mailbox import run_task
from ibisjunction.upstreams.protocol import REQUEST_ID_HEADER
from ibisjunction.verdict import VERDICT_HEADER, Verdict, parse_verdict

_US_PER_S: Final = 1_000_000
_MAX_ATTEMPTS: Final = 4
#: Pause before a request is sent again. The balancer needs up to 400 ms, the
#: interval and the timeout of a poll, to stop choosing a VM that has failed. A
#: few attempts therefore reach another VM.
_RESEND_DELAY_MS: Final = 200
#: A caller waits for an answer this much longer than the operation's timeout.
_TIMEOUT_MARGIN_MS: Final = 1000


@dataclass(frozen=True, slots=True)
class LoadContext:
    """State that the tasks of all requests share."""

    clock: Clock
    balancer: Balancer
    builder: CallBuilder


async def run_load(
    context: LoadContext,
    arrivals: list[Arrival],
) -> list[RequestRecord]:
    """Send every request at its planned time and return the records."""
    started_s = time.perf_counter()
    started_ms = context.clock.now()
    tasks: list[asyncio.Task[RequestRecord]] = []
    for arrival in arrivals:
        intended_s = started_s + arrival.at_ms / MS_PER_S
        await asyncio.sleep(max(0, intended_s - time.perf_counter()))
        sending = _send_with_retries(context, arrival, intended_s, started_ms)
        tasks.append(asyncio.create_task(sending))
    return list(await asyncio.gather(*tasks))


async def _send_with_retries(
    context: LoadContext,
    arrival: Arrival,
    intended_s: float,
    started_ms: int,
) -> RequestRecord:
    planned = context.builder.build(arrival)
    attempts = [await _send_once(context, planned)]
    while len(attempts) < _MAX_ATTEMPTS and _needs_resend(attempts[-1]):
        await asyncio.sleep(in_seconds(_RESEND_DELAY_MS))
        attempts.append(await _send_once(context, planned))
    elapsed_s = time.perf_counter() - intended_s
    route = planned.route
    rank = route.operation.rank
    return RequestRecord(
        number=arrival.number,
        kind=arrival.stream.kind,
        phase=arrival.phase,
        rank=rank.value,
        target_ms=route.spec.ranks[rank].target_ms,
        method=planned.call.method,
        target=planned.call.target,
        shard=f'{route.spec.service}/{route.shard}',
        idempotency_key=planned.idempotency_key,
        expected_bytes=planned.expected_bytes,
        intended_ms=started_ms + round(arrival.at_ms),
        latency_us=round(elapsed_s * _US_PER_S),
        attempts=attempts,
    )


def _needs_resend(attempt: Attempt) -> bool:
    """Return whether a caller has to send a request again.

    A request without a complete answer is sent again with the same idempotency
    key. A refused request is not: the load would otherwise rise with the
    number of refusals and no longer be open-loop.
    """
    return attempt.status == 0


async def _send_once(context: LoadContext, planned: PlannedCall) -> Attempt:
    sent_ms = context.clock.now()
    vm = context.balancer.choose()
    if vm is None:
        return Attempt(
            '',
            sent_ms,
            sent_ms,
            was_sent=False,
            reason='no VM is ready',
        )
    answer_timeout_ms = planned.route.operation.timeout_ms + _TIMEOUT_MARGIN_MS
    reply = Reply()
    try:
        async with asyncio.timeout(in_seconds(answer_timeout_ms)):
            await _perform_call(context, planned, vm, reply)
    except TimeoutError:
        reply.is_complete = False
    except OSError as error:
        return Attempt(
            vm,
            sent_ms,
            context.clock.now(),
            was_sent=False,
            reason=f'not connected ({type(error).__name__})',
        )
    return _make_attempt(vm, sent_ms, context.clock.now(), reply)


async def _perform_call(
    context: LoadContext,
    planned: PlannedCall,
    vm: str,
    reply: Reply,
) -> None:
    async with context.balancer.borrow(vm) as connection:
        await connection.perform(planned.call, reply)


def _make_attempt(
    vm: str, sent_ms: int, ended_ms: int, reply: Reply
) -> Attempt:
    verdict = parse_verdict(reply.headers.get(VERDICT_HEADER))
    reason = ''
    if not reply.is_complete:
        reason = 'answer cut' if reply.status else 'connection lost'
    elif verdict is not Verdict.RAN:
        text = reply.body_prefix.decode(errors='replace')
        reason = text.partition('\n')[0].partition(':')[0]
    is_success = reply.is_complete and reply.status == HTTPStatus.OK
    return Attempt(
        vm=vm,
        sent_ms=sent_ms,
        ended_ms=ended_ms,
        status=reply.status if reply.is_complete else 0,
        verdict=verdict,
        request_id=reply.headers.get(REQUEST_ID_HEADER, ''),
        received_bytes=reply.received_bytes,
        digest=reply.digest.hexdigest() if is_success else '',
        reason=reason,
    )


@asynccontextmanager
async def run_balancer(balancer: Balancer) -> AsyncIterator[Balancer]:
    """Run the balancer for the duration of the block, then close it."""
    async with run_task(balancer.run(), 'balancer'):
        yield balancer
    balancer.close()
