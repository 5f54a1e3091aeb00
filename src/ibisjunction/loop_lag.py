"""Measures how late the event loop of a process runs.

A loop that is busy with one callback, or a process that gets no processor time,
answers nothing meanwhile. The processor time tells the two apart.
"""

import asyncio
import logging
import time
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Final

from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)

from ibisjunction.clock import MS_PER_S, Clock, in_seconds
from ibisjunction.events import Event, log_event
from ibisjunction.mailbox import Mailbox

#: Interval of the measurements.
_INTERVAL_MS: Final = 100
#: A longer lag is logged. Callers notice it, as the targets of requests are
#: 500 ms and more.
LATE_MS: Final = 250
#: For this long a lag counts as recent.
_RECENT_MS: Final = 1500
_REPORT_INTERVAL_MS: Final = 5000

_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class LoopUse:
    """Lag of the event loop.

    ``longest_ms`` is the longest since the last report. ``late_ms`` sums the
    lags that were logged, and ``late`` counts them, since the process started.
    """

    longest_ms: int = 0
    late_ms: int = 0
    late: int = 0


class LagMeter:
    """Wakes up at intervals, and measures by how much it is late."""

    def __init__(self, clock: Clock, metrics: Mailbox[Any]) -> None:
        """Start without a lag.

        :param metrics: gets a :class:`LoopUse` every five seconds.
        """
        self._clock = clock
        self._metrics = metrics
        self._due_ms: int | None = None
        self._last_late_ms = 0
        self._last_lag_ms = 0
        self._use = LoopUse()

    @property
    def use(self) -> LoopUse:
        """The lags since the last report, with the sums of all."""
        return self._use

    def find_recent_ms(self, now: int) -> int:
        """Return the latest lag that was logged, unless it is long ago.

        A lag that goes on counts as well.
        """
        is_recent = now - self._last_late_ms < _RECENT_MS
        last_ms = self._last_lag_ms if is_recent else 0
        return max(last_ms, self._find_lag_ms(now))

    async def run(self) -> None:
        """Measure until cancelled."""
        report_ms = self._clock.now() + _REPORT_INTERVAL_MS
        used_s = time.process_time()
        while True:
            self._due_ms = self._clock.now() + _INTERVAL_MS
            await asyncio.sleep(in_seconds(_INTERVAL_MS))
            now = self._clock.now()
            last_used_s, used_s = used_s, time.process_time()
            self.record(now, round((used_s - last_used_s) * MS_PER_S))
            if now >= report_ms:
                report_ms = now + _REPORT_INTERVAL_MS
                self._report()

    def record(self, now: int, used_ms: int) -> None:
        """Record a measurement.

        :param used_ms: processor time since the last one.
        """
        use = self._use
        lag_ms = self._find_lag_ms(now)
        is_late = lag_ms >= LATE_MS
        self._use = LoopUse(
            max(use.longest_ms, lag_ms),
            use.late_ms + lag_ms * is_late,
            use.late + is_late,
        )
        if is_late:
            self._last_late_ms = now
            self._last_lag_ms = lag_ms
            log_event(
                _logger,
                Event.LOOP_LATE,
                logging.WARNING,
                lag_ms=lag_ms,
                used_ms=used_ms,
            )

    def _find_lag_ms(self, now: int) -> int:
        return 0 if self._due_ms is None else max(0, now - self._due_ms)

    def _report(self) -> None:
        self._metrics.post(self._use)
        self._use = LoopUse(0, self._use.late_ms, self._use.late)


def collect_loop_use(use: LoopUse) -> Iterator[Metric]:
    """Yield the metrics of the event loop, for the exposition library."""
    yield GaugeMetricFamily(
        'ibisjunction_loop_longest_lag_ms',
        'Longest lag of the event loop in the last five seconds.',
        value=use.longest_ms,
    )
    for name, text, count in (
        ('late_ms', 'Sum of the long lags of the event loop.', use.late_ms),
        ('late', 'Long lags of the event loop.', use.late),
    ):
        yield CounterMetricFamily(
            f'ibisjunction_loop_{name}', text, value=count
        )
