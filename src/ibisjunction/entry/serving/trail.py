"""Collects the decisions on one request for the log.

Once its outcome is known, all decisions on a refused, failed or late request
are logged, each with its time. Other served requests are logged only if their
id is sampled; the rest are only counted.
"""

import logging
import zlib
from dataclasses import dataclass, field
from typing import Any, Final

from ibisjunction.entry.hedging.counts import HedgeResult
from ibisjunction.entry.serving.phases import PhaseTimes
from ibisjunction.events import Event, log_event

_logger = logging.getLogger(__name__)

#: On average, one of this many served requests is logged.
SAMPLE_INTERVAL: Final = 32


@dataclass(frozen=True, slots=True)
class _LoggedDecision:
    event: Event
    after_ms: int
    fields: dict[str, Any]


@dataclass(slots=True)
class Trail:
    """The decisions in order; times are relative to the request's arrival."""

    request_id: str
    arrived_ms: int
    #: Whether the request was passed on to an upstream, at least in part.
    is_sent: bool = False
    #: Whether the request ended after its timeout, and is logged if served.
    is_late: bool = False
    #: What became of the request if it was slow.
    hedge: HedgeResult | None = None
    phases: PhaseTimes = field(default_factory=PhaseTimes)
    _decisions: list[_LoggedDecision] = field(default_factory=list)

    def add(self, event: Event, now: int, **fields: Any) -> None:
        """Store a decision."""
        after_ms = now - self.arrived_ms
        self._decisions.append(_LoggedDecision(event, after_ms, fields))

    def write(self, *, is_served: bool) -> bool:
        """Log the decisions, unless the request was served in time.

        One that was served in time is logged if it is sampled.

        :return: whether they were logged.
        """
        is_usual = is_served and not self.is_late
        if is_usual and not is_sampled(self.request_id):
            return False
        for decision in self._decisions:
            log_event(
                _logger,
                decision.event,
                request=self.request_id,
                after_ms=decision.after_ms,
                **decision.fields,
            )
        return True


def is_sampled(request_id: str) -> bool:
    """Return whether a request is logged even if it is served.

    The choice depends only on the id, so all VMs sample the same requests.
    """
    return zlib.crc32(request_id.encode()) % SAMPLE_INTERVAL == 0
