"""Messages about the control log.

Commands travel in the encoding in which the log stores them.
"""

from dataclasses import dataclass

from ibisjunction.control.state import ControlState


@dataclass(frozen=True, slots=True)
class ProposeCommand:
    """Asks for a command to be committed; sent to a voter."""

    proposal_id: str
    command: bytes


@dataclass(frozen=True, slots=True)
class ProposalResult:
    """Answers :class:`ProposeCommand` once the command was applied."""

    proposal_id: str
    accepted: bool
    revision: int = 0
    level: int = 0
    detail: str = ''


@dataclass(frozen=True, slots=True)
class LeaderHint:
    """Sent by a voter that does not lead: ``vm`` does, as far as it knows."""

    vm: str
    term: int


@dataclass(frozen=True, slots=True)
class LeaderKnown:
    """Published inside a daemon: the VM that leads, if known.

    ``voters`` are the VMs to ask otherwise.
    """

    vm: str | None
    voters: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ReplicaMessage:
    """A message between replicas of the control log, in its own encoding.

    ``source`` and ``target`` name disks, so that nothing meant for a replica
    reaches another one that runs on the same VM later.
    """

    source: str
    target: str
    body: bytes


@dataclass(frozen=True, slots=True)
class CommittedEntries:
    """Committed commands; the first has index ``first_index``."""

    first_index: int
    commands: list[bytes]


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
    """Published inside the leader: the VMs whose lease may still run.

    ``settled`` is false until a new leader has waited out the leases that its
    predecessor may have renewed; no VM is treated as lost before.
    """

    vms: frozenset[str]
    settled: bool
