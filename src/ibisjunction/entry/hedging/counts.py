"""Counts of second attempts."""

import enum
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from prometheus_client.core import CounterMetricFamily, Metric


class HedgeResult(enum.Enum):
    """What became of a slow request; the value is in the metrics.

    A second attempt that has won was also started.
    """

    REFUSED = 'refused'
    STARTED = 'started'
    WON = 'won'


@dataclass(frozen=True, slots=True)
class HedgeMeasured:
    """A slow request has ended."""

    service: str
    result: HedgeResult


@dataclass(slots=True)
class HedgeCount:
    """Counts of slow requests by service and result."""

    _counts: Counter[tuple[str, HedgeResult]] = field(default_factory=Counter)

    def add(self, measured: HedgeMeasured) -> None:
        """Count a slow request."""
        self._counts[measured.service, measured.result] += 1
        if measured.result is HedgeResult.WON:
            self._counts[measured.service, HedgeResult.STARTED] += 1

    def collect(self) -> Iterator[Metric]:
        """Yield the metric, for the exposition library."""
        family = CounterMetricFamily(
            'ibisjunction_second_attempts',
            'Second attempts of slow requests: started, won by the second, and'
            ' refused by the limit or the retry budget.',
            labels=('service', 'result'),
        )
        for (service, result), count in self._counts.items():
            family.add_metric((service, result.value), count)
        yield family
