"""Counts what one VM and its peers send to each other, resend and buffer."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field, replace

from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)


@dataclass(frozen=True, slots=True)
class Count:
    """A number of messages or envelopes, and their bytes in all."""

    messages: int = 0
    size: int = 0

    def __str__(self) -> str:
        """Return both numbers, as logs show them."""
        return f'{self.messages}/{self.size}'

    def add(self, size: int) -> 'Count':
        """Return the count after one more message."""
        return Count(self.messages + 1, self.size + size)


@dataclass(frozen=True, slots=True)
class KindTraffic:
    """Messages of one type since the start, without their envelopes.

    Resends are counted apart from first sends. A message that arrives again is
    received once.
    """

    sent: Count = Count()
    resent: Count = Count()
    received: Count = Count()


@dataclass(frozen=True, slots=True)
class PeerTraffic:
    """Traffic by message type, and what the links buffer now, in bytes.

    ``envelopes_out`` and ``envelopes_in`` count all that passed to and from
    other VMs: messages, repeats and acknowledgements, with their envelopes but
    without the headers of TCP.
    """

    kinds: dict[str, KindTraffic] = field(default_factory=dict)
    links: int = 0
    buffered_messages: int = 0
    buffered_size: int = 0
    envelopes_out: Count = Count()
    envelopes_in: Count = Count()

    def describe_sent(self) -> str:
        """Return messages and bytes by type, resends after a plus sign."""
        return ', '.join(
            f'{kind} {counts.sent}+{counts.resent}'
            for kind, counts in sorted(self.kinds.items())
            if counts.sent.messages
        )

    def describe_received(self) -> str:
        """Return messages and bytes by type."""
        return ', '.join(
            f'{kind} {counts.received}'
            for kind, counts in sorted(self.kinds.items())
            if counts.received.messages
        )


#: Values of the labels of a metric, and what it shows for them.
_LabelledCount = tuple[tuple[str, ...], Count]


class TrafficCounter:
    """Counts the messages of one VM by type, and its envelopes."""

    def __init__(self) -> None:
        """Start at zero."""
        self._kinds: dict[str, KindTraffic] = {}
        self._out = Count()
        self._in = Count()

    def record_sent(self, kind: str, size: int) -> None:
        """Count a message that is sent for the first time."""
        counts = self._find(kind)
        self._kinds[kind] = replace(counts, sent=counts.sent.add(size))

    def record_resent(self, kind: str, size: int) -> None:
        """Count a message that is sent again."""
        counts = self._find(kind)
        self._kinds[kind] = replace(counts, resent=counts.resent.add(size))

    def record_received(self, kind: str, size: int) -> None:
        """Count a message that arrived whole for the first time."""
        counts = self._find(kind)
        self._kinds[kind] = replace(counts, received=counts.received.add(size))

    def record_envelope_out(self, size: int) -> None:
        """Count an envelope that was handed to a socket."""
        self._out = self._out.add(size)

    def record_envelope_in(self, size: int) -> None:
        """Count an envelope that arrived."""
        self._in = self._in.add(size)

    def read(self, links: int, messages: int, size: int) -> PeerTraffic:
        """Return the counts with what ``links`` links buffer now."""
        return PeerTraffic(
            dict(self._kinds), links, messages, size, self._out, self._in
        )

    def _find(self, kind: str) -> KindTraffic:
        return self._kinds.get(kind, KindTraffic())


def collect_traffic(traffic: PeerTraffic) -> Iterator[Metric]:
    """Yield the metrics of the traffic, for the exposition library."""
    kinds = sorted(traffic.kinds.items())
    yield from _collect_counts(
        'ibisjunction_peer',
        'to other VMs by type, without envelopes',
        ('kind', 'resent'),
        [((kind, 'no'), counts.sent) for kind, counts in kinds]
        + [((kind, 'yes'), counts.resent) for kind, counts in kinds],
    )
    yield from _collect_counts(
        'ibisjunction_peer_received',
        'from other VMs by type, without envelopes and repeats',
        ('kind',),
        [((kind,), counts.received) for kind, counts in kinds],
    )
    yield from _collect_counts(
        'ibisjunction_peer_envelope',
        'in envelopes of messages, repeats and acknowledgements',
        ('direction',),
        [(('out',), traffic.envelopes_out), (('in',), traffic.envelopes_in)],
    )
    yield GaugeMetricFamily(
        'ibisjunction_peer_links',
        'Links to other VMs.',
        value=traffic.links,
    )
    yield GaugeMetricFamily(
        'ibisjunction_peer_buffered_bytes',
        'Bytes of messages that are not acknowledged yet.',
        value=traffic.buffered_size,
    )


def _collect_counts(
    name: str,
    summary: str,
    labels: tuple[str, ...],
    counts: Iterable[_LabelledCount],
) -> Iterator[Metric]:
    """Yield one counter of messages and one of bytes."""
    readers: dict[str, Callable[[Count], int]] = {
        'messages': lambda count: count.messages,
        'bytes': lambda count: count.size,
    }
    rows = tuple(counts)
    for unit, read in readers.items():
        metric = CounterMetricFamily(
            f'{name}_{unit}', f'{unit.capitalize()} {summary}.', labels=labels
        )
        for values, count in rows:
            metric.add_metric(values, read(count))
        yield metric
