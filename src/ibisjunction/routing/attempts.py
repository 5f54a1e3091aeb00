"""Decides whether a request is retried and which outcome its caller gets."""

from dataclasses import dataclass, replace
from typing import Final

from ibisjunction.outcomes import Answered, Failed, Outcome, Reason, Refused
from ibisjunction.verdict import Verdict

_MAX_ATTEMPTS: Final = 4
_FIRST_BACKOFF_MS: Final = 20
#: If half of the remaining time is less than this, an attempt gets all of it.
#: It is ten times the service time of a read, so that an upstream that is only
#: slow does not cause a retry.
_MIN_ATTEMPT_TIMEOUT_MS: Final = 100
#: Reasons of refusals that a retry a little later may avoid.
_TRANSIENT_REASONS: Final = frozenset(
    (
        Reason.NO_OWNER,
        Reason.NOT_DISPATCHER,
        Reason.SHARD_MOVING,
        Reason.CONNECT_FAILED,
        Reason.UPSTREAM_FENCED,
        Reason.UPSTREAM_SHED,
        # A breaker opens when its upstream is lost; the keys of the upstream
        # have another owner within about a second.
        Reason.BREAKER_OPEN,
    )
)


@dataclass(frozen=True, slots=True)
class RetryAfter:
    """Retry after ``delay_ms``."""

    delay_ms: int


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Return ``outcome`` to the caller."""

    outcome: Outcome


@dataclass(frozen=True, slots=True)
class AttemptState:
    """The state of a request that the decision to retry depends on.

    ``attempt`` is the number of the attempt that ended, from 0. ``jitter`` is
    uniform between 0 and 1. ``can_repeat`` is false once body bytes were sent
    that cannot be sent again, and once the head of an answer was sent to the
    caller. ``earlier_verdict`` is the verdict over all earlier attempts of the
    request.
    """

    attempt: int
    idempotent: bool
    can_repeat: bool
    remaining_ms: int
    jitter: float
    earlier_verdict: Verdict = Verdict.NOT_RUN


def decide_retry(outcome: Outcome, state: AttemptState) -> RetryAfter | GiveUp:
    """Decide whether to retry after an attempt.

    A non-idempotent request is repeated only if it was certainly not run. The
    delay is at least the ``retry_after_ms`` of a refusal.
    """
    final_outcome = combine_outcome(outcome, state.earlier_verdict)
    delay_ms = round(
        _FIRST_BACKOFF_MS * 2**state.attempt * (0.5 + state.jitter),
    )
    if isinstance(outcome, Refused):
        delay_ms = max(delay_ms, outcome.retry_after_ms or 0)
    if state.attempt + 1 >= _MAX_ATTEMPTS or not state.can_repeat:
        return GiveUp(final_outcome)
    if delay_ms >= state.remaining_ms or not _is_retryable(outcome, state):
        return GiveUp(final_outcome)
    return RetryAfter(delay_ms)


def combine_outcome(outcome: Outcome, earlier_verdict: Verdict) -> Outcome:
    """Return the outcome with the verdict over all attempts.

    A refusal of the last attempt does not prove that no earlier one ran.
    """
    match outcome:
        case Answered():
            return outcome
        case Failed(verdict=verdict):
            return replace(outcome, verdict=verdict.combine(earlier_verdict))
        case Refused() if earlier_verdict is Verdict.NOT_RUN:
            return outcome
        case Refused(reason=reason, detail=detail):
            return Failed(reason, detail, earlier_verdict)


def compute_attempt_timeout(remaining_ms: int, can_retry: bool) -> int:
    """Return the time in ms within which the head of the answer must arrive.

    This is half of the remaining time if another attempt may follow, so that a
    silent connection is detected while there is time for a retry.
    """
    half_ms = remaining_ms // 2
    if not can_retry or half_ms < _MIN_ATTEMPT_TIMEOUT_MS:
        return remaining_ms
    return half_ms


def is_upstream_lost(outcome: Outcome) -> bool:
    """Return whether the upstream may have crashed while it ran the request."""
    match outcome:
        case Failed(reason=reason):
            return reason is Reason.CONNECTION_LOST
        case _:
            return False


def _is_retryable(outcome: Outcome, state: AttemptState) -> bool:
    match outcome:
        case Refused(reason=reason):
            return reason in _TRANSIENT_REASONS
        case Failed(verdict=Verdict.NOT_RUN):
            return True
        case Failed():
            return state.idempotent
        case _:
            return False
