"""Sends a leader's state and lease renewals to the daemons."""

from collections.abc import Callable
from typing import Any, Final

from ibisjunction.control.messages import (
    CommittedEntries,
    LiveVms,
    StateSnapshot,
)
from ibisjunction.control.protocol import Entry
from ibisjunction.control.replica_log import ReplicaLog
from ibisjunction.membership.leases import LeaseTable
from ibisjunction.membership.messages import (
    FetchReports,
    Heartbeat,
    VmReports,
)
from ibisjunction.peers.link import PeerNetwork

#: Entries per message; a daemon that misses more gets the whole state.
_MAX_ENTRIES: Final = 512


class Subscribers:
    """The daemons that copy a leader's state, with their leases."""

    def __init__(
        self,
        peers: PeerNetwork,
        leases: LeaseTable,
        encode: Callable[[Any], bytes],
    ) -> None:
        """Serve the daemons of a lease table.

        :param encode: returns the bytes of a whole state.
        """
        self._peers = peers
        self._leases = leases
        self._encode_state = encode
        self._latest_snapshot: StateSnapshot | None = None

    def reset(self, leases: LeaseTable) -> None:
        """Start a new term with an empty lease table.

        Leases that an earlier leader renewed may still be valid, so absence
        from the table does not mean that a VM is lost.
        """
        self._leases = leases

    def push(self, first_index: int, entries: tuple[Entry, ...]) -> None:
        """Send committed entries to all daemons that sent a heartbeat."""
        message = CommittedEntries(
            first_index,
            [entry.command for entry in entries],
        )
        for vm in self._leases.records:
            self._peers.send(vm, message)

    def renew_lease(
        self,
        heartbeat: Heartbeat,
        now: int,
        term: int,
        commit_index: int,
    ) -> None:
        """Renew the lease of a daemon."""
        renewal = self._leases.record_heartbeat(
            heartbeat, now, term, commit_index
        )
        self._peers.send(heartbeat.vm, renewal)

    def send_missing(
        self,
        heartbeat: Heartbeat,
        replica_log: ReplicaLog,
        commit_index: int,
        state: Any,
    ) -> None:
        """Send a daemon the entries that it has not applied, or the state."""
        missing = self.find_missing(heartbeat, replica_log, commit_index, state)
        if missing is not None:
            self._peers.send(heartbeat.vm, missing)

    def find_missing(
        self,
        heartbeat: Heartbeat,
        replica_log: ReplicaLog,
        commit_index: int,
        state: Any,
    ) -> CommittedEntries | StateSnapshot | None:
        """Return the entries that a daemon has not applied, or the state.

        A daemon that has applied nothing gets the state, and so does one whose
        missing entries are too many or no longer in memory.
        """
        applied_index = heartbeat.applied_index
        if applied_index >= commit_index:
            return None
        fits_in_message = commit_index - applied_index <= _MAX_ENTRIES
        if (
            applied_index
            and applied_index >= replica_log.base_index
            and fits_in_message
        ):
            entries = replica_log.read(applied_index + 1, commit_index)
            commands = [entry.command for entry in entries]
            return CommittedEntries(applied_index + 1, commands)
        return self._make_snapshot(commit_index, state)

    def answer_fetch(self, vm: str, fetch: FetchReports, now: int) -> None:
        """Send the revision that each live VM reported."""
        revisions = self._leases.revisions(now)
        self._peers.send(vm, VmReports(fetch.request_id, revisions))

    def list_live_vms(self, now: int) -> LiveVms:
        """Return the VMs whose lease may not have expired yet."""
        return LiveVms(
            self._leases.live_vms(now),
            self._leases.is_settled(now),
        )

    def _make_snapshot(self, commit_index: int, state: Any) -> StateSnapshot:
        """Encode the state, once for all daemons that need this index."""
        snapshot = self._latest_snapshot
        if snapshot is None or snapshot.index != commit_index:
            snapshot = StateSnapshot(commit_index, self._encode_state(state))
            self._latest_snapshot = snapshot
        return snapshot
