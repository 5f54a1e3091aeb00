"""Log lines for the decisions of a dispatcher."""

import logging

from ibisjunction.dispatch.breaker import Closed
from ibisjunction.dispatch.dispatcher import (
    BreakerChanged,
    Effect,
    LimitChanged,
    SendToVm,
)
from ibisjunction.dispatch.messages import TicketGranted, TicketRefused
from ibisjunction.events import Event, log_event

_logger = logging.getLogger(__name__)


def log_effect(effect: Effect) -> None:
    """Write the log line of one effect."""
    match effect:
        case SendToVm():
            _log_message(effect)
        case LimitChanged() | BreakerChanged():
            _log_change(effect)


def _log_change(change: LimitChanged | BreakerChanged) -> None:
    match change:
        case LimitChanged(upstream=upstream, limit=limit):
            log_event(
                _logger,
                Event.LIMIT_CHANGED,
                upstream=upstream,
                limit=limit,
            )
        case BreakerChanged(upstream=upstream, breaker=Closed()):
            log_event(_logger, Event.BREAKER_CLOSED, upstream=upstream)
        case BreakerChanged(upstream=upstream, breaker=breaker):
            log_event(
                _logger,
                Event.BREAKER_OPENED,
                upstream=upstream,
                breaker=breaker,
            )


def _log_message(effect: SendToVm) -> None:
    match effect.message:
        case TicketGranted() as granted:
            log_event(
                _logger,
                Event.TICKET_GRANTED,
                ticket=granted.ticket_id,
                vm=effect.vm,
                upstream=granted.upstream,
                epoch=granted.epoch,
                fence=granted.fence,
            )
        case TicketRefused() as refused:
            log_event(
                _logger,
                Event.TICKET_REFUSED,
                ticket=refused.ticket_id,
                vm=effect.vm,
                reason=refused.reason.name,
                retry_after_ms=refused.retry_after_ms,
            )
