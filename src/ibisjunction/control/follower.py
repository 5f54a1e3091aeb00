"""How a follower handles entries and snapshots of the leader."""

from ibisjunction.control.effects import InstallState
from ibisjunction.control.protocol import (
    AppendAnswer,
    AppendEntries,
    Entry,
    InstallSnapshot,
    Snapshot,
)
from ibisjunction.control.replica_core import ReplicaCore
from ibisjunction.control.roles import Follower


class FollowerHandler:
    """Makes the log match the leader's and acknowledges durable entries."""

    def __init__(self, core: ReplicaCore) -> None:
        """Share the state of the replica."""
        self._core = core

    def handle_leader_message(
        self,
        source: str,
        message: AppendEntries | InstallSnapshot,
        now: int,
    ) -> None:
        """Handle a message of a leader and answer it.

        A message of an older term is refused.
        """
        core = self._core
        core.adopt_term(message.term)
        if message.term < core.term:
            refusal = AppendAnswer(core.term, message.sent_at, False, 0)
            core.send(source, refusal)
            return
        core.leader_contact_at = now
        core.restart_election_timeout(now)
        follower = self._follow_leader(source, message.sent_at)
        match message:
            case AppendEntries():
                self._handle_entries(follower, message)
            case InstallSnapshot(snapshot=snapshot):
                self._handle_snapshot(follower, snapshot)

    def acknowledge(self, follower: Follower) -> None:
        """Report to the leader up to which index the log is durable here."""
        if follower.leader is None:
            return
        core = self._core
        index = min(core.durability.durable_index, follower.verified_index)
        answer = AppendAnswer(core.term, follower.sent_at, True, index)
        core.send(follower.leader, answer)

    def _follow_leader(self, source: str, sent_at: int) -> Follower:
        role = self._core.role
        if isinstance(role, Follower) and role.leader == source:
            role.sent_at = max(role.sent_at, sent_at)
            return role
        follower = Follower(source, 0, sent_at)
        self._core.role = follower
        return follower

    def _handle_entries(
        self,
        follower: Follower,
        message: AppendEntries,
    ) -> None:
        core = self._core
        previous = message.previous_index
        if not self._matches_leader(previous, message.previous_term):
            refusal = AppendAnswer(
                core.term,
                message.sent_at,
                False,
                self._find_retry_index(previous),
            )
            core.send(follower.leader or '', refusal)
            return
        self._write_missing(previous + 1, message.entries)
        verified_index = previous + len(message.entries)
        follower.verified_index = max(follower.verified_index, verified_index)
        core.commit(min(message.commit_index, follower.verified_index))
        self.acknowledge(follower)

    def _matches_leader(self, index: int, term: int) -> bool:
        """Return whether the log up to ``index`` matches the leader's."""
        if index <= self._core.commit_index:
            return True
        return self._core.replica_log.term_at(index) == term

    def _find_retry_index(self, index: int) -> int:
        """Return the index after which the leader should continue."""
        replica_log = self._core.replica_log
        if index > replica_log.last_index:
            return replica_log.last_index
        return replica_log.find_previous_term_end(index)

    def _write_missing(self, first: int, entries: tuple[Entry, ...]) -> None:
        """Write the missing entries and replace those that conflict."""
        core = self._core
        for index, entry in enumerate(entries, first):
            is_in_log = core.replica_log.term_at(index) == entry.term
            if index > core.commit_index and not is_in_log:
                core.write_log(index, entries[index - first :])
                return

    def _handle_snapshot(self, follower: Follower, snapshot: Snapshot) -> None:
        core = self._core
        if snapshot.index > core.commit_index:
            remaining = core.replica_log.install_snapshot(snapshot)
            # Uncommitted entries may differ from the leader's, so earlier
            # writes of them no longer count as durable.
            number = core.durability.start_append(
                core.commit_index + 1,
                core.replica_log.last_index,
            )
            core.commit_index = snapshot.index
            core.effects.append(InstallState(number, snapshot, remaining))
        follower.verified_index = max(follower.verified_index, snapshot.index)
        self.acknowledge(follower)
