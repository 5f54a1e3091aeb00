"""The circuit breaker of one upstream.

Every attempt needs a ticket, so the dispatcher checks the breaker before each
attempt, retries included.
"""

from dataclasses import dataclass, replace
from typing import Final

from ibisjunction.dispatch.messages import ResultKind


@dataclass(frozen=True, slots=True)
class BreakerPolicy:
    """When the breaker opens, and for how long.

    It opens after ``failures`` that come from at least ``origins`` different
    requests, so one crashing or slow request that is retried repeatedly does
    not open it. A lost upstream is detected within the grant lease of 500 ms,
    so the breaker first stays open for less than that; the time doubles with
    each failed probe, up to ``max_open_ms``.
    """

    failures: int = 5
    origins: int = 3
    initial_open_ms: int = 250
    max_open_ms: int = 5000


DEFAULT_BREAKER_POLICY: Final = BreakerPolicy()


@dataclass(frozen=True, slots=True)
class Closed:
    """Attempts are permitted; each success removes one counted failure."""

    failures: int = 0
    origins: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Open:
    """No attempt is permitted before ``until_ms``.

    ``open_ms`` is the time that the breaker stays open.
    """

    until_ms: int
    open_ms: int


@dataclass(frozen=True, slots=True)
class HalfOpen:
    """One attempt, the probe, is permitted; its result closes or reopens.

    Results of attempts whose tickets were issued before ``since_ms`` are
    ignored, since they give no new information. ``open_ms`` is the time that
    the breaker was last open.
    """

    open_ms: int
    since_ms: int
    has_probe: bool = False


Breaker = Closed | Open | HalfOpen


def advance_time(breaker: Breaker, now: int) -> Breaker:
    """Return the breaker at a later time: half open from ``until_ms`` on."""
    match breaker:
        case Open(until_ms=until_ms, open_ms=open_ms) if now >= until_ms:
            return HalfOpen(open_ms, now)
        case _:
            return breaker


def apply_result(
    breaker: Breaker,
    kind: ResultKind,
    origin: str,
    issued_ms: int,
    now: int,
    policy: BreakerPolicy = DEFAULT_BREAKER_POLICY,
) -> Breaker:
    """Return the breaker after the result of an attempt.

    A shed request counts as a success, because the upstream answered it.

    :param origin: identifies the request across its retries. A refused
        connection is not caused by the request, so each one counts as another
        origin.
    :param issued_ms: time at which the ticket of the attempt was issued.
    """
    match breaker:
        case Closed():
            return _apply_when_closed(breaker, kind, origin, now, policy)
        case HalfOpen(since_ms=since_ms) if issued_ms >= since_ms:
            return _apply_when_half_open(breaker, kind, now, policy)
        case _:
            return breaker


def _apply_when_closed(
    breaker: Closed,
    kind: ResultKind,
    origin: str,
    now: int,
    policy: BreakerPolicy,
) -> Breaker:
    match kind:
        case ResultKind.SUCCEEDED | ResultKind.SHED:
            return _remove_failure(breaker)
        case ResultKind.UNREACHED:
            return _add_failure(breaker, f'#{breaker.failures}', now, policy)
        case ResultKind.FAILED | ResultKind.TIMED_OUT:
            return _add_failure(breaker, origin, now, policy)
        case _:
            return breaker


def _apply_when_half_open(
    breaker: HalfOpen,
    kind: ResultKind,
    now: int,
    policy: BreakerPolicy,
) -> Breaker:
    match kind:
        case ResultKind.SUCCEEDED | ResultKind.SHED:
            return Closed()
        case ResultKind.UNREACHED | ResultKind.FAILED | ResultKind.TIMED_OUT:
            open_ms = min(2 * breaker.open_ms, policy.max_open_ms)
            return Open(now + open_ms, open_ms)
        case _:
            return replace(breaker, has_probe=False)


def start_probe(breaker: Breaker) -> Breaker:
    """Return the breaker after a ticket was issued.

    The ticket is the probe of a half-open breaker.
    """
    match breaker:
        case HalfOpen():
            return replace(breaker, has_probe=True)
        case _:
            return breaker


def _remove_failure(breaker: Closed) -> Closed:
    if breaker.failures <= 1:
        return Closed()
    return replace(breaker, failures=breaker.failures - 1)


def _add_failure(
    breaker: Closed,
    origin: str,
    now: int,
    policy: BreakerPolicy,
) -> Breaker:
    failures = breaker.failures + 1
    origins = breaker.origins
    if len(origins) < policy.origins:
        origins = origins | {origin}
    if failures >= policy.failures and len(origins) >= policy.origins:
        return Open(now + policy.initial_open_ms, policy.initial_open_ms)
    return Closed(min(failures, policy.failures), origins)
