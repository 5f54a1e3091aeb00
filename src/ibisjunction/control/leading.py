"""What a leader decides: replication, commits and changes of voters."""

from typing import Final

from ibisjunction.control.effects import Declined, Elected, Proposed
from ibisjunction.control.protocol import AppendAnswer, Entry
from ibisjunction.control.replica_core import ReplicaCore
from ibisjunction.control.replication import Replication
from ibisjunction.control.roles import Leader

#: A new voter that has not caught up by then no longer blocks other changes.
_JOIN_LIMIT_MS: Final = 20_000


class Leading:
    """The duties of a leader; each call does nothing on other replicas."""

    def __init__(self, core: ReplicaCore) -> None:
        """Share the state of the replica."""
        self._core = core

    def start(self, now: int) -> None:
        """Lead the current term."""
        core = self._core
        replication = Replication(
            core.node,
            core.term,
            core.history,
            now,
            core.timing.max_ms,
        )
        replication.own_match = core.durability.index
        begin_index = core.history.last_index + 1
        core.role = Leader(replication, begin_index, now)
        core.effects.append(Elected(core.term))
        self._append(Entry(core.term), now)

    def is_acting(self, now: int) -> bool:
        """Return whether this replica leads and may act on it.

        Its own entry must be committed, so that its state holds all that any
        earlier leader acknowledged, and a majority must have followed it
        recently, so that there is no later leader yet.
        """
        role = self._core.role
        if not isinstance(role, Leader):
            return False
        has_begun = self._core.commit_index >= role.begin_index
        return has_begun and self._core.is_confirmed(now)

    def look_at_clock(self, leader: Leader, now: int) -> None:
        """Send what is due, or stop when no majority answers."""
        core = self._core
        if not core.is_confirmed(now):
            core.stop_leading()
            core.restart_timeout(now)
            return
        if now >= leader.heartbeat_at:
            leader.heartbeat_at = now + core.timing.heartbeat_ms
            for node in core.list_others():
                message = leader.replication.heartbeat(
                    node,
                    core.commit_index,
                    now,
                )
                core.send(node, message)
        self._replicate(leader, now)
        self._admit(leader, now)

    def propose(self, proposal: Proposed, now: int) -> None:
        """Add a command to the log unless it is there already."""
        core = self._core
        leader = core.role
        if not isinstance(leader, Leader) or not self.is_acting(now):
            return
        if core.history.holds_proposal(proposal.proposal_id):
            return
        if proposal.voters is None:
            self._append(_make_entry(core.term, proposal), now)
            return
        joining = leader.joining
        if joining is None or joining.proposal_id != proposal.proposal_id:
            self._change_voters(leader, proposal, now)

    def accept(self, source: str, answer: AppendAnswer, now: int) -> None:
        """Record a follower's answer and send it what it lacks."""
        leader = self._core.role
        if not isinstance(leader, Leader) or answer.term != self._core.term:
            return
        leader.replication.accept(source, answer)
        self.advance_commit(leader)
        if self._core.role is leader:
            self._replicate_to(leader, source, now)
            self._admit(leader, now)

    def advance_commit(self, leader: Leader) -> None:
        """Commit what a majority holds durably."""
        core = self._core
        index = leader.replication.count_committed(
            core.history.voters,
            core.min_copies,
        )
        # Only entries of the own term are committed by counting replicas; an
        # earlier one could still be replaced by a later leader.
        if core.history.term_at(index) != core.term:
            return
        core.commit(index)
        is_removed = core.history.voters_index() <= core.commit_index
        if is_removed and not core.is_voter(core.node):
            core.stop_leading()

    def _change_voters(
        self,
        leader: Leader,
        proposal: Proposed,
        now: int,
    ) -> None:
        """Start a change of one voter.

        Two majorities whose voters differ by one share a replica. That holds
        only while at most one change is not committed.
        """
        core = self._core
        known = {voter.node for voter in core.history.voters}
        wanted = {voter.node for voter in proposal.voters or ()}
        is_changing = core.history.voters_index() > core.commit_index
        if len(known ^ wanted) != 1 or not wanted:
            self._decline(
                proposal,
                'exactly one voter may be added or removed at a time',
            )
        elif leader.joining is not None or is_changing:
            self._decline(proposal, 'another change of voters is in progress')
        else:
            leader.joining = proposal
            leader.joining_until = now + _JOIN_LIMIT_MS
            self._replicate(leader, now)
            self._admit(leader, now)

    def _admit(self, leader: Leader, now: int) -> None:
        """Add a change of voters once the new voter has caught up."""
        joining = leader.joining
        if joining is None:
            return
        core = self._core
        is_ready = all(
            leader.replication.match_of(node) >= core.commit_index
            for node in core.list_joining()
        )
        if is_ready:
            leader.joining = None
            self._append(_make_entry(core.term, joining), now)
        elif now >= leader.joining_until:
            leader.joining = None
            self._decline(
                joining,
                'the new voter did not catch up; is it running?',
            )

    def _decline(self, proposal: Proposed, detail: str) -> None:
        self._core.effects.append(Declined(proposal.proposal_id, detail))

    def _append(self, entry: Entry, now: int) -> None:
        core = self._core
        core.write_log(core.history.last_index + 1, (entry,))
        if isinstance(core.role, Leader):
            self._replicate(core.role, now)

    def _replicate(self, leader: Leader, now: int) -> None:
        for node in self._core.list_others():
            self._replicate_to(leader, node, now)

    def _replicate_to(self, leader: Leader, node: str, now: int) -> None:
        message = leader.replication.next_message(
            node,
            self._core.commit_index,
            now,
        )
        if message is not None:
            self._core.send(node, message)


def _make_entry(term: int, proposal: Proposed) -> Entry:
    return Entry(
        term,
        proposal.proposal_id,
        proposal.command,
        proposal.voters,
    )
