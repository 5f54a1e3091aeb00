"""How long requests usually take, and how large their answers are.

Bounded in memory: the latest answers of the routes that were used last.
"""

import statistics
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
#: Size that is assumed of a large answer while none was measured.
_UNKNOWN_ANSWER_BYTES: Final = 65536


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
        self.sizes.append(size)
        self.add_duration(duration_ms)

    def add_duration(self, duration_ms: int) -> None:
        """Add the time of a request at an upstream."""
        self.durations.append(duration_ms)
        self._usual = None

    def find_usual(self) -> tuple[int, int]:
        """Return the longest duration and the largest size, or 0."""
        if self._usual is None:
            self._usual = (
                max(self.durations, default=0),
                max(self.sizes, default=0),
            )
        return self._usual

    def find_means(self) -> tuple[int, int]:
        """Return the mean size and the mean duration of answers."""
        return (
            int(statistics.fmean(self.sizes)),
            int(statistics.fmean(self.durations)),
        )


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

    def record_unanswered(self, group: Group, duration_ms: int) -> None:
        """Record a request that had no answer after a time at its upstream.

        It counts only if others took less; else it shows nothing.
        """
        samples = self._samples.get(group)
        if samples is not None and duration_ms > samples.find_usual()[0]:
            samples.add_duration(duration_ms)

    def find_size(self, group: Group) -> int:
        """Return the usual bytes of an answer, 0 if none was measured."""
        samples = self._samples.get(group)
        return 0 if samples is None else samples.find_usual()[1]

    def find_means(
        self, group: Group, *, has_large_answer: bool
    ) -> tuple[int, int]:
        """Return the mean bytes of an answer and the mean time in ms.

        :param has_large_answer: whether its answer is expected to be large
            while none was measured.
        """
        samples = self._samples.get(group)
        if samples is None or not samples.sizes:
            size = _UNKNOWN_ANSWER_BYTES if has_large_answer else 0
            return size, _UNKNOWN_DURATION_MS
        return samples.find_means()

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
