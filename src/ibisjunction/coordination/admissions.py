"""Batches the admissions of upstreams that check in at about the same time.

After a start or the loss of a failure domain, thousands of upstreams check in
within a second. One log entry for each of them would cost every replica and
every entry VM a copy of all upstreams.
"""

from collections import deque
from collections.abc import Callable, Container
from dataclasses import dataclass, field, replace
from typing import Final

from ibisjunction.coordination.effects import Propose
from ibisjunction.fleet.commands import AdmitUpstream, AdmitUpstreams
from ibisjunction.fleet.model import ProcessKey, Upstream

#: Upstreams in one command. An encoded one takes about 100 bytes, so a command
#: fits into the 32 KiB that a link carries at a time.
MAX_BATCH: Final = 200
#: Time after which a command that was not committed no longer holds up others.
_COMMIT_TIMEOUT_MS: Final = 1000
#: Commands without a commit that are remembered, one for each timeout. A leader
#: without a majority stops acting long before there are as many.
_MAX_OVERDUE: Final = 60


@dataclass(slots=True)
class _Batch:
    """Upstreams that one command admits."""

    proposal_id: str
    upstreams: list[Upstream] = field(default_factory=list)

    def make_proposal(self) -> Propose:
        """Return the proposal that admits the upstreams."""
        if len(self.upstreams) == 1:
            command = AdmitUpstream(self.upstreams[0])
            return Propose(self.proposal_id, command, 'it checks in')
        commands = AdmitUpstreams(tuple(self.upstreams))
        return Propose(self.proposal_id, commands, 'they check in')


class Admissions:
    """The admissions of one term that are not committed yet.

    One command is under way at a time. Upstreams that check in meanwhile wait
    for the next one, so a command is the larger the more of them there are.
    """

    def __init__(self, make_id: Callable[[], str]) -> None:
        """Start without admissions.

        :param make_id: returns a new identifier of a proposal.
        """
        self._make_id = make_id
        self._waiting: deque[_Batch] = deque()
        self._in_flight: _Batch | None = None
        # Proposed longer ago; they may still be committed.
        self._overdue: deque[_Batch] = deque(maxlen=_MAX_OVERDUE)
        self._sent_ms = 0
        self._proposals: dict[Upstream, str] = {}

    def add(self, upstream: Upstream) -> str:
        """Add an upstream; return the proposal that will admit it.

        An upstream that checks in again in the meantime is not added twice.
        """
        proposal_id = self._proposals.get(upstream)
        if proposal_id is not None:
            return proposal_id
        if not self._waiting or len(self._waiting[-1].upstreams) >= MAX_BATCH:
            self._waiting.append(_Batch(self._make_id()))
        batch = self._waiting[-1]
        batch.upstreams.append(upstream)
        self._proposals[upstream] = batch.proposal_id
        return batch.proposal_id

    def list_processes(self, name: str) -> set[ProcessKey]:
        """Return the processes of a name that may be admitted later."""
        return {
            upstream.process_key
            for batch in self._list_batches()
            for upstream in batch.upstreams
            if upstream.upstream == name
        }

    def mark_draining(self, process_key: ProcessKey) -> set[str]:
        """Let admissions that still wait admit a process as one that leaves.

        Its departure may be committed before them.

        :return: the proposals that admit it as one that leaves, except those
            that may be lost.
        """
        for batch in self._waiting:
            for position, upstream in enumerate(batch.upstreams):
                if upstream.process_key == process_key:
                    leaving = replace(upstream, is_draining=True)
                    batch.upstreams[position] = leaving
                    self._proposals.pop(upstream, None)
                    self._proposals[leaving] = batch.proposal_id
        return {
            proposal_id
            for upstream, proposal_id in self._proposals.items()
            if upstream.process_key == process_key and upstream.is_draining
        }

    def is_taking_requests(self, process_key: ProcessKey) -> bool:
        """Return whether a proposed admission lets a process take requests."""
        return any(
            upstream.process_key == process_key and not upstream.is_draining
            for batch in self._list_batches()
            for upstream in batch.upstreams
        )

    def _list_batches(self) -> list[_Batch]:
        in_flight = [] if self._in_flight is None else [self._in_flight]
        return [*self._overdue, *in_flight, *self._waiting]

    def record_outcomes(self, committed: Container[str]) -> None:
        """Record the committed proposals.

        Commands are committed in the order of their proposals, so those before
        a committed one are committed or lost.
        """
        for _ in range(self._count_decided(committed)):
            self._overdue.popleft()
        batch = self._in_flight
        if batch is not None and batch.proposal_id in committed:
            self._overdue.clear()
            self._end_flight()

    def _count_decided(self, committed: Container[str]) -> int:
        return max(
            (
                number
                for number, batch in enumerate(self._overdue, start=1)
                if batch.proposal_id in committed
            ),
            default=0,
        )

    def take_next(self, now: int) -> list[Propose]:
        """Return the proposal to make now, if none is under way."""
        is_overdue = now >= self._sent_ms + _COMMIT_TIMEOUT_MS
        if is_overdue and self._in_flight is not None:
            self._overdue.append(self._in_flight)
            self._end_flight()
        if not self._waiting or self._in_flight is not None:
            return []
        self._in_flight = self._waiting.popleft()
        self._sent_ms = now
        return [self._in_flight.make_proposal()]

    def _end_flight(self) -> None:
        if self._in_flight is not None:
            for upstream in self._in_flight.upstreams:
                self._proposals.pop(upstream, None)
        self._in_flight = None
