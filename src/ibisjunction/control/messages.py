"""Messages about the control log; the fleet's log uses some of them too.

Commands are sent in the encoding in which the log stores them.
"""

from dataclasses import dataclass

from ibisjunction.control.state import ControlState


@dataclass(frozen=True, slots=True)
class ProposeCommand:
    """Requests that a command be committed; sent to a voter."""

    proposal_id: str
    command: bytes


@dataclass(frozen=True, slots=True)
class ProposalResult:
    """Answers :class:`ProposeCommand` once it was applied or declined."""

    proposal_id: str
    accepted: bool
    revision: int = 0
    level: int = 0
    detail: str = ''


@dataclass(frozen=True, slots=True)
class LeaderHint:
    """Sent by a voter that does not lead; ``vm`` is the leader it follows."""

    vm: str
    term: int


@dataclass(frozen=True, slots=True)
class LeaderUpdate:
    """Published inside a daemon: the leader's VM, or ``None`` if unknown.

    ``voters`` are the VMs to send to while the leader is unknown.
    """

    vm: str | None
    voters: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ReplicaMessage:
    """A message between replicas of one log; ``body`` is the encoded message.

    ``source`` and ``target`` name disks, so that no message to a replica is
    handled by another replica that runs on the same VM later.
    """

    source: str
    target: str
    body: bytes


@dataclass(frozen=True, slots=True)
class CommittedEntries:
    """Committed commands; the first has index ``first_index``.

    ``wants_report`` asks for a heartbeat as soon as they are applied.
    """

    first_index: int
    commands: list[bytes]
    wants_report: bool = False


@dataclass(frozen=True, slots=True)
class StateSnapshot:
    """The whole state after the entry with ``index``, encoded."""

    index: int
    state: bytes


@dataclass(frozen=True, slots=True)
class ControlView:
    """Published inside a daemon each time its copy of the state changes."""

    index: int
    state: ControlState


@dataclass(frozen=True, slots=True)
class Leadership:
    """Published inside a voter when it starts or stops leading."""

    is_leader: bool
    term: int


@dataclass(frozen=True, slots=True)
class LiveVms:
    """Published inside the leader: the VMs whose lease may still be valid.

    ``settled`` is false until the leases that the previous leader may have
    renewed have expired; no VM is treated as lost before then.
    """

    vms: frozenset[str]
    settled: bool
