"""The in-memory log of one replica."""

from ibisjunction.control.protocol import (
    Entry,
    Snapshot,
    Voters,
)


class ReplicaLog:
    """Entries after a base index, and the latest snapshot.

    The base may lie before the snapshot, so that entries remain for followers
    that lag. ``_base_voters`` are the voters in force at the base index.
    """

    def __init__(self, snapshot: Snapshot, entries: tuple[Entry, ...]) -> None:
        """Start with the entries that follow a snapshot."""
        self.snapshot = snapshot
        self.base_index = snapshot.index
        self._base_term = snapshot.term
        self._base_voters = snapshot.voters
        self._entries: list[Entry] = []
        self._proposal_ids: set[str] = set()
        self._voter_changes: list[tuple[int, Voters]] = []
        self._append(entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def voters(self) -> Voters:
        """The voters in force, those of the latest entry that changed them."""
        return self.voters_at(self.last_index)

    def voters_at(self, index: int) -> Voters:
        """Return the voters in force after ``index``."""
        for change_index, voters in reversed(self._voter_changes):
            if change_index <= index:
                return voters
        return self._base_voters

    def last_change_index(self) -> int:
        """Return the index of the latest entry that changed the voters.

        It is the base index if no such entry is in memory.
        """
        return (
            self._voter_changes[-1][0]
            if self._voter_changes
            else self.base_index
        )

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or ``None`` if it is not in memory."""
        if index == self.base_index:
            return self._base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def read(self, first: int, last: int) -> tuple[Entry, ...]:
        """Return the entries from ``first`` to ``last``, both inclusive."""
        start = first - self.base_index - 1
        return tuple(self._entries[start : last - self.base_index])

    def read_batch(
        self,
        first: int,
        max_entries: int,
        max_bytes: int,
    ) -> tuple[Entry, ...]:
        """Return entries from ``first`` on, at least one if there are any.

        The batch ends after ``max_entries`` entries, or after the entry that
        exceeds ``max_bytes``.
        """
        entries = self.read(first, first + max_entries - 1)
        size = 0
        for count, entry in enumerate(entries, 1):
            size += len(entry.command)
            if size > max_bytes:
                return entries[:count]
        return entries

    def find_previous_term_end(self, index: int) -> int:
        """Return the last index before the term of the entry at ``index``.

        A leader that continues there skips the whole term in one step.
        """
        term = self.term_at(index)
        while index > self.base_index and self.term_at(index) == term:
            index -= 1
        return index

    def has_proposal(self, proposal_id: str) -> bool:
        """Return whether an entry in memory has this proposal ID."""
        return proposal_id in self._proposal_ids

    def replace_from(self, first: int, entries: tuple[Entry, ...]) -> None:
        """Replace all entries from ``first`` on with ``entries``."""
        start = first - self.base_index - 1
        if start < len(self._entries):
            self._discard_proposals(self._entries[start:])
            self._entries = self._entries[:start]
            self._voter_changes = [
                change for change in self._voter_changes if change[0] < first
            ]
        self._append(entries)

    def compact(self, snapshot: Snapshot, keep: int) -> None:
        """Use a newer snapshot and drop all but ``keep`` entries before it."""
        if snapshot.index <= self.snapshot.index:
            return
        self.snapshot = snapshot
        base = snapshot.index - keep
        if base <= self.base_index:
            return
        self._base_voters = self.voters_at(base)
        self._base_term = self.term_at(base) or 0
        self._voter_changes = [
            change for change in self._voter_changes if change[0] > base
        ]
        count = base - self.base_index
        self._discard_proposals(self._entries[:count])
        self._entries = self._entries[count:]
        self.base_index = base

    def install_snapshot(self, snapshot: Snapshot) -> tuple[Entry, ...]:
        """Replace the log with a snapshot; return the entries that are kept.

        Entries after the snapshot are kept if the log matches it.
        """
        remaining: tuple[Entry, ...] = ()
        if self.term_at(snapshot.index) == snapshot.term:
            remaining = self.read(snapshot.index + 1, self.last_index)
        self.replace_from(self.base_index + 1, ())
        self.snapshot = snapshot
        self.base_index = snapshot.index
        self._base_term = snapshot.term
        self._base_voters = snapshot.voters
        self._append(remaining)
        return remaining

    def _append(self, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            self._entries.append(entry)
            self._proposal_ids.add(entry.proposal_id)
            if entry.voters is not None:
                self._voter_changes.append((self.last_index, entry.voters))

    def _discard_proposals(self, entries: list[Entry]) -> None:
        for entry in entries:
            self._proposal_ids.discard(entry.proposal_id)
