"""The load that upstreams tell in their answers."""

import re
from dataclasses import dataclass
from typing import Final

#: Three or four whole numbers, separated by commas.
_FIGURES: Final = re.compile(r'\d{1,6}(?:\s*,\s*\d{1,6}){2,3}', re.ASCII)
_USUAL_PACE: Final = 100
#: A pace beyond this is taken for a mistake.
_MAX_PACE: Final = 10_000
#: Weight of a new pace in its mean; about the answers that measure the service
#: time have a weight.
_PACE_SMOOTHING: Final = 0.15
#: A told pace changes the measured service time by at most this factor.
_MAX_SLOWDOWN: Final = 3.0


@dataclass(frozen=True, slots=True)
class ToldLoad:
    """Requests that run and wait at an upstream, as it answered.

    ``pace`` is the time that work takes on its machine in percent of the usual
    time.
    """

    running: int
    waiting: int
    slots: int
    pace: int = _USUAL_PACE


def parse_load(text: str | None) -> ToldLoad | None:
    """Return the load that a header tells.

    :return: ``None`` without a header, or if a figure is missing, surplus, no
        whole number or out of range; no figure of such a header is used.
    """
    if text is None or _FIGURES.fullmatch(text.strip()) is None:
        return None
    load = ToldLoad(*(int(figure) for figure in text.split(',')))
    is_possible = load.slots > 0 and 0 < load.pace <= _MAX_PACE
    return load if is_possible else None


@dataclass(slots=True)
class LoadEstimate:
    """What the latest told load means for one more request.

    A told load ages: requests of others end after about a service time, and
    the pace of a machine changes within it. So its weight falls from 1 to 0
    over that time, and an upstream that tells nothing any more is judged by
    what is measured alone.
    """

    #: Requests that were not granted here, as of ``_told_ms``.
    _others: int = 0
    _told_ms: int = 0
    _pace: int = _USUAL_PACE
    #: Mean pace of the answers from which the service time is measured.
    _mean_pace: float = _USUAL_PACE

    def record(self, load: ToldLoad, in_flight: int, now: int) -> None:
        """Record what an answer tells.

        :param in_flight: granted requests that have not ended.
        """
        self._others = max(0, load.running + load.waiting - in_flight)
        self._pace = load.pace
        self._mean_pace += _PACE_SMOOTHING * (load.pace - self._mean_pace)
        self._told_ms = now

    def count_others(self, service_ms: float, now: int) -> float:
        """Return how many requests of others the upstream has now."""
        return self._others * self._weigh(service_ms, now)

    def find_slowdown(self, service_ms: float, now: int) -> float:
        """Return the time that work takes now, relative to measured times."""
        ratio = self._pace / max(1, self._mean_pace)
        bounded = min(_MAX_SLOWDOWN, max(1 / _MAX_SLOWDOWN, ratio))
        return 1 + (bounded - 1) * self._weigh(service_ms, now)

    def _weigh(self, service_ms: float, now: int) -> float:
        age_ms = max(0, now - self._told_ms)
        return max(0, 1 - age_ms / max(1, service_ms))
