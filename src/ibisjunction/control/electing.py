"""How replicas elect a leader."""

from ibisjunction.control.leading import Leading
from ibisjunction.control.protocol import RequestVote, VoteAnswer
from ibisjunction.control.replica_core import ReplicaCore
from ibisjunction.control.roles import Candidate, Leader


class Electing:
    """Stands for election and answers other candidates."""

    def __init__(self, core: ReplicaCore, leading: Leading) -> None:
        """Share the state of the replica."""
        self._core = core
        self._leading = leading

    def look_at_clock(self, now: int) -> None:
        """Start a trial election if no leader was heard for too long."""
        core = self._core
        if now >= core.deadline and core.is_voter(core.node):
            core.restart_timeout(now)
            core.role = Candidate(is_trial=True, write=0, votes={core.node})
            self._request_votes(core.term + 1, is_trial=True)
            self._count_votes(now)

    def answer(self, source: str, request: RequestVote, now: int) -> None:
        """Grant or refuse a vote."""
        core = self._core
        if self._has_leader(now):
            is_granted = False
        elif request.is_trial:
            is_granted = request.term > core.term and self._covers(request)
        else:
            core.adopt(request.term)
            is_granted = self._may_vote(source, request)
            if is_granted:
                self._vote_for(source, now)
        term = request.term if is_granted else core.term
        answer = VoteAnswer(term, request.is_trial, is_granted)
        core.send_when_durable(source, answer)

    def accept(self, source: str, answer: VoteAnswer, now: int) -> None:
        """Count a vote, or follow the higher term of a refusal."""
        core = self._core
        if not answer.is_granted:
            core.adopt(answer.term)
            return
        candidate = core.role
        if not isinstance(candidate, Candidate) or not core.is_voter(source):
            return
        expected = core.term + candidate.is_trial
        if (answer.is_trial, answer.term) == (candidate.is_trial, expected):
            candidate.votes.add(source)
            self._count_votes(now)

    def count_own_vote(self, candidate: Candidate, now: int) -> None:
        """Count the own vote if it is durable."""
        is_durable = self._core.durability.is_finished(candidate.write)
        if is_durable and not candidate.is_trial:
            candidate.votes.add(self._core.node)
            self._count_votes(now)

    def _count_votes(self, now: int) -> None:
        core = self._core
        candidate = core.role
        if not isinstance(candidate, Candidate):
            return
        if len(candidate.votes) <= len(core.history.voters) // 2:
            return
        if candidate.is_trial:
            core.restart_timeout(now)
            write = core.save_vote(core.term + 1, core.node)
            core.role = Candidate(is_trial=False, write=write)
            self._request_votes(core.term, is_trial=False)
        else:
            self._leading.start(now)

    def _request_votes(self, term: int, *, is_trial: bool) -> None:
        """Ask for votes once the own vote is durable.

        After a crash the replica could otherwise stand twice in one term.
        """
        core = self._core
        request = RequestVote(
            term,
            is_trial,
            core.history.last_index,
            core.history.last_term,
        )
        for node in core.list_others():
            core.send_when_durable(node, request)

    def _vote_for(self, source: str, now: int) -> None:
        core = self._core
        core.restart_timeout(now)
        if core.vote != source:
            core.save_vote(core.term, source)

    def _may_vote(self, source: str, request: RequestVote) -> bool:
        core = self._core
        is_current = request.term == core.term
        is_free = core.vote in {'', source}
        return is_current and is_free and self._covers(request)

    def _covers(self, request: RequestVote) -> bool:
        """Return whether a candidate's log holds all that ours may commit."""
        theirs = (request.last_term, request.last_index)
        history = self._core.history
        return theirs >= (history.last_term, history.last_index)

    def _has_leader(self, now: int) -> bool:
        """Return whether a leader may still act because of this replica."""
        core = self._core
        if isinstance(core.role, Leader):
            return core.is_confirmed(now)
        is_recent = now < core.heard_at + core.timing.min_ms
        return is_recent and not core.is_alone()
