"""When an entry VM sends its next heartbeat."""

from typing import Final

#: Interval until a leader asks for a longer one, and of the timer.
HEARTBEAT_MS: Final = 200
#: Shortest time between two heartbeats, if the leader asks for a report.
_MIN_REPORT_INTERVAL_MS: Final = 50


class HeartbeatSchedule:
    """Spaces heartbeats by the interval that the leader asks for.

    A leader asks for fewer heartbeats of each VM the more VMs there are, and
    for a report at once if the answer to a call waits for it.
    """

    def __init__(self) -> None:
        """Start with a heartbeat that is due."""
        self.interval_ms = HEARTBEAT_MS
        self._sent_ms: int | None = None
        self._is_report_wanted = False

    def set_interval(self, interval_ms: int) -> None:
        """Set the interval that the leader asks for."""
        self.interval_ms = max(HEARTBEAT_MS, interval_ms)

    def request_report(self) -> None:
        """Make a heartbeat due as soon as the last one is not too recent."""
        self._is_report_wanted = True

    def record_sent(self, now: int) -> None:
        """Record that a heartbeat was sent."""
        self._sent_ms = now
        self._is_report_wanted = False

    def is_due(self, now: int) -> bool:
        """Return whether to send a heartbeat at a tick of the timer.

        Ticks are ``HEARTBEAT_MS`` apart, so the one next to the end of the
        interval counts.
        """
        if self._sent_ms is None:
            return True
        remaining_ms = self._sent_ms + self.interval_ms - now
        return self.is_report_due(now) or remaining_ms <= HEARTBEAT_MS // 2

    def is_report_due(self, now: int) -> bool:
        """Return whether to send a heartbeat because a report is wanted."""
        is_recent = (
            self._sent_ms is not None
            and now < self._sent_ms + _MIN_REPORT_INTERVAL_MS
        )
        return self._is_report_wanted and not is_recent
