"""Estimates how long to wait for an answer, after RFC 6298."""

from typing import Final

#: Weights of a new sample in the mean round trip and in its mean deviation, and
#: the multiple of the deviation that is added to the mean; see RFC 6298.
_MEAN_WEIGHT: Final = 0.125
_DEVIATION_WEIGHT: Final = 0.25
_DEVIATION_FACTOR: Final = 4
#: Lower bound of what is added to the mean, as timers fire late.
_MIN_MARGIN_MS: Final = 50


class RoundTrips:
    """The round trips to one peer, and the wait that follows from them."""

    def __init__(self, min_wait_ms: int, max_wait_ms: int) -> None:
        """Start without samples, with the shortest wait."""
        self.wait_ms = min_wait_ms
        self._min_wait_ms = min_wait_ms
        self._max_wait_ms = max_wait_ms
        self._mean_ms: float | None = None
        self._deviation_ms: float = 0

    def add_sample(self, round_trip_ms: int) -> None:
        """Add the round trip of a message that was sent once."""
        if self._mean_ms is None:
            self._mean_ms = round_trip_ms
            self._deviation_ms = round_trip_ms / 2
        else:
            error_ms = round_trip_ms - self._mean_ms
            self._deviation_ms += _DEVIATION_WEIGHT * (
                abs(error_ms) - self._deviation_ms
            )
            self._mean_ms += _MEAN_WEIGHT * error_ms
        wait_ms = self._mean_ms + max(
            _MIN_MARGIN_MS, _DEVIATION_FACTOR * self._deviation_ms
        )
        self.wait_ms = round(
            min(max(wait_ms, self._min_wait_ms), self._max_wait_ms)
        )

    def back_off(self) -> None:
        """Double the wait after it was exceeded.

        The wait stays doubled until there is a sample, because the round trip
        of a message that was sent again is unknown.
        """
        self.wait_ms = min(2 * self.wait_ms, self._max_wait_ms)
