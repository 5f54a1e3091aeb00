"""Why a connection of a caller ended, and what it meant for its requests."""

import enum
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from prometheus_client.core import CounterMetricFamily, Metric


class EndCause(enum.Enum):
    """What ended a connection; the value is in logs and metrics."""

    CALLER_CLOSED = 'caller closed'
    CALLER_RESET = 'caller reset'
    ANSWERED = 'last answer'
    DRAINED = 'no more requests'
    IDLE = 'idle timeout'
    DISPLACED = 'displaced'
    UNTAKEN = 'answer untaken'
    WRITE_TIMED_OUT = 'write timed out'
    FAILED = 'error'
    PROCESS_ENDED = 'process ended'

    @property
    def is_of_caller(self) -> bool:
        """Whether the caller ended the connection, and not this VM."""
        return self in {EndCause.CALLER_CLOSED, EndCause.CALLER_RESET}

    @property
    def is_expected(self) -> bool:
        """Whether callers know that requests behind this end have not run."""
        return self in {EndCause.ANSWERED, EndCause.DRAINED}


class CutStage(enum.Enum):
    """How far a request without an answer had come."""

    READ = 'read'
    SERVED = 'served'
    SENT = 'sent'
    ANSWERED = 'answered'


@dataclass(frozen=True, slots=True)
class ConnectionEndMeasured:
    """A connection has ended, with its requests that got no answer."""

    cause: EndCause
    cut: tuple[CutStage, ...] = ()


@dataclass(slots=True)
class ConnectionEndCount:
    """Counts of ended connections and of requests without an answer."""

    _ends: Counter[EndCause] = field(default_factory=Counter)
    _cut: Counter[tuple[EndCause, CutStage]] = field(default_factory=Counter)

    def add(self, measured: ConnectionEndMeasured) -> None:
        """Count an end."""
        self._ends[measured.cause] += 1
        for stage in measured.cut:
            self._cut[measured.cause, stage] += 1

    def collect(self) -> Iterator[Metric]:
        """Yield the metrics, for the exposition library."""
        ends = CounterMetricFamily(
            'ibisjunction_connection_ends',
            'Connections of callers that ended, by cause.',
            labels=('cause',),
        )
        for cause, count in self._ends.items():
            ends.add_metric((cause.value,), count)
        yield ends
        cut = CounterMetricFamily(
            'ibisjunction_requests_cut',
            'Requests whose connections ended without an answer.',
            labels=('cause', 'stage'),
        )
        for (cause, stage), count in self._cut.items():
            cut.add_metric((cause.value, stage.value), count)
        yield cut
