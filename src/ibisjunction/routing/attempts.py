"""Decides whether a request is tried again, and what its caller is told."""

from dataclasses import dataclass, replace
from typing import Final

from ibisjunction.outcomes import Answered, Failed, Outcome, Reason, Refused
from ibisjunction.verdict import Verdict

_MAX_ATTEMPTS: Final = 4
_FIRST_BACKOFF_MS: Final = 20
#: An attempt gets all the time that is left if half of it would be less. It
#: is ten times the service time of a read, so slow upstreams are not retried.
_MIN_ATTEMPT_MS: Final = 100
#: Refusals that another attempt a little later may avoid.
_TRANSIENT: Final = frozenset(
    (
        Reason.NO_OWNER,
        Reason.NOT_DISPATCHER,
        Reason.SHARD_MOVING,
        Reason.CONNECT_FAILED,
        Reason.UPSTREAM_FENCED,
        Reason.UPSTREAM_SHED,
        # A breaker opens at the loss of an upstream, and its keys have another
        # owner within about a second.
        Reason.BREAKER_OPEN,
    )
)


@dataclass(frozen=True, slots=True)
class RetryAfter:
    """Try again after ``delay_ms``."""

    delay_ms: int


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Return ``outcome`` to the caller."""

    outcome: Outcome


@dataclass(frozen=True, slots=True)
class AttemptState:
    """What the decision depends on besides the outcome.

    ``jitter`` is uniform between 0 and 1. ``can_repeat`` is false once body
    bytes were sent that cannot be sent again, and once the head of an answer
    was passed to the caller. ``earlier`` is the verdict over all earlier
    attempts of the request.
    """

    attempt: int
    idempotent: bool
    can_repeat: bool
    remaining_ms: int
    jitter: float
    earlier: Verdict = Verdict.NOT_RUN


def decide_retry(outcome: Outcome, state: AttemptState) -> RetryAfter | GiveUp:
    """Decide what follows an attempt.

    A non-idempotent request is repeated only if it was certainly not run. The
    delay is at least what a refusal asks for.
    """
    final = combine_outcome(outcome, state.earlier)
    delay_ms = round(
        _FIRST_BACKOFF_MS * 2**state.attempt * (0.5 + state.jitter),
    )
    if isinstance(outcome, Refused):
        delay_ms = max(delay_ms, outcome.retry_after_ms or 0)
    if state.attempt + 1 >= _MAX_ATTEMPTS or not state.can_repeat:
        return GiveUp(final)
    if delay_ms >= state.remaining_ms or not _is_worth(outcome, state):
        return GiveUp(final)
    return RetryAfter(delay_ms)


def combine_outcome(outcome: Outcome, earlier: Verdict) -> Outcome:
    """Return the outcome with the verdict over all attempts.

    A last attempt that was refused does not make an earlier one not run.
    """
    match outcome:
        case Answered():
            return outcome
        case Failed(verdict=verdict):
            return replace(outcome, verdict=verdict.combine(earlier))
        case Refused() if earlier is Verdict.NOT_RUN:
            return outcome
        case Refused(reason=reason, detail=detail):
            return Failed(reason, detail, earlier)


def limit_attempt(remaining_ms: int, can_retry: bool) -> int:
    """Return the time an attempt may take until the head of its answer.

    Half of what is left, if another attempt may follow: a connection that went
    silent is then found while there is time for a new one.
    """
    half_ms = remaining_ms // 2
    if not can_retry or half_ms < _MIN_ATTEMPT_MS:
        return remaining_ms
    return half_ms


def is_upstream_lost(outcome: Outcome) -> bool:
    """Return whether the upstream may have crashed while it ran the request."""
    match outcome:
        case Failed(reason=reason):
            return reason is Reason.CONNECTION_LOST
        case _:
            return False


def _is_worth(outcome: Outcome, state: AttemptState) -> bool:
    match outcome:
        case Refused(reason=reason):
            return reason in _TRANSIENT
        case Failed(verdict=Verdict.NOT_RUN):
            return True
        case Failed():
            return state.idempotent
        case _:
            return False
