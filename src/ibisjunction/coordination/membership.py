"""The membership of the control VMs among the voters of the log."""

from typing import Final

from ibisjunction.control.roles import ElectionTiming
from ibisjunction.coordination.effects import Propose
from ibisjunction.coordination.log import FleetLog
from ibisjunction.coordination.messages import (
    AskToJoin,
    AskToLeave,
    LeaveAnswered,
)
from ibisjunction.coordination.timing import FleetTiming
from ibisjunction.coordination.voters import Joiner, VoterChanges
from ibisjunction.fleet.commands import ReplaceVoters
from ibisjunction.mailbox import Mailbox
from ibisjunction.peers.link import PeerNetwork

#: Interval at which a replica that does not vote requests to become a voter,
#: and at which the leader changes the voters if needed.
_JOIN_INTERVAL_MS: Final = 300
#: Interval at which a voter that is to stop requests to be replaced.
_LEAVE_INTERVAL_MS: Final = 100


class VoterMembership:
    """Joins and leaves the voters, and changes them as the leader."""

    def __init__(
        self,
        vm: str,
        prefix: str,
        log: FleetLog,
        peers: PeerNetwork,
        election: ElectionTiming,
        timing: FleetTiming,
        now: int,
    ) -> None:
        """Start without requests.

        :param prefix: makes the ids of proposals unique.
        """
        self._vm = vm
        self._prefix = prefix
        self._log = log
        self._peers = peers
        self._changes = VoterChanges(timing.voter_count)
        # Shorter times than an election would replace voters that only wait for
        # a leader.
        self._voter_timeout_ms = max(election.max_ms, timing.voter_timeout_ms)
        self._stop_reply: Mailbox[None] | None = None
        self._next_join_ms = now
        self._next_leave_ms = now
        self._change_count = 0
        self._former_peer = ''

    def prepare_to_stop(self, reply: Mailbox[None], now: int) -> None:
        """Answer once this replica may stop; it is checked at each tick."""
        self._stop_reply = reply
        self._next_leave_ms = now

    def record_change(self, now: int) -> None:
        """Let the next change follow a committed one at once."""
        self._next_join_ms = now

    def record_joiner(self, request: AskToJoin, now: int) -> None:
        """Record the request of a replica to become a voter."""
        self._changes.record_joiner(Joiner(request.node, request.vm), now)

    def record_target(self, sender: str, target: str) -> None:
        """Record a VM that sends to a replica on an earlier disk of this VM.

        A replica without a disk knows seeds only, which may all be gone.
        """
        if target != self._log.node:
            self._former_peer = sender

    def handle_answer(self, answer: LeaveAnswered) -> None:
        """Stop waiting if the answer is to this replica.

        A later process on a new disk of this VM has another name.
        """
        if answer.node == self._log.node and self._stop_reply is not None:
            self._stop_reply.post(None)

    def handle_leave_request(
        self, request: AskToLeave, now: int
    ) -> Propose | None:
        """Answer a voter that is to stop, or replace it, as the leader."""
        node = request.node
        self._changes.record_leaving(node, now)
        if not self._changes.may_stop(node, self._log.committed_voters, now):
            return self._change_voters(now)
        answer = LeaveAnswered(node)
        if node == self._log.node:
            self.handle_answer(answer)
        else:
            self._peers.send(request.vm, answer)
        return None

    def handle_tick(
        self,
        leader: str | None,
        seeds: tuple[str, ...],
        now: int,
        *,
        is_leading: bool,
    ) -> Propose | None:
        """Send the requests of this replica; return a change of the leader.

        :param leader: the VM of the leader, if it is known.
        """
        if self._stop_reply is not None and now >= self._next_leave_ms:
            self._next_leave_ms = now + _LEAVE_INTERVAL_MS
            request = AskToLeave(self._log.node, self._vm)
            # A leader that has removed itself hears of no later leader.
            if is_leading or not self._is_committed_voter:
                return self.handle_leave_request(request, now)
            if leader is not None:
                self._peers.send(leader, request)
        if now < self._next_join_ms:
            return None
        self._next_join_ms = now + _JOIN_INTERVAL_MS
        if is_leading:
            return self._change_voters(now)
        if self._stop_reply is None and self._may_be_replaced:
            self._request_to_join(leader, seeds)
        return None

    @property
    def _is_committed_voter(self) -> bool:
        voters = self._log.committed_voters
        return any(voter.node == self._log.node for voter in voters)

    @property
    def _may_be_replaced(self) -> bool:
        """Whether this replica does not vote, or may not know that it doesn't.

        A voter that was replaced gets no entries any more, not even the one
        that removes it.
        """
        return not self._log.is_voter or self._log.find_leader() is None

    def _request_to_join(
        self, leader: str | None, seeds: tuple[str, ...]
    ) -> None:
        request = AskToJoin(self._log.node, self._vm)
        voters = {voter.vm for voter in self._log.voters}
        recipients = {*seeds, *voters, self._former_peer, leader or ''}
        for vm in recipients - {self._vm, ''}:
            self._peers.send(vm, request)

    def _change_voters(self, now: int) -> Propose | None:
        voters = self._changes.plan(
            self._log.voters,
            self._log.find_unresponsive_replicas(now, self._voter_timeout_ms),
            now,
        )
        if voters is None:
            return None
        self._change_count += 1
        return Propose(
            f'{self._prefix}.voters.{self._change_count}',
            ReplaceVoters(voters),
            'a voter is silent or to stop, or a disk has joined',
        )
