"""Gauges of a control VM in the Prometheus text format."""

from collections.abc import Iterator

from prometheus_client.core import GaugeMetricFamily, Metric
from prometheus_client.exposition import generate_latest
from prometheus_client.registry import CollectorRegistry

from ibisjunction.coordination.check_in_queue import CheckInQueue
from ibisjunction.coordination.log import FleetLog
from ibisjunction.peers.traffic import PeerTraffic, collect_traffic


class LogMetrics:
    """Collects gauges of a replica's log and of the fleet."""

    def __init__(self, log: FleetLog) -> None:
        """Register the gauges, which are read from ``log`` when rendered."""
        self._log = log
        #: The latest traffic that the links reported.
        self.traffic = PeerTraffic()
        #: The check-ins of the latest term that this replica led.
        self.check_ins = CheckInQueue()
        self._registry = CollectorRegistry()
        self._registry.register(self)

    def render(self) -> bytes:
        """Return the text of all gauges."""
        return generate_latest(self._registry)

    def collect(self) -> Iterator[Metric]:
        """Yield all gauges; the registry calls this to render them."""
        log = self._log
        state = log.replica.state
        shards = [
            shard
            for service_shards in state.shards.values()
            for shard in service_shards
        ]
        figures = {
            'term': log.term,
            'applied_index': log.replica.index,
            'snapshot_index': log.replica_log.snapshot.index,
            'is_voter': log.is_voter,
            'voters': len(log.voters),
            'upstreams': len(state.upstreams),
            'upstreams_cold': sum(
                upstream.is_cold for upstream in state.upstreams.values()
            ),
            'shards': len(shards),
            'shards_without_owner': sum(not shard.owner for shard in shards),
            'shards_releasing': sum(shard.is_releasing for shard in shards),
            'last_fence': state.last_fence,
            'evacuated_failure_domains': len(state.evacuated),
            'routes': len(state.catalogue.routes),
            'check_ins_waiting': len(self.check_ins),
            'check_ins_put_off': self.check_ins.put_off_count,
        }
        for name, figure in figures.items():
            yield GaugeMetricFamily(
                f'ibisjunction_control_{name}',
                f'{name} as applied by this replica.',
                value=figure,
            )
        yield from collect_traffic(self.traffic)
