"""Calls of upstreams and operators, and their answers.

They are the same whichever front end took them, and travel between VMs when
the VM that was called does not lead.
"""

from dataclasses import dataclass

from ibisjunction.catalogue.model import Item, ItemUpdate


@dataclass(frozen=True, slots=True)
class HeldRange:
    """Keys that an upstream holds or still works on."""

    first: int
    last: int
    fence: int


@dataclass(frozen=True, slots=True)
class FreedRange:
    """Keys that an upstream gave up; the token lets the next owner start warm.

    ``handover`` is only valid for exactly these keys.
    """

    first: int
    last: int
    handover: str


@dataclass(frozen=True, slots=True)
class CheckIn:
    """What an upstream says of itself.

    ``sequence`` grows with each check-in of one process, so that one that
    arrives late is told apart.
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


@dataclass(frozen=True, slots=True)
class Depart:
    """An upstream says that it leaves; it may still finish requests."""

    upstream: str
    born: int


@dataclass(frozen=True, slots=True)
class ChangeItems:
    """An operator sets or removes items."""

    update: ItemUpdate


@dataclass(frozen=True, slots=True)
class ReadItems:
    """An operator asks for all items."""


Call = CheckIn | Depart | ChangeItems | ReadItems


@dataclass(frozen=True, slots=True)
class GrantedRange:
    """Keys that an upstream is to hold."""

    first: int
    last: int
    fence: int
    handover: str


@dataclass(frozen=True, slots=True)
class CheckedIn:
    """Confirms a check-in.

    If ``is_renewal``, the upstream holds exactly ``grants`` for ``hold_ms``
    from the moment at which it sent the check-in; if not, nothing changes.
    ``leader`` is the VM that answers check-ins with the fewest hops.
    """

    leader: str
    is_renewal: bool
    hold_ms: int = 0
    grants: tuple[GrantedRange, ...] = ()


@dataclass(frozen=True, slots=True)
class Confirmed:
    """The call took effect."""


@dataclass(frozen=True, slots=True)
class Invalid:
    """The call is wrong and changed nothing."""

    detail: str


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The call can't be confirmed now; it may still take effect."""

    detail: str


@dataclass(frozen=True, slots=True)
class ItemsRead:
    """All items that are not removed."""

    items: tuple[Item, ...]


CallAnswer = CheckedIn | Confirmed | Invalid | Unavailable | ItemsRead
