"""The measured speed of one upstream, reported with hysteresis."""

from typing import Final

#: Weight of one sample in the moving mean, which follows a change within about
#: 100 requests.
_SAMPLE_WEIGHT: Final = 0.03
#: Fewer samples are not representative, in particular while an upstream starts
#: cold.
_MIN_SAMPLES: Final = 30
#: The reported speed follows a change by this factor or more. Shards are moved
#: for a new reported speed, so ordinary variation must stay below it.
_HYSTERESIS_FACTOR: Final = 1.3
#: Service times are whole milliseconds; one of 0 ms is counted as this.
_MIN_SAMPLE_MS: Final = 0.5
_MS_PER_S: Final = 1000


class SpeedMeter:
    """Measures the speed of an upstream by the mean time of its requests.

    ``reported_speed`` is in requests per slot and second, 0 while unknown.
    """

    def __init__(self) -> None:
        """Start without samples."""
        self.reported_speed: float = 0
        self._mean_ms: float = 0
        self._sample_count = 0

    def record(self, service_ms: int) -> None:
        """Record the service time of a request that succeeded."""
        sample_ms = max(service_ms, _MIN_SAMPLE_MS)
        self._sample_count += 1
        # The first samples have equal weight, which limits the effect of an
        # early outlier.
        weight = max(_SAMPLE_WEIGHT, 1 / self._sample_count)
        self._mean_ms += weight * (sample_ms - self._mean_ms)
        if self._sample_count < _MIN_SAMPLES:
            return
        speed = _MS_PER_S / self._mean_ms
        if not self.reported_speed or _differs(speed, self.reported_speed):
            self.reported_speed = speed


def _differs(speed: float, reported_speed: float) -> bool:
    ratio = speed / reported_speed
    return ratio >= _HYSTERESIS_FACTOR or ratio <= 1 / _HYSTERESIS_FACTOR
