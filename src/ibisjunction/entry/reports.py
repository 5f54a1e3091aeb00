"""Logs and measures requests that have ended."""

from typing import Any

from ibisjunction.entry.model import (
    Failed,
    Outcome,
    Passed,
    Refused,
    RoutedRequest,
)
from ibisjunction.entry.trail import Trail
from ibisjunction.events import Event
from ibisjunction.metrics import RequestMeasured


def log_outcome(
    trail: Trail,
    routed: RoutedRequest | Refused,
    outcome: Outcome,
    now: int,
) -> None:
    """Write the trail of a request with its outcome."""
    fields = _describe(routed)
    match outcome:
        case Passed(status=status):
            trail.add(
                Event.REQUEST_ANSWERED,
                now,
                status=status,
                **fields,
            )
        case Refused(why=why, retry_after_ms=retry_ms):
            trail.add(
                Event.REQUEST_REFUSED,
                now,
                why=why.name,
                retry_after_ms=retry_ms or 0,
                **fields,
            )
        case Failed(why=why, verdict=verdict):
            trail.add(
                Event.REQUEST_FAILED,
                now,
                why=why.name,
                verdict=verdict.value,
                **fields,
            )
    trail.write(is_served=isinstance(outcome, Passed))


def measure_outcome(
    routed: RoutedRequest | Refused,
    outcome: Outcome,
    duration_ms: int,
) -> RequestMeasured:
    """Return the measurement of a request for the metrics."""
    fields = _describe(routed)
    return RequestMeasured(
        service=fields.get('service', ''),
        rank=str(fields.get('rank', '')),
        upstream='',
        outcome=_name_outcome(outcome),
        duration_ms=duration_ms,
    )


def _name_outcome(outcome: Outcome) -> str:
    """Return the label of an outcome in the metrics."""
    if isinstance(outcome, Passed):
        return 'answered'
    return outcome.why.name.lower()


def _describe(routed: RoutedRequest | Refused) -> dict[str, Any]:
    """Return what the log says about the route of a request."""
    if isinstance(routed, Refused):
        return {}
    return {
        'service': routed.service,
        'route': routed.route.name,
        'version': routed.route.version,
        'rank': routed.route.route.rank,
        'key': routed.request.key if routed.is_sharded else '',
        'deadline_in_ms': routed.request.deadline_in_ms,
    }
