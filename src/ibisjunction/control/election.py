"""Leader election with a trial round (pre-vote)."""

from ibisjunction.control.leader import LeaderHandler
from ibisjunction.control.protocol import RequestVote, VoteAnswer
from ibisjunction.control.replica_core import ReplicaCore
from ibisjunction.control.roles import Candidate, Leader


class ElectionHandler:
    """Runs elections and answers vote requests of other candidates."""

    def __init__(
        self, core: ReplicaCore, leader_handler: LeaderHandler
    ) -> None:
        """Share the state of the replica."""
        self._core = core
        self._leader_handler = leader_handler

    def handle_tick(self, now: int) -> None:
        """Start a trial election once the election timeout has expired."""
        core = self._core
        if now >= core.election_deadline and core.is_voter(core.node):
            core.restart_election_timeout(now)
            core.role = Candidate(
                is_trial=True, vote_write=0, votes={core.node}
            )
            self._request_votes(core.term + 1, is_trial=True)
            self._count_votes(now)

    def handle_vote_request(
        self, source: str, request: RequestVote, now: int
    ) -> None:
        """Grant or refuse a vote."""
        core = self._core
        if self._may_have_leader(now):
            is_granted = False
        elif request.is_trial:
            is_granted = request.term > core.term and self._is_up_to_date(
                request
            )
        else:
            core.adopt_term(request.term)
            is_granted = self._may_vote(source, request)
            if is_granted:
                self._vote_for(source, now)
        term = request.term if is_granted else core.term
        answer = VoteAnswer(term, request.is_trial, is_granted)
        core.send_when_durable(source, answer)

    def handle_vote_answer(
        self, source: str, answer: VoteAnswer, now: int
    ) -> None:
        """Count a granted vote, or adopt the higher term of a refusal."""
        core = self._core
        if not answer.is_granted:
            core.adopt_term(answer.term)
            return
        candidate = core.role
        if not isinstance(candidate, Candidate) or not core.is_voter(source):
            return
        expected_term = core.term + candidate.is_trial
        if (answer.is_trial, answer.term) == (
            candidate.is_trial,
            expected_term,
        ):
            candidate.votes.add(source)
            self._count_votes(now)

    def count_own_vote(self, candidate: Candidate, now: int) -> None:
        """Count the own vote of a real election once it is durable."""
        is_vote_durable = self._core.durability.is_durable(candidate.vote_write)
        if is_vote_durable and not candidate.is_trial:
            candidate.votes.add(self._core.node)
            self._count_votes(now)

    def _count_votes(self, now: int) -> None:
        core = self._core
        candidate = core.role
        if not isinstance(candidate, Candidate):
            return
        if len(candidate.votes) <= len(core.replica_log.voters) // 2:
            return
        if candidate.is_trial:
            core.restart_election_timeout(now)
            vote_write = core.save_vote(core.term + 1, core.node)
            core.role = Candidate(is_trial=False, vote_write=vote_write)
            self._request_votes(core.term, is_trial=False)
        else:
            self._leader_handler.become_leader(now)

    def _request_votes(self, term: int, *, is_trial: bool) -> None:
        """Send vote requests once the own vote is durable.

        If they were sent earlier, a crash could lose the vote, and the replica
        could stand for election twice in one term.
        """
        core = self._core
        request = RequestVote(
            term,
            is_trial,
            core.replica_log.last_index,
            core.replica_log.last_term,
        )
        for node in core.list_other_replicas():
            core.send_when_durable(node, request)

    def _vote_for(self, source: str, now: int) -> None:
        core = self._core
        core.restart_election_timeout(now)
        if core.vote != source:
            core.save_vote(core.term, source)

    def _may_vote(self, source: str, request: RequestVote) -> bool:
        core = self._core
        is_current_term = request.term == core.term
        is_vote_available = core.vote in {'', source}
        return (
            is_current_term
            and is_vote_available
            and self._is_up_to_date(request)
        )

    def _is_up_to_date(self, request: RequestVote) -> bool:
        """Return whether a candidate's log is at least as recent as ours.

        Only then is it certain to contain every entry of our log that may be
        committed.
        """
        candidate_position = (request.last_term, request.last_index)
        replica_log = self._core.replica_log
        return candidate_position >= (
            replica_log.last_term,
            replica_log.last_index,
        )

    def _may_have_leader(self, now: int) -> bool:
        """Return whether a leader may still act with this replica's support."""
        core = self._core
        if isinstance(core.role, Leader):
            return core.has_recent_majority(now)
        is_recent = now < core.leader_contact_at + core.timing.min_ms
        return is_recent and not core.is_sole_voter()
