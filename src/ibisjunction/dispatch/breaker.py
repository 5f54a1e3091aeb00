"""The circuit breaker of one upstream.

Every attempt needs a ticket, so the dispatcher asks the breaker before each
attempt, retries included.
"""

from dataclasses import dataclass, replace
from typing import Final

from ibisjunction.dispatch.messages import ResultKind


@dataclass(frozen=True, slots=True)
class BreakerPolicy:
    """When the breaker opens, and for how long.

    It opens after ``failures`` that come from at least ``origins`` different
    requests, so one crashing or slow request that is sent again and again does
    not open it. A lost upstream is found within the grant lease of 500 ms, so
    the first opening is shorter; it doubles up to the longest.
    """

    failures: int = 5
    origins: int = 3
    first_open_ms: int = 250
    longest_open_ms: int = 5000


DEFAULT_BREAKER: Final = BreakerPolicy()


@dataclass(frozen=True, slots=True)
class Closed:
    """Attempts are made; each success takes one failure back."""

    failures: int = 0
    origins: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Open:
    """No attempt is made before ``until_ms``."""

    until_ms: int
    open_ms: int


@dataclass(frozen=True, slots=True)
class HalfOpen:
    """One attempt is made, and decides.

    Results of attempts from before ``since_ms`` say nothing new.
    """

    open_ms: int
    since_ms: int
    has_probe: bool = False


Breaker = Closed | Open | HalfOpen


def look_at_clock(breaker: Breaker, now: int) -> Breaker:
    """Return the breaker at a later time."""
    match breaker:
        case Open(until_ms=until_ms, open_ms=open_ms) if now >= until_ms:
            return HalfOpen(open_ms, now)
        case _:
            return breaker


def count_result(
    breaker: Breaker,
    kind: ResultKind,
    origin: str,
    issued_ms: int,
    now: int,
    policy: BreakerPolicy = DEFAULT_BREAKER,
) -> Breaker:
    """Return the breaker after an attempt that began at ``issued_ms``.

    :param origin: what identifies the request when it is sent again. A
        connection that was refused is not the request's fault, so each one
        counts as another origin.
    """
    match breaker:
        case Closed():
            return _count_closed(breaker, kind, origin, now, policy)
        case HalfOpen(since_ms=since_ms) if issued_ms >= since_ms:
            return _decide_half_open(breaker, kind, now, policy)
        case _:
            return breaker


def _count_closed(
    breaker: Closed,
    kind: ResultKind,
    origin: str,
    now: int,
    policy: BreakerPolicy,
) -> Breaker:
    match kind:
        case ResultKind.SUCCEEDED | ResultKind.SHED:
            return _forgive(breaker)
        case ResultKind.UNREACHED:
            return _count(breaker, f'#{breaker.failures}', now, policy)
        case ResultKind.FAILED | ResultKind.TIMED_OUT:
            return _count(breaker, origin, now, policy)
        case _:
            return breaker


def _decide_half_open(
    breaker: HalfOpen,
    kind: ResultKind,
    now: int,
    policy: BreakerPolicy,
) -> Breaker:
    match kind:
        case ResultKind.SUCCEEDED | ResultKind.SHED:
            return Closed()
        case ResultKind.UNREACHED | ResultKind.FAILED | ResultKind.TIMED_OUT:
            open_ms = min(2 * breaker.open_ms, policy.longest_open_ms)
            return Open(now + open_ms, open_ms)
        case _:
            return replace(breaker, has_probe=False)


def send_probe(breaker: Breaker) -> Breaker:
    """Return the breaker after a ticket was issued."""
    match breaker:
        case HalfOpen():
            return replace(breaker, has_probe=True)
        case _:
            return breaker


def _forgive(breaker: Closed) -> Closed:
    if breaker.failures <= 1:
        return Closed()
    return replace(breaker, failures=breaker.failures - 1)


def _count(
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
        return Open(now + policy.first_open_ms, policy.first_open_ms)
    return Closed(min(failures, policy.failures), origins)
