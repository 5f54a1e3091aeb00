"""A daemon's read-only copy of the control state."""

from ibisjunction.control.codec import decode_command, decode_state
from ibisjunction.control.messages import (
    CommittedEntries,
    ControlView,
    StateSnapshot,
)
from ibisjunction.control.state import ControlState, apply_command


class ControlReplica:
    """Applies committed commands in order; takes no part in consensus."""

    def __init__(self) -> None:
        """Start with the empty state at index 0."""
        self.index = 0
        self.state = ControlState()

    def view(self) -> ControlView:
        """Return the current state with its index."""
        return ControlView(self.index, self.state)

    def apply_entries(self, entries: CommittedEntries) -> bool:
        """Apply the new entries; return whether there were any.

        Entries that leave a gap are ignored; the sender resends from the index
        that the next heartbeat reports.
        """
        before = self.index
        for offset, encoded in enumerate(entries.commands):
            if entries.first_index + offset == self.index + 1:
                command = decode_command(encoded)
                self.state = apply_command(self.state, command)[0]
                self.index += 1
        return self.index > before

    def install_snapshot(self, snapshot: StateSnapshot) -> bool:
        """Replace the state if the snapshot is newer; return whether it was."""
        if snapshot.index <= self.index:
            return False
        self.state = decode_state(snapshot.state)
        self.index = snapshot.index
        return True
