"""Gauges of a control VM in the usual text format."""

from collections.abc import Iterator

from prometheus_client.core import GaugeMetricFamily, Metric
from prometheus_client.exposition import generate_latest
from prometheus_client.registry import CollectorRegistry

from ibisjunction.coordination.log import FleetLog


class LogMetrics:
    """What a replica knows of the log and of the fleet."""

    def __init__(self, log: FleetLog) -> None:
        """Read the figures from a replica when they are asked for."""
        self._log = log
        self._registry = CollectorRegistry()
        self._registry.register(self)

    def render(self) -> bytes:
        """Return the text of all gauges."""
        return generate_latest(self._registry)

    def collect(self) -> Iterator[Metric]:
        """Yield all gauges, for the exposition library."""
        log = self._log
        state = log.replica.state
        shards = [one for held in state.shards.values() for one in held]
        figures = {
            'term': log.term,
            'applied_index': log.replica.index,
            'snapshot_index': log.replica_log.snapshot.index,
            'is_voter': log.is_voter,
            'voters': len(log.voters),
            'upstreams': len(state.upstreams),
            'shards': len(shards),
            'shards_without_owner': sum(not one.owner for one in shards),
            'shards_releasing': sum(one.is_releasing for one in shards),
            'last_fence': state.last_fence,
            'routes': len(state.catalogue.routes),
        }
        for name, figure in figures.items():
            yield GaugeMetricFamily(
                f'ibisjunction_control_{name}',
                f'{name} as applied by this replica.',
                value=figure,
            )
