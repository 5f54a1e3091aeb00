"""Commands of the control log."""

from dataclasses import dataclass

from ibisjunction.control.records import UpstreamRecord, VmRecord, VoterRecord
from ibisjunction.control.terms import Renewal


@dataclass(frozen=True, slots=True)
class RegisterVm:
    """Adds a VM or replaces its record after a restart."""

    record: VmRecord


@dataclass(frozen=True, slots=True)
class RemoveVm:
    """Removes a VM whose lease has expired, unless it has restarted."""

    vm: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class AnnounceUpstream:
    """Adds an upstream or replaces its record after a restart."""

    record: UpstreamRecord


@dataclass(frozen=True, slots=True)
class DrainUpstream:
    """Marks an upstream as draining."""

    upstream: str


@dataclass(frozen=True, slots=True)
class RemoveUpstream:
    """Removes an upstream that owns no shard."""

    upstream: str


@dataclass(frozen=True, slots=True)
class AssignDispatcher:
    """Makes a VM the dispatcher of an upstream under a new epoch.

    ``replaces_epoch`` is the epoch that ends, 0 if there is no dispatcher, so
    that a command computed from an outdated state changes nothing.
    """

    upstream: str
    vm: str
    replaces_epoch: int = 0


@dataclass(frozen=True, slots=True)
class AssignShards:
    """Grants shards that have no owner, each under a new fence."""

    service: str
    upstream: str
    shards: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class BeginMove:
    """Starts the planned move of a shard away from its owner.

    ``fence`` is that of the current grant, so that a command computed from an
    outdated state changes nothing.
    """

    service: str
    shard: int
    fence: int
    to_upstream: str


@dataclass(frozen=True, slots=True)
class CompleteMove:
    """Ends the ownership under ``fence``; the former owner has released it.

    The shard gets the owner that it is being moved to, or no owner.
    """

    service: str
    shard: int
    fence: int


@dataclass(frozen=True, slots=True)
class PublishRevision:
    """Replaces the service files if ``base_revision`` is the current one.

    ``files`` maps file names to their text.
    """

    base_revision: int
    publication_id: str
    files: dict[str, str]


@dataclass(frozen=True, slots=True)
class RenewTerms:
    """Raises a client's level by one, once for each renewal id."""

    renewal: Renewal


@dataclass(frozen=True, slots=True)
class ChangeVoters:
    """Replaces the voters; the new ones differ by one voter."""

    voters: tuple[VoterRecord, ...]


@dataclass(frozen=True, slots=True)
class NoOperation:
    """Changes nothing; the command of the first entry of each leader."""


Command = (
    RegisterVm
    | RemoveVm
    | AnnounceUpstream
    | DrainUpstream
    | RemoveUpstream
    | AssignDispatcher
    | AssignShards
    | BeginMove
    | CompleteMove
    | PublishRevision
    | RenewTerms
    | ChangeVoters
    | NoOperation
)


@dataclass(frozen=True, slots=True)
class Accepted:
    """The command took effect.

    ``revision`` is set for publications and ``level`` for renewals.
    """

    revision: int = 0
    level: int = 0


@dataclass(frozen=True, slots=True)
class Rejected:
    """The command changed nothing; ``detail`` is the reason, for operators."""

    detail: str


CommandOutcome = Accepted | Rejected
