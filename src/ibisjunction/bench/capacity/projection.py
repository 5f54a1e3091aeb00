"""Computes the costs of the expected size from the measured slopes."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Final

from ibisjunction.bench.capacity.costs import Costs
from ibisjunction.bench.capacity.targets import (
    SECONDS_PER_DAY,
    Assumptions,
    Counts,
    Targets,
)
from ibisjunction.clock import MS_PER_S

_KIB: Final = 1024
_US_PER_S: Final = 1_000_000
_US_PER_MS: Final = 1000
_PERCENT: Final = 100


@dataclass(frozen=True, slots=True)
class Row:
    """One figure of a role; ``limit`` is ``None`` if no target limits it."""

    role: str
    quantity: str
    amount: float
    unit: str
    limit: float | None = None

    @property
    def is_met(self) -> bool:
        """Whether the figure stays within its limit."""
        return self.limit is None or self.amount <= self.limit


Projection = Callable[[Costs, Counts], Iterator[Row]]


def project(costs: Costs) -> list[Row]:
    """Return the figures of all roles."""
    counts = Counts(Targets(), Assumptions())
    return [
        row
        for project_role in _PROJECTIONS
        for row in project_role(costs, counts)
    ]


def _project_counts(costs: Costs, counts: Counts) -> Iterator[Row]:
    targets = counts.targets
    role = 'size'
    yield Row(role, 'requests/s per daemon', targets.requests_per_daemon, '')
    yield Row(role, 'upstreams', counts.upstreams, '')
    yield Row(role, 'shards', counts.shards, '')
    yield Row(role, 'keys per shard', targets.keys / counts.shards, '')
    yield Row(
        role, 'daemons that route to one upstream', counts.cell_daemons, ''
    )
    yield Row(role, 'cells', counts.cells, '')


def _project_router(costs: Costs, counts: Counts) -> Iterator[Row]:
    role = 'caller-facing router'
    rate = counts.targets.requests_per_daemon
    us_per_request = costs.fit(
        'accepting VM, dispatcher elsewhere',
        'request',
    ).slope
    yield Row(role, 'processor time per request', us_per_request, 'us')
    cores = rate * us_per_request / _US_PER_S
    yield Row(role, 'cores for its requests', cores, 'cores', 1)
    downloads_per_s = counts.assumed.download_share * rate
    us_per_mib = costs.fit('download at the accepting VM', 'MiB').slope
    mib_per_s = downloads_per_s * counts.assumed.download_mib
    yield Row(role, 'downloads', mib_per_s, 'MiB/s')
    yield Row(
        role,
        'cores for downloads',
        mib_per_s * us_per_mib / _US_PER_S,
        'cores',
        1,
    )
    in_flight = rate * counts.targets.p99_ms / MS_PER_S
    yield Row(role, 'requests in flight at most', in_flight, '')


def _project_dispatcher(costs: Costs, counts: Counts) -> Iterator[Row]:
    role = 'dispatcher'
    rate = counts.targets.requests_per_daemon
    kinds = ('TicketRequest', 'TicketGranted', 'TicketDone')
    messages = [costs.message(kind) for kind in kinds]
    yield Row(role, 'upstreams per daemon', counts.upstreams_per_daemon, '')
    yield Row(role, 'messages per request', len(messages), '')
    request_bytes = sum(message.wire_bytes for message in messages)
    yield Row(role, 'bytes per request', request_bytes, 'bytes')
    yield Row(role, 'bytes/s', request_bytes * rate / _KIB**2, 'MiB/s')
    codec_us = sum(message.send_us + message.receive_us for message in messages)
    yield Row(role, 'encoding per request, both ends', codec_us, 'us')
    us_per_request = costs.fit('dispatcher', 'request').slope
    yield Row(role, 'processor time per request', us_per_request, 'us')
    cores = rate * us_per_request / _US_PER_S
    yield Row(role, 'cores for its requests', cores, 'cores', 1)


def _project_leader(costs: Costs, counts: Counts) -> Iterator[Row]:
    role = 'control leader, as built'
    daemons = counts.targets.daemons
    heartbeat_rate = daemons * counts.assumed.heartbeats_per_s
    us_per_heartbeat = costs.fit('idle leader, per second', 'VM').slope
    yield Row(role, 'heartbeats/s', heartbeat_rate, '')
    yield Row(
        role,
        'cores for heartbeats',
        us_per_heartbeat * daemons / _US_PER_S,
        'cores',
        1,
    )
    move_us = costs.fit('move of a shard', 'shard').estimate(counts.shards)
    yield Row(role, 'apply a move', move_us / _US_PER_MS, 'ms')
    encoding_us = costs.fit('encoding a snapshot', 'shard').estimate(
        counts.shards
    )
    yield Row(role, 'encode a snapshot', encoding_us / _US_PER_MS, 'ms')
    planning_us = costs.fit('planning', 'shard').estimate(counts.shards)
    yield Row(role, 'one planning step', planning_us / _US_PER_MS, 'ms')
    lost_dispatchers = counts.targets.domain_size * counts.upstreams_per_daemon
    yield Row(
        role, 'dispatchers of a lost failure domain', lost_dispatchers, ''
    )
    yield Row(
        role,
        'apply them one by one',
        lost_dispatchers * move_us / _US_PER_MS,
        'ms',
        counts.targets.served_again_ms,
    )


def _project_copy(costs: Costs, counts: Counts) -> Iterator[Row]:
    role = 'copy of the control state, as built'
    memory_kib = _estimate_state_kib(costs, counts, 'control state', 1)
    yield Row(
        role,
        'memory of the whole state',
        memory_kib / _KIB,
        'MiB',
        counts.targets.control_memory_mib,
    )
    snapshot_kib = _estimate_state_kib(costs, counts, 'snapshot', 1)
    yield Row(role, 'snapshot', snapshot_kib / _KIB, 'MiB')
    commands_per_s = counts.control_changes_per_day / SECONDS_PER_DAY
    move_us = costs.fit('move of a shard', 'shard').estimate(counts.shards)
    yield Row(role, 'commands/s without publications', commands_per_s, '')
    yield Row(
        role,
        'processor time for them',
        commands_per_s * move_us,
        'us/s',
        counts.targets.control_cpu_us_per_s,
    )


def _project_heartbeat(costs: Costs, counts: Counts) -> Iterator[Row]:
    role = 'idle daemon, as built'
    sent_bytes = costs.message('Heartbeat').wire_bytes
    received_bytes = costs.message('LeaseRenewal').wire_bytes
    voters = counts.assumed.voters
    rate = counts.assumed.heartbeats_per_s
    limit = counts.targets.control_bytes_per_s
    yield Row(
        role,
        'heartbeat bytes/s to every voter',
        rate * (sent_bytes * voters + received_bytes),
        'bytes/s',
        limit,
    )
    idle = costs.fit('idle daemon, per second', 'VM')
    yield Row(
        role,
        'processor time of an idle daemon',
        idle.points[-1][1],
        'us/s',
        counts.targets.control_cpu_us_per_s,
    )
    memory = costs.fit('resident memory', 'VM')
    yield Row(
        role,
        'resident memory of an idle daemon',
        memory.points[-1][1],
        'MiB',
        counts.targets.control_memory_mib,
    )


def _project_publication(costs: Costs, counts: Counts) -> Iterator[Row]:
    role = 'publication'
    targets = counts.targets
    publications_per_s = targets.publications_per_day / SECONDS_PER_DAY
    services = counts.assumed.services
    yield Row(role, 'publications/s', publications_per_s, '')
    catalogue_bytes = services * counts.assumed.file_kib * _KIB
    yield Row(
        role,
        'bytes/s of a daemon if each carries all service files',
        publications_per_s * catalogue_bytes,
        'bytes/s',
        targets.control_bytes_per_s,
    )
    applying = costs.fit('applying a publication', 'service file')
    parsing = costs.fit('parsing service files', 'service file')
    all_files_us = applying.estimate(services) + parsing.estimate(services)
    yield Row(
        role,
        'processor time if all files are parsed anew',
        publications_per_s * all_files_us,
        'us/s',
        targets.control_cpu_us_per_s,
    )
    cell_publications_per_s = publications_per_s / counts.cells
    yield Row(
        role,
        'processor time if a cell parses its own changed file',
        cell_publications_per_s * parsing.estimate(1),
        'us/s',
        targets.control_cpu_us_per_s,
    )
    yield Row(
        role,
        'bytes/s if a cell receives its own changed file',
        cell_publications_per_s * counts.assumed.file_kib * _KIB,
        'bytes/s',
        targets.control_bytes_per_s,
    )


def _project_cell(costs: Costs, counts: Counts) -> Iterator[Row]:
    role = 'with cells'
    targets = counts.targets
    memory_kib = _estimate_state_kib(
        costs, counts, 'control state', counts.cells
    )
    yield Row(
        role,
        'memory of one cell of the state',
        memory_kib / _KIB,
        'MiB',
        targets.control_memory_mib,
    )
    commands_per_s = (
        counts.control_changes_per_day / SECONDS_PER_DAY / counts.cells
    )
    shards = counts.shards / counts.cells
    move_us = costs.fit('move of a shard', 'shard').estimate(shards)
    yield Row(
        role,
        'processor time for the commands of a cell',
        commands_per_s * move_us,
        'us/s',
        targets.control_cpu_us_per_s,
    )
    links_kib = counts.cell_daemons * costs.fit('link to a peer', 'link').slope
    yield Row(role, 'memory of links in a cell', links_kib / _KIB, 'MiB')
    planning_us = costs.fit('planning', 'shard').estimate(shards)
    yield Row(role, 'planning step of a cell', max(planning_us, 0), 'us')
    lost_dispatchers = (
        targets.domain_size * counts.upstreams_per_daemon / counts.cells
    )
    yield Row(
        role,
        'apply the dispatchers of a lost failure domain, per cell',
        lost_dispatchers * move_us / _US_PER_MS,
        'ms',
        targets.served_again_ms,
    )


def _project_relays(costs: Costs, counts: Counts) -> Iterator[Row]:
    """Yield rows for relays, which answer heartbeats in place of the leader.

    One reserved VM per failure domain is a relay.
    """
    role = 'control relay, one reserved VM per failure domain'
    targets = counts.targets
    heartbeat = costs.message('Heartbeat')
    renewal = costs.message('LeaseRenewal')
    # Twice the current interval, which leaves two heartbeats before a lease
    # expires.
    rate = counts.assumed.heartbeats_per_s / 2
    exchange_bytes = heartbeat.wire_bytes + renewal.wire_bytes
    yield Row(
        role,
        'bytes/s of a daemon to its relay, 200 ms apart',
        rate * exchange_bytes,
        'bytes/s',
        targets.control_bytes_per_s,
    )
    relay_heartbeat_rate = rate * targets.domain_size
    yield Row(
        role, 'reserved VMs', targets.failure_domains, '', targets.reserved_vms
    )
    yield Row(role, 'daemons per relay', targets.domain_size, '')
    yield Row(role, 'heartbeats/s at a relay', relay_heartbeat_rate, '')
    yield Row(
        role,
        'bytes/s at a relay',
        relay_heartbeat_rate * exchange_bytes / _KIB,
        'KiB/s',
    )
    leader_us_per_vm = costs.fit('idle leader, per second', 'VM').slope
    us_per_heartbeat = leader_us_per_vm / counts.assumed.heartbeats_per_s
    yield Row(
        role, 'processor time per heartbeat, as built', us_per_heartbeat, 'us'
    )
    yield Row(
        role,
        'cores for heartbeats, as built',
        relay_heartbeat_rate * us_per_heartbeat / _US_PER_S,
        'cores',
        1,
    )
    codec_us = heartbeat.receive_us + renewal.send_us
    yield Row(
        role,
        'cores for heartbeats, decoding and encoding only',
        relay_heartbeat_rate * codec_us / _US_PER_S,
        'cores',
        1,
    )
    yield Row(
        role,
        'other relays the leader hears from',
        targets.failure_domains - 1,
        '',
    )


def _project_ledger(costs: Costs, counts: Counts) -> Iterator[Row]:
    role = 'ledger'
    assumed = counts.assumed
    rate = counts.targets.requests_per_daemon * assumed.non_idempotent_share
    replicas = assumed.record_replicas
    stored_records = rate * assumed.retention_s * replicas
    yield Row(role, 'records/s written per daemon', rate * replicas, '')
    yield Row(role, 'records kept per daemon', stored_records, '')
    kib_per_record = costs.fit('request record', 'record').slope
    yield Row(
        role, 'memory of records', stored_records * kib_per_record / _KIB, 'MiB'
    )


def _project_pool(costs: Costs, counts: Counts) -> Iterator[Row]:
    role = 'upstream connection pool'
    assumed = counts.assumed
    all_daemons_connections = counts.targets.daemons * assumed.slots
    yield Row(
        role,
        'connections to an upstream if every daemon routes to it',
        all_daemons_connections,
        '',
        assumed.connections,
    )
    cell_connections = counts.cell_daemons * assumed.slots
    yield Row(
        role,
        'connections to an upstream in a cell',
        cell_connections,
        '',
        assumed.connections,
    )
    daemon_connections = counts.upstreams / counts.cells * assumed.slots
    yield Row(role, 'connections of a daemon in a cell', daemon_connections, '')


def _estimate_state_kib(
    costs: Costs,
    counts: Counts,
    name: str,
    cells: int,
) -> float:
    """Return the size of the state of one of ``cells`` equal cells."""
    sizes = {
        'shard': counts.shards,
        'upstream': counts.upstreams,
        'VM': counts.targets.daemons,
    }
    return sum(
        costs.fit(name, per).slope * count / cells
        for per, count in sizes.items()
    )


_PROJECTIONS: Final[tuple[Projection, ...]] = (
    _project_counts,
    _project_router,
    _project_dispatcher,
    _project_leader,
    _project_copy,
    _project_heartbeat,
    _project_publication,
    _project_cell,
    _project_relays,
    _project_ledger,
    _project_pool,
)
