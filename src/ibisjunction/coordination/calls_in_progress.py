"""The calls that a leader has not answered yet.

An event concerns few of them: a commit those that wait for its proposals, a
heartbeat those that wait for entry VMs. So each event looks at these only, and
not at all calls in progress, of which there are thousands after an election.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from ibisjunction.catalogue.model import Rejected, UpdateOutcome
from ibisjunction.coordination.calls import (
    Call,
    ChangeItems,
    CheckIn,
    ReadItems,
)
from ibisjunction.coordination.spread import CommittedChange


@dataclass(slots=True)
class CallInProgress:
    """A call that is not answered yet, with the proposals that it waits for.

    ``is_late`` marks a check-in that arrived after a later one. ``change`` is
    the commit of the latest of its proposals. Until there is one, it is what
    the answer had to wait for as the call arrived.
    """

    call: Call
    started_ms: int
    is_late: bool = False
    pending_proposals: set[str] = field(default_factory=set)
    change: CommittedChange | None = None
    rejection: str = ''

    def record_outcome(
        self, proposal_id: str, outcome: UpdateOutcome, change: CommittedChange
    ) -> None:
        """Record that one of the call's proposals was committed."""
        self.pending_proposals.discard(proposal_id)
        self.change = change
        if isinstance(outcome, Rejected):
            self.rejection = outcome.detail


class CallsInProgress:
    """The calls in progress by their identifiers and proposals."""

    def __init__(self) -> None:
        """Start without calls."""
        self._calls: dict[str, CallInProgress] = {}
        self._waiting: dict[str, list[str]] = {}
        # Calls that are confirmed once entry VMs have applied their change.
        self._spreading: set[str] = set()

    def __iter__(self) -> Iterator[str]:
        """Yield the identifiers of all calls, the oldest first."""
        return iter(self._calls)

    def add(self, call_id: str, state: CallInProgress) -> None:
        """Add a call."""
        self._calls[call_id] = state
        if _may_await_entry_vms(state.call):
            self._spreading.add(call_id)

    def add_proposals(self, call_id: str, proposals: Iterable[str]) -> None:
        """Record proposals that a call waits for."""
        for proposal_id in proposals:
            self._calls[call_id].pending_proposals.add(proposal_id)
            self._waiting.setdefault(proposal_id, []).append(call_id)

    def find(self, call_id: str) -> CallInProgress | None:
        """Return a call, if it is in progress."""
        return self._calls.get(call_id)

    def remove(self, call_id: str) -> None:
        """Remove a call that is answered."""
        self._calls.pop(call_id, None)
        self._spreading.discard(call_id)

    def clear(self) -> None:
        """Remove all calls."""
        self._calls.clear()
        self._waiting.clear()
        self._spreading.clear()

    @property
    def has_spreading(self) -> bool:
        """Whether there are calls that may wait for entry VMs."""
        return bool(self._spreading)

    def list_spreading(self) -> list[str]:
        """Return the calls that may wait for entry VMs, the oldest first."""
        if not self._spreading:
            return []
        return [one for one in self._calls if one in self._spreading]

    def has_item_changes(self, call_ids: Iterable[str]) -> bool:
        """Return whether some of the calls change items."""
        found = map(self._calls.get, call_ids)
        return any(
            state is not None and isinstance(state.call, ChangeItems)
            for state in found
        )

    def find_same_proposals(self, call: Call) -> set[str]:
        """Return the proposals that an equal change of items waits for."""
        if not isinstance(call, ChangeItems):
            return set()
        return next(
            (
                set(other.pending_proposals)
                for other in self._calls.values()
                if other.pending_proposals and other.call == call
            ),
            set(),
        )

    def record_outcomes(
        self, outcomes: Mapping[str, UpdateOutcome], change: CommittedChange
    ) -> list[str]:
        """Record committed proposals; return the calls that waited for them."""
        concerned: dict[str, None] = {}
        for proposal_id, outcome in outcomes.items():
            for call_id in self._waiting.pop(proposal_id, ()):
                state = self._calls.get(call_id)
                if state is not None:
                    state.record_outcome(proposal_id, outcome, change)
                    concerned[call_id] = None
        return list(concerned)


def _may_await_entry_vms(call: Call) -> bool:
    match call:
        case CheckIn(is_draining=is_draining):
            return is_draining
        case ReadItems():
            return False
        case _:
            return True
