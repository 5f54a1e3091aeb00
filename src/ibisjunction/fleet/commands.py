"""Commands that change the state of the fleet.

A command names the process it applies to, by its start time (``born``), so
that a command that is committed late doesn't change a later process.
"""

from dataclasses import dataclass

from ibisjunction.catalogue.model import ItemUpdate
from ibisjunction.control.protocol import Voters
from ibisjunction.fleet.evacuations import EvacuateDomain, RestoreDomain
from ibisjunction.fleet.model import ProcessKey, Upstream


@dataclass(frozen=True, slots=True)
class UpdateItems:
    """Applies an operator's update of items."""

    update: ItemUpdate


@dataclass(frozen=True, slots=True)
class AdmitUpstream:
    """Adds a process; replaces any earlier one of its name or address."""

    upstream: Upstream


@dataclass(frozen=True, slots=True)
class AdmitUpstreams:
    """Adds several processes, as one :class:`AdmitUpstream` for each would."""

    upstreams: tuple[Upstream, ...]


@dataclass(frozen=True, slots=True)
class MarkDraining:
    """Stops new requests to a process that is about to leave."""

    upstream: str
    born: int


@dataclass(frozen=True, slots=True)
class ForgetUpstream:
    """Removes a process that has ended or left."""

    upstream: str
    born: int


@dataclass(frozen=True, slots=True)
class DivideKeys:
    """Divides all keys of a service into ``count`` shards without an owner."""

    service: str
    count: int


@dataclass(frozen=True, slots=True)
class SplitShard:
    """Splits a shard; ``starts`` are the first keys of the added shards."""

    service: str
    first: int
    starts: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class ReleaseShards:
    """Stops requests for shards, named by their first keys, before a move.

    ``shown`` is the sequence of a check-in of their owner; in that check-in or
    an earlier one, the owner reported that it holds each of the shards. It is
    ``None`` if the owner has not reported that.
    """

    service: str
    firsts: tuple[int, ...]
    shown: int | None = None


@dataclass(frozen=True, slots=True)
class FreedShard:
    """A shard that its holder released under a fence.

    ``handover`` is the token for the next owner; it may be empty.
    """

    first: int
    fence: int
    handover: str = ''


@dataclass(frozen=True, slots=True)
class FreeShards:
    """Removes the owners of shards that they certainly no longer hold."""

    service: str
    freed: tuple[FreedShard, ...]


@dataclass(frozen=True, slots=True)
class AssignShards:
    """Assigns shards without an owner to a process."""

    service: str
    upstream: str
    born: int
    firsts: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class ReplaceVoters:
    """Changes the voters of the log.

    The log uses the new voters as soon as it contains the command; the state
    lists them once the command is applied.
    """

    voters: Voters


@dataclass(frozen=True, slots=True)
class BlockRequest:
    """Refuses a request that has crashed several upstreams."""

    fingerprint: int


@dataclass(frozen=True, slots=True)
class AllowRequests:
    """Ends the refusal of requests."""

    fingerprints: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class MarkWarm:
    """Ends the time in which processes count as cold."""

    processes: tuple[ProcessKey, ...]


FleetCommand = (
    UpdateItems
    | AdmitUpstream
    | AdmitUpstreams
    | MarkDraining
    | ForgetUpstream
    | DivideKeys
    | SplitShard
    | ReleaseShards
    | FreeShards
    | AssignShards
    | ReplaceVoters
    | BlockRequest
    | AllowRequests
    | EvacuateDomain
    | RestoreDomain
    | MarkWarm
)
