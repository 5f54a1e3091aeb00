"""Calls of upstreams and operators, and their answers.

They are the same for every front end. A VM that is not the leader forwards
them to the leader.
"""

from dataclasses import dataclass

from ibisjunction.catalogue.model import Item, ItemUpdate


@dataclass(frozen=True, slots=True)
class HeldRange:
    """Keys that an upstream holds, or whose requests it still processes."""

    first: int
    last: int
    fence: int


@dataclass(frozen=True, slots=True)
class FreedRange:
    """Keys that an upstream gave up, with the token of the hand-over.

    ``handover`` lets the next owner start warm; it is valid for these keys
    only.
    """

    first: int
    last: int
    handover: str


@dataclass(frozen=True, slots=True)
class CheckIn:
    """Reports the state of an upstream's process.

    ``sequence`` grows with each check-in of one process, so that a check-in
    that arrives late can be detected. ``cold_remaining_ms`` is how long the
    process stays cold, if it tells.
    """

    upstream: str
    born: int
    service: str
    address: str
    failure_domain: str
    slots: int
    is_draining: bool
    sequence: int
    holds: tuple[HeldRange, ...] = ()
    freed: tuple[FreedRange, ...] = ()
    cold_remaining_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Depart:
    """Announces that an upstream leaves; it may still finish requests.

    ``born`` is the start of the process that leaves, or 0 for the current
    process.
    """

    upstream: str
    born: int


@dataclass(frozen=True, slots=True)
class ChangeItems:
    """Sets or removes items for an operator."""

    update: ItemUpdate


@dataclass(frozen=True, slots=True)
class ReadItems:
    """Requests all items for an operator."""


@dataclass(frozen=True, slots=True)
class StartEvacuation:
    """Requests that a failure domain gets no new requests."""

    failure_domain: str


@dataclass(frozen=True, slots=True)
class EndEvacuation:
    """Requests that an evacuated failure domain gets requests again."""

    failure_domain: str


EvacuationOrder = StartEvacuation | EndEvacuation
Call = CheckIn | Depart | ChangeItems | ReadItems | EvacuationOrder


@dataclass(frozen=True, slots=True)
class GrantedRange:
    """Keys that the leader grants to an upstream."""

    first: int
    last: int
    fence: int
    handover: str


@dataclass(frozen=True, slots=True)
class CheckedIn:
    """Confirms a check-in.

    If ``is_renewal``, the upstream holds exactly ``grants`` for ``hold_ms``
    from the moment at which it sent the check-in; if not, nothing changes.
    ``endpoint`` is the VM that the upstream is to call from now on; if it is
    empty, the upstream stays with the VM that it called.
    """

    endpoint: str
    is_renewal: bool
    hold_ms: int = 0
    grants: tuple[GrantedRange, ...] = ()


@dataclass(frozen=True, slots=True)
class Confirmed:
    """Confirms that the call took effect."""


@dataclass(frozen=True, slots=True)
class Invalid:
    """Rejects a call that is invalid; nothing was changed."""

    detail: str


@dataclass(frozen=True, slots=True)
class Unavailable:
    """Reports that a call can't be confirmed now; it may still take effect."""

    detail: str


@dataclass(frozen=True, slots=True)
class ItemsRead:
    """Returns all items that are not removed."""

    items: tuple[Item, ...]


CallAnswer = CheckedIn | Confirmed | Invalid | Unavailable | ItemsRead
