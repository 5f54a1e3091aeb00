"""The log as one replica holds it in memory."""

from ibisjunction.control.protocol import (
    Entry,
    Snapshot,
    Voters,
)


class History:
    """Entries after a base index, and the latest snapshot.

    The base may lie before the snapshot, so that entries remain for followers
    that lag. ``base_voters`` are the voters at the base.
    """

    def __init__(self, snapshot: Snapshot, entries: tuple[Entry, ...]) -> None:
        """Start with the entries that follow a snapshot."""
        self.snapshot = snapshot
        self.base_index = snapshot.index
        self._base_term = snapshot.term
        self._base_voters = snapshot.voters
        self._entries: list[Entry] = []
        self._proposals: set[str] = set()
        self._changes: list[tuple[int, Voters]] = []
        self._add(entries)

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
        """The voters in force: those of the latest entry that names some."""
        return self.voters_at(self.last_index)

    def voters_at(self, index: int) -> Voters:
        """Return the voters in force after ``index``."""
        for changed_at, voters in reversed(self._changes):
            if changed_at <= index:
                return voters
        return self._base_voters

    def voters_index(self) -> int:
        """Return the index of the latest entry that changed the voters."""
        return self._changes[-1][0] if self._changes else self.base_index

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or ``None`` if it is not held."""
        if index == self.base_index:
            return self._base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def read(self, first: int, last: int) -> tuple[Entry, ...]:
        """Return the entries from ``first`` to ``last``, both included."""
        start = first - self.base_index - 1
        return tuple(self._entries[start : last - self.base_index])

    def read_batch(
        self,
        first: int,
        max_entries: int,
        max_bytes: int,
    ) -> tuple[Entry, ...]:
        """Return entries from ``first`` on, at least one if there is any."""
        entries = self.read(first, first + max_entries - 1)
        size = 0
        for count, entry in enumerate(entries, 1):
            size += len(entry.command)
            if size > max_bytes:
                return entries[:count]
        return entries

    def find_conflict(self, index: int) -> int:
        """Return an index before the term that the entry belongs to.

        A leader that continues there passes over the whole term at once.
        """
        term = self.term_at(index)
        while index > self.base_index and self.term_at(index) == term:
            index -= 1
        return index

    def holds_proposal(self, proposal_id: str) -> bool:
        """Return whether an entry in memory carries the proposal."""
        return proposal_id in self._proposals

    def replace_from(self, first: int, entries: tuple[Entry, ...]) -> None:
        """Drop all entries from ``first`` on and add others."""
        start = first - self.base_index - 1
        if start < len(self._entries):
            self._forget(self._entries[start:])
            self._entries = self._entries[:start]
            self._changes = [pair for pair in self._changes if pair[0] < first]
        self._add(entries)

    def compact(self, snapshot: Snapshot, keep: int) -> None:
        """Take a snapshot and drop entries more than ``keep`` before it."""
        if snapshot.index <= self.snapshot.index:
            return
        self.snapshot = snapshot
        base = snapshot.index - keep
        if base <= self.base_index:
            return
        self._base_voters = self.voters_at(base)
        self._base_term = self.term_at(base) or 0
        self._changes = [pair for pair in self._changes if pair[0] > base]
        count = base - self.base_index
        self._forget(self._entries[:count])
        self._entries = self._entries[count:]
        self.base_index = base

    def install(self, snapshot: Snapshot) -> tuple[Entry, ...]:
        """Replace the log by a snapshot; return the entries that stay.

        Entries after the snapshot stay if the log agrees with it.
        """
        rest: tuple[Entry, ...] = ()
        if self.term_at(snapshot.index) == snapshot.term:
            rest = self.read(snapshot.index + 1, self.last_index)
        self.replace_from(self.base_index + 1, ())
        self.snapshot = snapshot
        self.base_index = snapshot.index
        self._base_term = snapshot.term
        self._base_voters = snapshot.voters
        self._add(rest)
        return rest

    def _add(self, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            self._entries.append(entry)
            self._proposals.add(entry.proposal_id)
            if entry.voters is not None:
                self._changes.append((self.last_index, entry.voters))

    def _forget(self, entries: list[Entry]) -> None:
        for entry in entries:
            self._proposals.discard(entry.proposal_id)
