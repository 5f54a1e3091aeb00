"""The decisions on one request, for the log.

A served request is logged only if its id is sampled, and the others are
counted. All decisions on a refused or failed request are logged, each with the
time at which it was taken, once the outcome is known.
"""

import logging
import zlib
from dataclasses import dataclass, field
from typing import Any, Final

from ibisjunction.events import Event, log_event

_logger = logging.getLogger(__name__)

#: One of this many served requests is logged.
SAMPLED_OF: Final = 32


@dataclass(frozen=True, slots=True)
class _Decision:
    event: Event
    after_ms: int
    fields: dict[str, Any]


@dataclass(slots=True)
class Trail:
    """Decisions in their order; times count from the request's arrival."""

    request_id: str
    arrived_ms: int
    _decisions: list[_Decision] = field(default_factory=list)

    def add(self, event: Event, now: int, **fields: Any) -> None:
        """Keep a decision."""
        after_ms = now - self.arrived_ms
        self._decisions.append(_Decision(event, after_ms, fields))

    def write(self, *, is_served: bool) -> bool:
        """Log the decisions if they are of interest; return whether."""
        if is_served and not is_sampled(self.request_id):
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

    All VMs sample the same requests.
    """
    return zlib.crc32(request_id.encode()) % SAMPLED_OF == 0
