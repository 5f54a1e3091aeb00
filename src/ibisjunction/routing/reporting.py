"""Log lines and metrics of completed requests."""

import logging

from ibisjunction.events import Event, log_event
from ibisjunction.metrics import RequestMeasured
from ibisjunction.outcomes import Answered, Failed, Outcome, Refused
from ibisjunction.routing.model import CallerRequest

_logger = logging.getLogger(__name__)


def measure_outcome(
    request: CallerRequest,
    outcome: Outcome,
    duration_ms: int,
) -> RequestMeasured:
    """Return the measurement of a request for the metrics.

    Service and rank are empty if the request has no route.
    """
    route = request.route
    return RequestMeasured(
        service='' if route is None else route.spec.service,
        rank='' if route is None else route.operation.rank.value,
        upstream=request.upstream,
        outcome=_name_outcome(outcome),
        duration_ms=duration_ms,
    )


def _name_outcome(outcome: Outcome) -> str:
    match outcome:
        case Answered():
            return 'answered'
        case Refused(reason=reason) | Failed(reason=reason):
            return reason.name


def log_outcome(request: CallerRequest, outcome: Outcome) -> None:
    """Log the outcome of a request."""
    match outcome:
        case Answered(status=status, service_ms=service_ms):
            log_event(
                _logger,
                Event.REQUEST_ANSWERED,
                request=request.request_id,
                status=status,
                ms=service_ms,
            )
        case Refused(reason=reason, detail=detail):
            log_event(
                _logger,
                Event.REQUEST_REFUSED,
                request=request.request_id,
                reason=reason.name,
                detail=detail,
            )
        case Failed(reason=reason, detail=detail, verdict=verdict):
            log_event(
                _logger,
                Event.REQUEST_FAILED,
                request=request.request_id,
                reason=reason.name,
                verdict=verdict.value,
                detail=detail,
            )
