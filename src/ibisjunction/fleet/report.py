"""What one VM knows of the fleet, for people and scripts."""

from collections import Counter
from dataclasses import dataclass

import msgspec

from ibisjunction.catalogue.model import ItemType
from ibisjunction.fleet.model import FleetState
from ibisjunction.mailbox import Mailbox


class ItemEntry(msgspec.Struct, frozen=True):
    """An item that is in force on the VM."""

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


class ShardEntry(msgspec.Struct, frozen=True):
    """A range of keys, both ends included; ``owner`` is empty if none."""

    service: str
    first: int
    last: int
    owner: str
    fence: int
    is_releasing: bool


class Standing(msgspec.Struct, frozen=True):
    """What a VM knows of itself, beside the state of the fleet.

    ``role`` is ``control`` or ``entry``. ``duty`` is ``leading``, ``voting`` or
    ``joining`` for control, and ``serving`` or ``waiting`` (for a lease, so
    nothing is sent) for entry. ``vms`` are the entry VMs that it knows.
    """

    vm: str
    role: str
    duty: str
    term: int
    index: int
    leader: str
    voters: tuple[str, ...]
    vms: tuple[str, ...]


class VmReport(Standing, frozen=True):
    """A VM, and the state as it has applied it."""

    items: tuple[ItemEntry, ...]
    upstreams: tuple[UpstreamEntry, ...]
    shards: tuple[ShardEntry, ...]


@dataclass(frozen=True, slots=True)
class ReadState:
    """Asks for the report of a VM, encoded as JSON."""

    reply: Mailbox[bytes]


def encode_report(standing: Standing, state: FleetState) -> bytes:
    """Return the report of a VM as JSON."""
    report = VmReport(
        **msgspec.structs.asdict(standing),
        items=_list_items(state),
        upstreams=_list_upstreams(state),
        shards=_list_shards(state),
    )
    return msgspec.json.encode(report)


def decode_report(encoded: bytes) -> VmReport:
    """Return the report that the bytes hold.

    :raises msgspec.DecodeError: if they hold none.
    """
    return msgspec.json.decode(encoded, type=VmReport)


def _list_items(state: FleetState) -> tuple[ItemEntry, ...]:
    return tuple(
        ItemEntry(item_type.value, item.name, item.version)
        for item_type in ItemType
        for item in state.catalogue.list_items(item_type)
    )


def _list_upstreams(state: FleetState) -> tuple[UpstreamEntry, ...]:
    owned = Counter(
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
            owned[upstream.process],
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
