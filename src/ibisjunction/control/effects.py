"""Events that a replica decides on, and the effects it asks for."""

from dataclasses import dataclass

from ibisjunction.control.protocol import Entry, Message, Snapshot, Voters


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class Arrived:
    """A message of another replica arrived."""

    source: str
    message: Message


@dataclass(frozen=True, slots=True)
class Proposed:
    """A command is proposed; ``voters`` is set if it changes the voters."""

    proposal_id: str
    command: bytes
    voters: Voters | None = None


@dataclass(frozen=True, slots=True)
class Written:
    """All writes up to ``number`` are durable."""

    number: int


@dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """A snapshot of the applied state is durable.

    ``keep`` entries before it stay in memory for followers that lag.
    """

    snapshot: Snapshot
    keep: int


Event = Tick | Arrived | Proposed | Written | SnapshotTaken


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a replica; it may be lost."""

    target: str
    message: Message


@dataclass(frozen=True, slots=True)
class SaveVote:
    """Make the term and the vote durable."""

    number: int
    term: int
    vote: str


@dataclass(frozen=True, slots=True)
class AppendLog:
    """Replace the log from ``first_index`` on and make it durable."""

    number: int
    first_index: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class InstallState:
    """Replace log and state by a snapshot and make it durable.

    ``entries`` are the entries after the snapshot that stay.
    """

    number: int
    snapshot: Snapshot
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Committed:
    """Apply these entries; they can no longer be lost."""

    first_index: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Elected:
    """The replica leads ``term``, and acts once its entry is committed."""

    term: int


@dataclass(frozen=True, slots=True)
class Deposed:
    """The replica no longer leads ``term``."""

    term: int


@dataclass(frozen=True, slots=True)
class Declined:
    """A proposal changes nothing."""

    proposal_id: str
    detail: str


Write = SaveVote | AppendLog | InstallState
Effect = Send | Write | Committed | Elected | Deposed | Declined
