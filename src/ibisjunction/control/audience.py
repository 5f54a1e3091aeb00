"""What a leader sends to the daemons that copy its state."""

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

#: Entries sent to a daemon at a time; one further behind gets the state.
_MAX_ENTRIES: Final = 512


class Audience:
    """The daemons that a leader hears from, with their leases."""

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
        self._encoded: StateSnapshot | None = None

    def reset(self, leases: LeaseTable) -> None:
        """Forget all reports; leases of an earlier leader may still run."""
        self._leases = leases

    def push(self, first_index: int, entries: tuple[Entry, ...]) -> None:
        """Send committed entries to all daemons that reported."""
        message = CommittedEntries(
            first_index,
            [entry.command for entry in entries],
        )
        for vm in self._leases.records:
            self._peers.send(vm, message)

    def renew(
        self,
        heartbeat: Heartbeat,
        now: int,
        term: int,
        committed: int,
    ) -> None:
        """Renew the lease of a daemon."""
        renewal = self._leases.record_heartbeat(heartbeat, now, term, committed)
        self._peers.send(heartbeat.vm, renewal)

    def send_missing(
        self,
        heartbeat: Heartbeat,
        replica_log: ReplicaLog,
        committed: int,
        state: Any,
    ) -> None:
        """Send a daemon what it has not applied yet."""
        missing = self.find_missing(heartbeat, replica_log, committed, state)
        if missing is not None:
            self._peers.send(heartbeat.vm, missing)

    def find_missing(
        self,
        heartbeat: Heartbeat,
        replica_log: ReplicaLog,
        committed: int,
        state: Any,
    ) -> CommittedEntries | StateSnapshot | None:
        """Return what a daemon has not applied yet."""
        applied = heartbeat.applied_index
        if applied >= committed:
            return None
        is_near = committed - applied <= _MAX_ENTRIES
        if applied and applied >= replica_log.base_index and is_near:
            entries = replica_log.read(applied + 1, committed)
            commands = [entry.command for entry in entries]
            return CommittedEntries(applied + 1, commands)
        return self._encode(committed, state)

    def answer_fetch(self, vm: str, fetch: FetchReports, now: int) -> None:
        """Send the revision that each live VM reported."""
        revisions = self._leases.revisions(now)
        self._peers.send(vm, VmReports(fetch.request_id, revisions))

    def report(self, now: int) -> LiveVms:
        """Return the VMs whose lease may still run."""
        return LiveVms(
            self._leases.live_vms(now),
            self._leases.is_settled(now),
        )

    def _encode(self, committed: int, state: Any) -> StateSnapshot:
        """Return the encoded state, which many daemons may ask for."""
        encoded = self._encoded
        if encoded is None or encoded.index != committed:
            encoded = StateSnapshot(committed, self._encode_state(state))
            self._encoded = encoded
        return encoded
