"""Commands that change the state of the fleet.

A command names the process (``born``) it was meant for, so that one that is
committed late changes nothing of a later process.
"""

from dataclasses import dataclass

from ibisjunction.catalogue.model import ItemUpdate
from ibisjunction.control.protocol import Voters
from ibisjunction.fleet.model import Upstream


@dataclass(frozen=True, slots=True)
class UpdateItems:
    """Applies what an operator sent."""

    update: ItemUpdate


@dataclass(frozen=True, slots=True)
class AdmitUpstream:
    """Adds a process, in place of an earlier one of its name or address."""

    upstream: Upstream


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
    """Divides a shard; ``starts`` are the first keys of the parts after it."""

    service: str
    first: int
    starts: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class ReleaseShards:
    """Stops requests for shards, named by their first keys, before a move.

    ``shown`` is the sequence of a check-in of their owner; in that one or an
    earlier one it said of each of the shards that it holds it.
    """

    service: str
    firsts: tuple[int, ...]
    shown: int | None = None


@dataclass(frozen=True, slots=True)
class FreedShard:
    """A shard that its holder gave up under a fence; the token may be empty."""

    first: int
    fence: int
    handover: str = ''


@dataclass(frozen=True, slots=True)
class FreeShards:
    """Takes shards from owners that surely hold them no more."""

    service: str
    freed: tuple[FreedShard, ...]


@dataclass(frozen=True, slots=True)
class AssignShards:
    """Gives shards without an owner to a process."""

    service: str
    upstream: str
    born: int
    firsts: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class ReplaceVoters:
    """Changes the voters of the log; takes effect through the log itself."""

    voters: Voters


FleetCommand = (
    UpdateItems
    | AdmitUpstream
    | MarkDraining
    | ForgetUpstream
    | DivideKeys
    | SplitShard
    | ReleaseShards
    | FreeShards
    | AssignShards
    | ReplaceVoters
)
