"""Sends a leader's state and lease renewals to the daemons."""

import functools
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from ibisjunction.clock import MS_PER_S
from ibisjunction.control.distribution import (
    DaemonReport,
    Distribution,
    LeaderState,
    split_commands,
)
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


class Subscribers:
    """The daemons that copy a leader's state, with their leases."""

    def __init__(
        self,
        peers: PeerNetwork,
        leases: LeaseTable,
        encode: Callable[[Any], bytes],
        max_updates_per_s: int | None = None,
    ) -> None:
        """Serve the daemons of a lease table.

        :param encode: returns the bytes of a whole state.
        :param max_updates_per_s: messages with new entries to all daemons in a
            second; new entries wait for one another if there are more.
        """
        self._peers = peers
        self._leases = leases
        self._encode_state = encode
        self._max_updates_per_s = max_updates_per_s
        self._distribution = Distribution()
        self._new_commands: list[bytes] = []
        self._first_new_index = 0
        self._next_push_ms = 0

    def reset(self, leases: LeaseTable) -> None:
        """Start a new term with an empty lease table.

        Leases that an earlier leader renewed may still be valid, so absence
        from the table does not mean that a VM is lost.
        """
        self._leases = leases
        self._distribution = Distribution()
        self._new_commands = []

    def add_entries(self, first_index: int, entries: tuple[Entry, ...]) -> None:
        """Add committed entries that :meth:`push` sends."""
        if not self._new_commands:
            self._first_new_index = first_index
        self._new_commands += [entry.command for entry in entries]

    def push(self, now: int, *, awaited_index: int = 0) -> None:
        """Send the entries that wait to the daemons that sent a heartbeat.

        They wait longer if others were sent just before.

        :param awaited_index: the latest entry that daemons are to report at
            once, so that those which have applied it send no more reports.
        """
        if not self._new_commands or now < self._next_push_ms:
            return
        if self._max_updates_per_s is not None:
            daemon_count = len(self._leases.records)
            self._next_push_ms = (
                now + MS_PER_S * daemon_count // self._max_updates_per_s
            )
        self._distribution.remove_absent(frozenset(self._leases.records))
        first_index = self._first_new_index
        for commands in split_commands(self._new_commands):
            message = CommittedEntries(
                first_index, commands, first_index <= awaited_index
            )
            for vm in self._distribution.list_recipients(message, now):
                self._peers.send(vm, message)
            first_index += len(commands)
        self._new_commands = []

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
        now: int,
        *,
        awaited_index: int = 0,
    ) -> None:
        """Send a daemon the next entries that it has not got, or the state.

        :param awaited_index: as for :meth:`find_missing`.
        """
        missing = self.find_missing(
            heartbeat,
            replica_log,
            commit_index,
            state,
            now,
            is_relayed=False,
            awaited_index=awaited_index,
        )
        if missing is not None:
            self._peers.send(heartbeat.vm, missing)

    def find_missing(
        self,
        heartbeat: Heartbeat,
        replica_log: ReplicaLog,
        commit_index: int,
        state: Any,
        now: int,
        *,
        is_relayed: bool,
        awaited_index: int = 0,
    ) -> CommittedEntries | StateSnapshot | None:
        """Return the next entries that a daemon has not got, or the state.

        :param is_relayed: whether another VM passed the heartbeat on.
        :param awaited_index: the latest entry that the daemon is to report at
            once; it always does so for a state.
        :return: ``None`` if there are none, or if the daemon has to apply what
            is under way to it first. Entries that :meth:`push` sends soon are
            left out.
        """
        if self._new_commands:
            commit_index = self._first_new_index - 1
        missing = self._distribution.choose_missing(
            DaemonReport(
                heartbeat.vm,
                is_relayed,
                heartbeat.incarnation,
                heartbeat.applied_index,
            ),
            LeaderState(
                replica_log,
                commit_index,
                functools.partial(self._encode_state, state),
            ),
            now,
        )
        match missing:
            case CommittedEntries(first_index=index) if index <= awaited_index:
                return replace(missing, wants_report=True)
            case _:
                return missing

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
