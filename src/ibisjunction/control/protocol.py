"""Log entries, snapshots and the messages between replicas.

``sent_at`` is in milliseconds on the clock of the leader that sends it.
"""

from dataclasses import dataclass

from ibisjunction.control.records import VoterRecord

Voters = tuple[VoterRecord, ...]


@dataclass(frozen=True, slots=True)
class Entry:
    """One entry of the log.

    ``voters`` is set on entries that change the voters; such an entry takes
    effect as soon as it is in the log. An entry without a command is the first
    of a leader's term.
    """

    term: int
    proposal_id: str = ''
    command: bytes = b''
    voters: Voters | None = None


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state after applying ``index``; ``machine`` is its encoding."""

    index: int
    term: int
    voters: Voters
    machine: bytes


@dataclass(frozen=True, slots=True)
class RequestVote:
    """Requests a vote; a trial (pre-vote) changes no term."""

    term: int
    is_trial: bool
    last_index: int
    last_term: int


@dataclass(frozen=True, slots=True)
class VoteAnswer:
    """Answers :class:`RequestVote`.

    ``term`` is the requested term if granted, else the voter's own.
    """

    term: int
    is_trial: bool
    is_granted: bool


@dataclass(frozen=True, slots=True)
class AppendEntries:
    """Replicates the entries after ``previous_index``.

    Without entries it is a heartbeat. Index 0 precedes the first entry.
    """

    term: int
    previous_index: int
    previous_term: int
    commit_index: int
    sent_at: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class AppendAnswer:
    """Answers :class:`AppendEntries` and :class:`InstallSnapshot`.

    If ``is_match``, all entries up to ``index`` are durable and equal to the
    leader's; if not, the leader continues after ``index``.
    ``sent_at`` is copied from the leader's message.
    """

    term: int
    sent_at: int
    is_match: bool
    index: int


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Sends a snapshot when the leader no longer has the next entries."""

    term: int
    sent_at: int
    snapshot: Snapshot


Message = (
    RequestVote | VoteAnswer | AppendEntries | AppendAnswer | InstallSnapshot
)
