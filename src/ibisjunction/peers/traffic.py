"""Counts what one VM sends to its peers, resends and buffers."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)


@dataclass(frozen=True, slots=True)
class KindTraffic:
    """Messages of one type sent since the start; sizes are in bytes.

    Resends are counted apart from first sends.
    """

    messages: int = 0
    size: int = 0
    resent_messages: int = 0
    resent_size: int = 0

    def add_sent(self, size: int) -> 'KindTraffic':
        """Return the counts after one more message was sent."""
        return KindTraffic(
            self.messages + 1,
            self.size + size,
            self.resent_messages,
            self.resent_size,
        )

    def add_resent(self, size: int) -> 'KindTraffic':
        """Return the counts after a message was sent again."""
        return KindTraffic(
            self.messages,
            self.size,
            self.resent_messages + 1,
            self.resent_size + size,
        )


@dataclass(frozen=True, slots=True)
class PeerTraffic:
    """Traffic by message type, and what the links buffer now, in bytes."""

    kinds: dict[str, KindTraffic] = field(default_factory=dict)
    links: int = 0
    buffered_messages: int = 0
    buffered_size: int = 0

    def describe_kinds(self) -> str:
        """Return messages and bytes by type, resends after a plus sign."""
        return ', '.join(
            f'{kind} {counts.messages}/{counts.size}'
            f'+{counts.resent_messages}/{counts.resent_size}'
            for kind, counts in sorted(self.kinds.items())
        )


class TrafficCounter:
    """Counts the messages of one VM by type."""

    def __init__(self) -> None:
        """Start at zero."""
        self._kinds: dict[str, KindTraffic] = {}

    def record_sent(self, kind: str, size: int) -> None:
        """Count a message that is sent for the first time."""
        self._kinds[kind] = self._find(kind).add_sent(size)

    def record_resent(self, kind: str, size: int) -> None:
        """Count a message that is sent again."""
        self._kinds[kind] = self._find(kind).add_resent(size)

    def read(self, links: int, messages: int, size: int) -> PeerTraffic:
        """Return the counts with what ``links`` links buffer now."""
        return PeerTraffic(dict(self._kinds), links, messages, size)

    def _find(self, kind: str) -> KindTraffic:
        return self._kinds.get(kind, KindTraffic())


def collect_traffic(traffic: PeerTraffic) -> Iterator[Metric]:
    """Yield the metrics of the traffic, for the exposition library."""
    messages = CounterMetricFamily(
        'ibisjunction_peer_messages',
        'Messages to other VMs by type.',
        labels=('kind', 'resent'),
    )
    sizes = CounterMetricFamily(
        'ibisjunction_peer_bytes',
        'Bytes of messages to other VMs by type, without envelopes.',
        labels=('kind', 'resent'),
    )
    for kind, counts in sorted(traffic.kinds.items()):
        messages.add_metric((kind, 'no'), counts.messages)
        messages.add_metric((kind, 'yes'), counts.resent_messages)
        sizes.add_metric((kind, 'no'), counts.size)
        sizes.add_metric((kind, 'yes'), counts.resent_size)
    yield messages
    yield sizes
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
