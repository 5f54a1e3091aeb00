"""Counts what crosses the link of an entry VM on connections of requests."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)

from ibisjunction.entry.link.model import Direction


@dataclass(frozen=True, slots=True)
class LinkUse:
    """Use of the link since the start of the process.

    ``bulk_ms`` is the time for which large bodies took it, and ``waiting`` the
    number of them that wait for a turn now. ``unstarted_bytes`` are those of
    bodies that wait before their requests ask for tickets, and
    ``unasked_bytes`` are expected of the answers to requests that wait.
    """

    short_bytes: dict[Direction, int] = field(default_factory=dict)
    bulk_bytes: dict[Direction, int] = field(default_factory=dict)
    bulk_ms: dict[Direction, int] = field(default_factory=dict)
    waiting: dict[Direction, int] = field(default_factory=dict)
    unstarted_bytes: int = 0
    unasked_bytes: int = 0


class LinkMeter:
    """Bytes of short messages and of large bodies, by direction."""

    def __init__(self) -> None:
        """Start at zero."""
        self._short: Counter[Direction] = Counter()
        self._bulk: Counter[Direction] = Counter()

    def count_short(self, direction: Direction, size: int) -> None:
        """Count bytes that pass without waiting."""
        self._short[direction] += size

    def count_bulk(self, direction: Direction, size: int) -> None:
        """Count bytes of a large body."""
        self._bulk[direction] += size

    def read_short(self, direction: Direction) -> int:
        """Return the bytes of short messages so far."""
        return self._short[direction]

    def read_total(self, direction: Direction) -> int:
        """Return the bytes of all messages so far."""
        return self._short[direction] + self._bulk[direction]

    def read(
        self,
        bulk_ms: dict[Direction, int],
        waiting: dict[Direction, int],
        unstarted_bytes: int,
        unasked_bytes: int,
    ) -> LinkUse:
        """Return the counts with what the schedule tells."""
        return LinkUse(
            dict(self._short),
            dict(self._bulk),
            bulk_ms,
            waiting,
            unstarted_bytes,
            unasked_bytes,
        )


def collect_link_use(use: LinkUse) -> Iterator[Metric]:
    """Yield the metrics of the link, for the exposition library."""
    sizes = CounterMetricFamily(
        'ibisjunction_link_bytes',
        'Bytes of requests and answers on the link, by direction and kind.',
        labels=('direction', 'kind'),
    )
    taken = CounterMetricFamily(
        'ibisjunction_link_bulk_ms',
        'Time for which large bodies took the link.',
        labels=('direction',),
    )
    waiting = GaugeMetricFamily(
        'ibisjunction_link_waiting',
        'Large bodies that wait for their turn on the link.',
        labels=('direction',),
    )
    for direction in Direction:
        label = direction.value
        sizes.add_metric((label, 'short'), use.short_bytes.get(direction, 0))
        sizes.add_metric((label, 'bulk'), use.bulk_bytes.get(direction, 0))
        taken.add_metric((label,), use.bulk_ms.get(direction, 0))
        waiting.add_metric((label,), use.waiting.get(direction, 0))
    yield sizes
    yield taken
    yield waiting
    yield GaugeMetricFamily(
        'ibisjunction_link_unstarted_bytes',
        'Bytes of bodies that wait until the link can soon pass them.',
        value=use.unstarted_bytes,
    )
    yield GaugeMetricFamily(
        'ibisjunction_link_unasked_bytes',
        'Expected bytes of answers whose requests wait for the link.',
        value=use.unasked_bytes,
    )
