"""Records that make up the control state."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class VmRecord:
    """A VM of the system.

    ``peer`` and ``http`` are ``host:port``. ``incarnation`` differs for each
    start of the daemon.
    """

    vm: str
    peer: str
    http: str
    region: str
    failure_domain: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """An upstream, as in its announcement.

    ``slots`` is the number of requests it runs at a time and ``connections``
    the number of connections it accepts. ``checks_fence`` is whether it
    compares the fence of each request with its grant.
    """

    upstream: str
    service: str
    address: str
    failure_domain: str
    slots: int
    connections: int
    checks_fence: bool
    incarnation: int
    draining: bool = False


@dataclass(frozen=True, slots=True)
class DispatcherRecord:
    """The VM that may issue tickets for an upstream, and its epoch."""

    upstream: str
    vm: str
    epoch: int


@dataclass(frozen=True, slots=True)
class Grant:
    """Ownership of one shard.

    ``incarnation`` is that of the upstream's process that may hold the grant.
    ``moving_to`` is the upstream that the shard is being moved to, if any; no
    ticket is issued for the shard until the move ends. After a restart the
    shards of an upstream move from its former to its new process.
    """

    service: str
    shard: int
    upstream: str
    fence: int
    incarnation: int
    moving_to: str | None = None


@dataclass(frozen=True, slots=True)
class Publication:
    """The outcome of one publication.

    ``revision`` is the revision that it created, or the current one when it
    was rejected.
    """

    publication_id: str
    base_revision: int
    revision: int
    is_accepted: bool


@dataclass(frozen=True, slots=True)
class VoterRecord:
    """A replica of the control log that votes.

    ``node`` names the replica's disk, so a VM whose disk was replaced counts as
    another replica. ``peer`` is the ``host:port`` of the VM.
    """

    node: str
    vm: str
    peer: str
