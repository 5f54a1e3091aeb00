"""Decisions of a leader: replication, commits and changes of voters."""

from ibisjunction.control.effects import CommandProposed, Declined, Elected
from ibisjunction.control.protocol import AppendAnswer, Entry
from ibisjunction.control.replica_core import ReplicaCore
from ibisjunction.control.replication import Replication
from ibisjunction.control.roles import Leader


class LeaderHandler:
    """Replicates, commits and changes voters while this replica leads."""

    def __init__(self, core: ReplicaCore) -> None:
        """Share the state of the replica."""
        self._core = core

    def become_leader(self, now: int) -> None:
        """Become leader of the current term and append its first entry."""
        core = self._core
        replication = Replication(
            core.node,
            core.term,
            core.replica_log,
            now,
            core.timing.max_ms,
        )
        replication.own_match_index = core.durability.durable_index
        term_start_index = core.replica_log.last_index + 1
        core.role = Leader(replication, term_start_index, now)
        core.effects.append(Elected(core.term))
        self._append(Entry(core.term), now)

    def is_acting(self, now: int) -> bool:
        """Return whether this replica leads and may act as leader.

        The first entry of its term must be committed, so that its state
        contains all that earlier leaders acknowledged. A majority must have
        followed it recently, so that there is no later leader yet.
        """
        role = self._core.role
        if not isinstance(role, Leader):
            return False
        is_term_start_committed = (
            self._core.commit_index >= role.term_start_index
        )
        return is_term_start_committed and self._core.has_recent_majority(now)

    def handle_tick(self, leader: Leader, now: int) -> None:
        """Send due messages, or step down if no majority answers."""
        core = self._core
        if not core.has_recent_majority(now):
            core.stop_leading()
            core.restart_election_timeout(now)
            return
        if now >= leader.next_heartbeat_at:
            leader.next_heartbeat_at = now + core.timing.heartbeat_ms
            for node in core.list_other_replicas():
                message = leader.replication.make_heartbeat(
                    node,
                    core.commit_index,
                    now,
                )
                core.send(node, message)
        self._replicate(leader, now)
        self._finish_pending_change(leader, now)

    def propose(self, proposal: CommandProposed, now: int) -> None:
        """Append a command unless its proposal is pending or in the log.

        Does nothing unless this replica acts as leader.
        """
        core = self._core
        leader = core.role
        if not isinstance(leader, Leader) or not self.is_acting(now):
            return
        if core.replica_log.has_proposal(proposal.proposal_id):
            return
        if proposal.voters is None:
            self._append(_make_entry(core.term, proposal), now)
            return
        pending_change = leader.pending_change
        if (
            pending_change is None
            or pending_change.proposal_id != proposal.proposal_id
        ):
            self._change_voters(leader, proposal, now)

    def handle_append_answer(
        self, source: str, answer: AppendAnswer, now: int
    ) -> None:
        """Record a follower's answer and send it the next entries."""
        leader = self._core.role
        if not isinstance(leader, Leader) or answer.term != self._core.term:
            return
        leader.replication.record_answer(source, answer)
        self.advance_commit(leader)
        if self._core.role is leader:
            self._replicate_to(leader, source, now)
            self._finish_pending_change(leader, now)

    def advance_commit(self, leader: Leader) -> None:
        """Commit the entries that enough voters have durably.

        Steps down once a change that removes this replica is committed.
        """
        core = self._core
        index = leader.replication.find_commit_index(
            core.replica_log.voters,
            core.min_copies,
        )
        # Only entries of the own term are committed by counting copies; an
        # entry of an earlier term could still be replaced by a later leader.
        if core.replica_log.term_at(index) != core.term:
            return
        core.commit(index)
        is_change_committed = (
            core.replica_log.last_change_index() <= core.commit_index
        )
        if is_change_committed and not core.is_voter(core.node):
            core.stop_leading()

    def _change_voters(
        self,
        leader: Leader,
        proposal: CommandProposed,
        now: int,
    ) -> None:
        """Start to add or remove one voter.

        Majorities of two voter sets that differ by one voter overlap. Two
        uncommitted changes could give sets whose majorities do not, so one
        must be committed before the next starts.
        """
        core = self._core
        current_nodes = {voter.node for voter in core.replica_log.voters}
        proposed_nodes = {voter.node for voter in proposal.voters or ()}
        is_changing = core.replica_log.last_change_index() > core.commit_index
        if len(current_nodes ^ proposed_nodes) != 1 or not proposed_nodes:
            self._decline(
                proposal,
                'exactly one voter may be added or removed at a time',
            )
        elif leader.pending_change is not None or is_changing:
            self._decline(proposal, 'another change of voters is in progress')
        else:
            leader.pending_change = proposal
            leader.change_deadline = now + core.timing.catch_up_ms
            self._replicate(leader, now)
            self._finish_pending_change(leader, now)

    def _finish_pending_change(self, leader: Leader, now: int) -> None:
        """Append the pending change of voters, or decline it.

        It is appended once the new voter has all committed entries, and
        declined if that is not so at the deadline.
        """
        pending_change = leader.pending_change
        if pending_change is None:
            return
        core = self._core
        is_caught_up = all(
            leader.replication.durable_index_of(node) >= core.commit_index
            for node in core.list_learners()
        )
        if is_caught_up:
            leader.pending_change = None
            self._append(_make_entry(core.term, pending_change), now)
        elif now >= leader.change_deadline:
            leader.pending_change = None
            self._decline(
                pending_change,
                'the new voter did not catch up; is it running?',
            )

    def _decline(self, proposal: CommandProposed, detail: str) -> None:
        self._core.effects.append(Declined(proposal.proposal_id, detail))

    def _append(self, entry: Entry, now: int) -> None:
        core = self._core
        core.write_log(core.replica_log.last_index + 1, (entry,))
        if isinstance(core.role, Leader):
            self._replicate(core.role, now)

    def _replicate(self, leader: Leader, now: int) -> None:
        for node in self._core.list_other_replicas():
            self._replicate_to(leader, node, now)

    def _replicate_to(self, leader: Leader, node: str, now: int) -> None:
        message = leader.replication.next_message(
            node,
            self._core.commit_index,
            now,
        )
        if message is not None:
            self._core.send(node, message)


def _make_entry(term: int, proposal: CommandProposed) -> Entry:
    return Entry(
        term,
        proposal.proposal_id,
        proposal.command,
        proposal.voters,
    )
