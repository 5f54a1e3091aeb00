"""Log lines and metrics of completed requests."""

from typing import Any

from ibisjunction.entry.model import (
    Answered,
    Failed,
    Outcome,
    Refused,
    RoutedRequest,
)
from ibisjunction.entry.serving.trail import Trail
from ibisjunction.events import Event
from ibisjunction.metrics import RequestMeasured


def log_outcome(
    trail: Trail,
    routed: RoutedRequest | Refused,
    outcome: Outcome,
    now: int,
) -> None:
    """Add the outcome to the trail of a request, and write the trail."""
    fields = _describe(routed)
    match outcome:
        case Answered(status=status):
            trail.add(
                Event.REQUEST_ANSWERED,
                now,
                status=status,
                **fields,
            )
        case Refused(reason=reason, retry_after_ms=retry_ms):
            trail.add(
                Event.REQUEST_REFUSED,
                now,
                why=reason.name,
                retry_after_ms=retry_ms or 0,
                **fields,
            )
        case Failed(reason=reason, verdict=verdict):
            trail.add(
                Event.REQUEST_FAILED,
                now,
                why=reason.name,
                verdict=verdict.value,
                **fields,
            )
    trail.write(is_served=isinstance(outcome, Answered))


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
    if isinstance(outcome, Answered):
        return 'answered'
    return outcome.reason.name.lower()


def _describe(routed: RoutedRequest | Refused) -> dict[str, Any]:
    """Return the log fields for the route of a request."""
    if isinstance(routed, Refused):
        return {}
    return {
        'service': routed.service,
        'route': routed.named_route.name,
        'version': routed.named_route.version,
        'rank': routed.named_route.route.rank,
        'key': routed.request.key if routed.is_sharded else '',
        'deadline_in_ms': routed.request.deadline_in_ms,
    }
