"""Versioned items that operators publish one by one."""

import enum
from dataclasses import dataclass


class RequestKind(enum.Enum):
    """How requests of a route may be repeated after a failure."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    DOWNLOAD = 'download'
    UPLOAD = 'upload'

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self in {RequestKind.SAFE, RequestKind.DOWNLOAD}

    @property
    def has_large_body(self) -> bool:
        """Whether requests usually have a large body."""
        return self is RequestKind.UPLOAD


class ItemType(enum.Enum):
    """The type of an item; the items of each type form a collection."""

    ROUTE = 'route'
    SERVICE = 'service'
    LIMITS = 'limits'


@dataclass(frozen=True, slots=True)
class Target:
    """A service that gets a share of a route's requests."""

    service: str
    weight: int


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go.

    ``rank`` 0 is the most urgent. A request is answered within ``timeout_ms``;
    ``target_ms`` is the latency the operator aims for. ``max_attempts`` is the
    highest number of upstreams that one request may be sent to.
    """

    host: str
    prefix: str
    kind: RequestKind
    timeout_ms: int
    target_ms: int
    rank: int
    max_attempts: int
    targets: tuple[Target, ...]


@dataclass(frozen=True, slots=True)
class Service:
    """A set of upstreams; ``is_sharded`` if each key has one owner.

    ``max_connections`` is the number of connections that one upstream accepts
    from all VMs together. Requests for keys that an upstream gets without a
    hand-over are slow for ``warmup_ms``. A process is cold for
    ``cold_start_ms`` after its start, or longer; a cold one takes
    ``cold_per_s`` requests a second from all VMs together, and 0 stands for no
    such limit.
    """

    health_path: str
    max_connections: int
    is_sharded: bool
    warmup_ms: int
    cold_per_s: float = 0
    cold_start_ms: int = 0


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on the size of requests, and on how long callers take or idle."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


@dataclass(frozen=True, slots=True)
class Item:
    """One version of an item; a version without content removes the item.

    ``document`` is the item as the operator wrote it, returned unchanged.
    """

    type: ItemType
    name: str
    version: int
    document: str = ''
    route: Route | None = None
    service: Service | None = None
    limits: Limits | None = None

    @property
    def is_removed(self) -> bool:
        """Whether this version removes the item."""
        return not (self.route or self.service or self.limits)


@dataclass(frozen=True, slots=True)
class ItemUpdate:
    """Items that one call sets or removes together."""

    items: tuple[Item, ...]


@dataclass(frozen=True, slots=True)
class Accepted:
    """An update was applied; ``changed`` is the number of newer items."""

    changed: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """An update is invalid and changed nothing."""

    detail: str


UpdateOutcome = Accepted | Rejected
