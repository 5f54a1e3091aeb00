"""Events that a replica handles, and the effects it returns."""

from dataclasses import dataclass

from ibisjunction.control.protocol import Entry, Message, Snapshot, Voters


@dataclass(frozen=True, slots=True)
class Tick:
    """Timer tick; deadlines are checked."""


@dataclass(frozen=True, slots=True)
class MessageArrived:
    """A message from another replica arrived."""

    source: str
    message: Message


@dataclass(frozen=True, slots=True)
class CommandProposed:
    """A command was proposed; ``voters`` is set if it changes the voters."""

    proposal_id: str
    command: bytes
    voters: Voters | None = None


@dataclass(frozen=True, slots=True)
class WritesCompleted:
    """All writes up to ``number`` are durable."""

    number: int


@dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """A snapshot of the applied state is durable.

    ``keep`` is the number of entries before it that stay in memory for
    followers that lag.
    """

    snapshot: Snapshot
    keep: int


Event = (
    Tick | MessageArrived | CommandProposed | WritesCompleted | SnapshotTaken
)


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
    """Replace the log and the state with a snapshot and make it durable.

    ``entries`` are the entries after the snapshot that are kept.
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
    """The replica won the election of ``term``.

    It acts as leader once the first entry of the term is committed.
    """

    term: int


@dataclass(frozen=True, slots=True)
class Deposed:
    """The replica stepped down as leader of ``term``."""

    term: int


@dataclass(frozen=True, slots=True)
class Declined:
    """A proposal was declined and changes nothing."""

    proposal_id: str
    detail: str


Write = SaveVote | AppendLog | InstallState
Effect = Send | Write | Committed | Elected | Deposed | Declined
