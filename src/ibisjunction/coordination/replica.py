"""Derives the state of the fleet from the log."""

from dataclasses import dataclass, field

from ibisjunction.catalogue.model import UpdateOutcome
from ibisjunction.control.messages import CommittedEntries, StateSnapshot
from ibisjunction.control.protocol import Entry, Snapshot
from ibisjunction.fleet.codec import decode_fleet, decode_fleet_command
from ibisjunction.fleet.model import FleetState
from ibisjunction.fleet.rules import apply_fleet_command


@dataclass(slots=True)
class FleetReplica:
    """Applies committed entries in order; ``index`` is that of the last one."""

    index: int = 0
    state: FleetState = field(default_factory=FleetState)

    def restore(self, snapshot: Snapshot) -> None:
        """Replace the state by a snapshot of the log."""
        self.index = snapshot.index
        self.state = decode_fleet(snapshot.machine)

    def apply_log(
        self,
        first_index: int,
        entries: tuple[Entry, ...],
    ) -> dict[str, UpdateOutcome]:
        """Apply entries of the log; return outcomes by proposal."""
        outcomes = {}
        for index, entry in enumerate(entries, first_index):
            outcome = self._apply(entry.command)
            self.index = index
            if outcome is not None and entry.proposal_id:
                outcomes[entry.proposal_id] = outcome
        return outcomes

    def apply_entries(self, entries: CommittedEntries) -> bool:
        """Apply entries that the leader sent; return whether any was new.

        Entries after a gap are ignored; the leader sends them again from the
        index that the next heartbeat reports.
        """
        before = self.index
        for index, command in enumerate(entries.commands, entries.first_index):
            if index == self.index + 1:
                self._apply(command)
                self.index = index
        return self.index > before

    def install_snapshot(self, snapshot: StateSnapshot) -> bool:
        """Replace the state if the snapshot is newer; return whether it was."""
        if snapshot.index <= self.index:
            return False
        self.state = decode_fleet(snapshot.state)
        self.index = snapshot.index
        return True

    def _apply(self, encoded: bytes) -> UpdateOutcome | None:
        command = decode_fleet_command(encoded)
        if command is None:
            return None
        self.state, outcome = apply_fleet_command(self.state, command)
        return outcome
