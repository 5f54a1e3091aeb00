"""Sample records, services and settings that several tests use."""

from dataclasses import replace
from pathlib import Path

from ibisjunction.control.records import UpstreamRecord, VmRecord
from ibisjunction.dispatch.messages import TicketRequest
from ibisjunction.services import (
    Operation,
    Rank,
    RankPolicy,
    ServiceSpec,
    TermsLevel,
)
from ibisjunction.services.keys import KeyPlace, KeySource
from ibisjunction.settings import (
    Address,
    AuthKey,
    Settings,
    TimingSettings,
    VoterAddress,
)

TIMING = TimingSettings(
    heartbeat_ms=100,
    vm_lease_ms=600,
    grant_lease_ms=500,
    grant_renewal_ms=150,
    election_min_ms=150,
    election_max_ms=300,
    drain_ms=30_000,
    clock_error=0.01,
)

READ = Operation(
    'read',
    frozenset({'GET'}),
    idempotent=True,
    rank=Rank.STANDARD,
    timeout_ms=2000,
)
WRITE = Operation(
    'write',
    frozenset({'POST'}),
    idempotent=False,
    rank=Rank.URGENT,
    timeout_ms=3000,
)


def make_spec(service='mail-log', shards=8) -> ServiceSpec:
    """Return a service with one read and one write operation."""
    return ServiceSpec(
        service=service,
        path_prefix=f'/{service}/',
        shards=shards,
        key=KeySource(KeyPlace.PATH),
        operations=(READ, WRITE),
        ranks={
            rank: RankPolicy(target_ms=100, worth=1.0, min_share=0.1)
            for rank in Rank
        },
        terms=(
            TermsLevel(weight=1.0, max_in_flight=2),
            TermsLevel(weight=2.0, max_in_flight=3),
        ),
        client_levels={'tenant-a': 1},
    )


def make_vm(vm='vm-1', failure_domain='fd-1') -> VmRecord:
    """Return the record of a VM."""
    return VmRecord(
        vm=vm,
        peer='127.0.0.1:7001',
        http='127.0.0.1:8001',
        region='local',
        failure_domain=failure_domain,
        incarnation=1,
    )


def make_upstream(
    upstream='up-1',
    service='mail-log',
    slots=3,
    address='127.0.0.1:9001',
    incarnation=1,
) -> UpstreamRecord:
    """Return the record of an upstream that checks fences."""
    return UpstreamRecord(
        upstream=upstream,
        service=service,
        address=address,
        failure_domain='fd-1',
        slots=slots,
        connections=100,
        checks_fence=True,
        incarnation=incarnation,
    )


def make_settings(vm='vm-1', voters=('vm-1',)) -> Settings:
    """Return the settings of a VM; nothing listens on its addresses."""
    address = Address('127.0.0.1', 1)
    return Settings(
        vm=vm,
        region='local',
        failure_domain='fd-1',
        http=address,
        admin=address,
        peer=address,
        voters=tuple(VoterAddress(name, address) for name in voters),
        keys=(AuthKey('k1', b'a-shared-key-for-tests'),),
        operator_token='operator',
        upstream_token='upstream',
        timing=TIMING,
        data_folder=Path('unused'),
    )


def make_ticket_request(**fields) -> TicketRequest:
    """Return a ticket request; ``fields`` override the sample values."""
    request = TicketRequest(
        ticket_id='t-1',
        upstream='up-1',
        service='mail-log',
        shard=0,
        rank=Rank.STANDARD,
        client='tenant-a',
        weight=1.0,
        max_in_flight=3,
        remaining_ms=1000,
        idempotent=True,
    )
    return replace(request, **fields)
