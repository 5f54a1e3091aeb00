"""Decides whether a request is tried again."""

from dataclasses import dataclass
from typing import Final

from ibisjunction.outcomes import Failed, Outcome, Reason, Refused
from ibisjunction.verdict import Verdict

_MAX_ATTEMPTS: Final = 4
_FIRST_BACKOFF_MS: Final = 20
#: Refusals that another attempt a little later may avoid.
_TRANSIENT: Final = frozenset(
    (
        Reason.NO_OWNER,
        Reason.NOT_DISPATCHER,
        Reason.SHARD_MOVING,
        Reason.CONNECT_FAILED,
        Reason.UPSTREAM_FENCED,
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
    bytes were sent that cannot be sent again.
    """

    attempt: int
    idempotent: bool
    can_repeat: bool
    remaining_ms: int
    jitter: float


def decide_retry(outcome: Outcome, state: AttemptState) -> RetryAfter | GiveUp:
    """Decide what follows an attempt.

    A non-idempotent request is repeated only if it was certainly not run.
    """
    delay_ms = round(
        _FIRST_BACKOFF_MS * 2**state.attempt * (0.5 + state.jitter),
    )
    if state.attempt + 1 >= _MAX_ATTEMPTS or not state.can_repeat:
        return GiveUp(outcome)
    if delay_ms >= state.remaining_ms or not _is_worth(outcome, state):
        return GiveUp(outcome)
    return RetryAfter(delay_ms)


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
