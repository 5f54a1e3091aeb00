"""The published specification of one service, as data classes."""

import enum
from dataclasses import dataclass

from ibisjunction.services.keys import KeySource


class Rank(enum.Enum):
    """How urgent a request is; the value is the name used in service files."""

    URGENT = 'urgent'
    STANDARD = 'standard'
    DEFERRABLE = 'deferrable'

    # Members are compared by identity; the inherited hash runs in Python and
    # took 5% of a dispatcher's time in a profile.
    __hash__ = object.__hash__


@dataclass(frozen=True, slots=True)
class RankPolicy:
    """Target, worth and guaranteed share of one rank.

    ``target_ms`` is the latency within which an answer counts as good,
    ``worth`` its relative value, and ``min_share`` the fraction of slots (0 to
    1) that the rank keeps while other ranks are overloaded.
    """

    target_ms: int
    worth: float
    min_share: float


@dataclass(frozen=True, slots=True)
class Operation:
    """One kind of request of a service.

    The operation applies to a request whose method is in ``methods`` and which,
    if ``header`` is set, carries that header with the value ``header_value``.
    ``timeout_ms`` is the default and the maximum of the timeout that the caller
    may set.
    """

    name: str
    methods: frozenset[str]
    idempotent: bool
    rank: Rank
    timeout_ms: int
    header: str | None = None
    header_value: str | None = None


@dataclass(frozen=True, slots=True)
class TermsLevel:
    """The terms of a client at one level.

    ``weight`` is its share inside a rank relative to other clients,
    ``max_in_flight`` bounds its concurrent requests at one upstream, and
    ``reserved_slots`` is the number of the service's slots reserved for it.
    """

    weight: float
    max_in_flight: int
    reserved_slots: float = 0


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """The published specification of one service.

    ``shards`` is the number of shards that its keys are divided into by hash.
    ``client_levels`` gives the level a client starts at; others start at 0.
    """

    service: str
    path_prefix: str
    shards: int
    key: KeySource
    operations: tuple[Operation, ...]
    ranks: dict[Rank, RankPolicy]
    terms: tuple[TermsLevel, ...]
    client_levels: dict[str, int]
