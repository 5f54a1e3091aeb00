"""The state of the fleet as one VM has applied it, for people and scripts."""

from collections import Counter
from dataclasses import dataclass

import msgspec

from ibisjunction.catalogue.model import ItemType
from ibisjunction.fleet.model import FleetState
from ibisjunction.mailbox import Mailbox


class ItemEntry(msgspec.Struct, frozen=True):
    """The version of an item that is in force on the VM."""

    collection: str
    name: str
    version: int


class UpstreamEntry(msgspec.Struct, frozen=True):
    """A process of an upstream and how many shards it owns."""

    upstream: str
    born: int
    service: str
    address: str
    failure_domain: str
    slots: int
    is_draining: bool
    shards: int
    is_cold: bool = False


class ShardEntry(msgspec.Struct, frozen=True):
    """A range of keys, both ends included; ``owner`` is empty if unowned."""

    service: str
    first: int
    last: int
    owner: str
    fence: int
    is_releasing: bool


class VmSummary(msgspec.Struct, frozen=True):
    """The role of a VM and its view of the control plane.

    ``role`` is ``control`` or ``entry``. ``duty`` is ``leading``, ``voting`` or
    ``joining`` for control. For entry it is ``serving``, or ``waiting`` while
    the VM has no lease and sends no requests. ``vms`` are the entry VMs that
    serve, from the leader's lease table or from the last renewal.
    """

    vm: str
    role: str
    duty: str
    term: int
    index: int
    leader: str
    voters: tuple[str, ...]
    vms: tuple[str, ...]


class VmReport(VmSummary, frozen=True):
    """The summary of a VM and the fleet state that it has applied.

    ``evacuated`` are the failure domains that get no new requests.
    """

    items: tuple[ItemEntry, ...]
    upstreams: tuple[UpstreamEntry, ...]
    shards: tuple[ShardEntry, ...]
    evacuated: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ReadState:
    """Requests the report of a VM, encoded as JSON."""

    reply: Mailbox[bytes]


def encode_report(summary: VmSummary, state: FleetState) -> bytes:
    """Encode the report of a VM as JSON."""
    report = VmReport(
        **msgspec.structs.asdict(summary),
        items=_list_items(state),
        upstreams=_list_upstreams(state),
        shards=_list_shards(state),
        evacuated=state.evacuated,
    )
    return msgspec.json.encode(report)


def decode_report(encoded: bytes) -> VmReport:
    """Decode a report.

    :raises msgspec.DecodeError: if the bytes are not a valid report.
    """
    return msgspec.json.decode(encoded, type=VmReport)


def _list_items(state: FleetState) -> tuple[ItemEntry, ...]:
    return tuple(
        ItemEntry(item_type.value, item.name, item.version)
        for item_type in ItemType
        for item in state.catalogue.list_items(item_type)
    )


def _list_upstreams(state: FleetState) -> tuple[UpstreamEntry, ...]:
    owned_counts = Counter(
        (shard.owner, shard.born)
        for shards in state.shards.values()
        for shard in shards
    )
    return tuple(
        UpstreamEntry(
            upstream.upstream,
            upstream.born,
            upstream.service,
            upstream.address,
            upstream.failure_domain,
            upstream.slots,
            upstream.is_draining,
            owned_counts[upstream.process_key],
            upstream.is_cold,
        )
        for upstream in state.upstreams.values()
    )


def _list_shards(state: FleetState) -> tuple[ShardEntry, ...]:
    return tuple(
        ShardEntry(
            service,
            shard.first,
            shard.last,
            shard.owner,
            shard.fence,
            shard.is_releasing,
        )
        for service, shards in state.shards.items()
        for shard in shards
    )
