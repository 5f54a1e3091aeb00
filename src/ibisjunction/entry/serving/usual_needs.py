"""How long requests usually take, and how large their answers are.

Bounded in memory: the latest answers of the routes that were used last.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import Final

from ibisjunction.entry.serving.shutdown import MIN_DURATION_MS, Need

#: Latest answers of one route and service that are kept.
_MAX_SAMPLES: Final = 64
#: Routes and services whose answers are kept.
_MAX_GROUPS: Final = 1024
#: With fewer answers, the usual duration is not known.
_MIN_SAMPLES: Final = 5
#: Duration that is assumed at least while it is not known.
_UNKNOWN_DURATION_MS: Final = 1000
#: One answer in twenty takes longer or is larger.
_QUANTILE: Final = 0.95


@dataclass(frozen=True, slots=True)
class Group:
    """Requests of one route to one service."""

    route: str
    service: str


@dataclass(slots=True)
class _Samples:
    durations: deque[int] = field(
        default_factory=lambda: deque(maxlen=_MAX_SAMPLES)
    )
    sizes: deque[int] = field(
        default_factory=lambda: deque(maxlen=_MAX_SAMPLES)
    )
    _usual: tuple[int, int] | None = None

    def add(self, duration_ms: int, size: int) -> None:
        """Add an answer."""
        self.durations.append(duration_ms)
        self.sizes.append(size)
        self._usual = None

    def find_usual(self) -> tuple[int, int]:
        """Return the usual duration and size, 0 without answers."""
        if self._usual is None:
            self._usual = (
                _find_quantile(self.durations),
                _find_quantile(self.sizes),
            )
        return self._usual


class UsualNeeds:
    """Durations and sizes of answers that one VM has measured."""

    def __init__(self) -> None:
        """Start without answers."""
        self._samples: OrderedDict[Group, _Samples] = OrderedDict()

    def record(self, group: Group, duration_ms: int, answer_bytes: int) -> None:
        """Record a successful answer.

        :param duration_ms: time at the upstream.
        """
        samples = self._samples.setdefault(group, _Samples())
        samples.add(duration_ms, answer_bytes)
        self._samples.move_to_end(group)
        if len(self._samples) > _MAX_GROUPS:
            self._samples.popitem(last=False)

    def find_size(self, group: Group) -> int:
        """Return the usual bytes of an answer, 0 if none was measured."""
        samples = self._samples.get(group)
        return 0 if samples is None else samples.find_usual()[1]

    def find(
        self, group: Group, body_bytes: int, *, has_large_answer: bool
    ) -> Need:
        """Return what a request of a group is expected to take.

        :param has_large_answer: whether its answer is expected to be large
            while none was measured.
        """
        samples = self._samples.get(group, _Samples())
        is_known = len(samples.durations) >= _MIN_SAMPLES
        least_ms = MIN_DURATION_MS if is_known else _UNKNOWN_DURATION_MS
        is_size_unknown = has_large_answer and not samples.sizes
        duration_ms, size = samples.find_usual()
        return Need(
            max(least_ms, duration_ms),
            body_bytes,
            None if is_size_unknown else size,
        )


def _find_quantile(values: deque[int]) -> int:
    if not values:
        return 0
    return sorted(values)[int(len(values) * _QUANTILE)]
