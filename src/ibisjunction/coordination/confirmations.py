"""Decides when a call whose commands are committed may be confirmed.

Departures, check-ins that announce one, changes of items and evacuations are
confirmed once no entry VM can act on the older state for longer than their
bound allows.
"""

from ibisjunction.coordination.calls import (
    Call,
    ChangeItems,
    CheckIn,
    Depart,
    EndEvacuation,
    StartEvacuation,
)
from ibisjunction.coordination.evacuations import Evacuations
from ibisjunction.coordination.recent_changes import ITEMS, RecentChanges
from ibisjunction.coordination.spread import CommittedChange, is_confirmable
from ibisjunction.coordination.timing import FleetTiming
from ibisjunction.fleet.model import FleetState, ProcessKey
from ibisjunction.membership.leases import LeaseTable


class Confirmations:
    """The changes of one term that entry VMs may not have applied yet."""

    def __init__(
        self,
        timing: FleetTiming,
        leases: LeaseTable,
        evacuations: Evacuations,
        inherited: CommittedChange,
        recent: RecentChanges,
    ) -> None:
        """Start a term.

        :param inherited: the latest change of earlier terms, which may not
            have been confirmed; its time is that of the election.
        :param recent: the changes that this replica has applied of late.
        """
        self._timing = timing
        self._leases = leases
        self._evacuations = evacuations
        self._inherited = inherited
        self._recent = recent
        #: Index of the latest change that answers wait for.
        self.latest_index = inherited.index

    def record_state_change(
        self, earlier: FleetState, state: FleetState, index: int, now: int
    ) -> None:
        """Record when departures and changes of items were committed."""
        if state.evacuated != earlier.evacuated:
            self.latest_index = index
        if self._recent.record_state_change(earlier, state, index, now):
            self.latest_index = index
        self._evacuations.record_state_change(earlier, state, index, now)

    def record_item_change(self, change: CommittedChange) -> None:
        """Record that the answer to a change of items waits for its commit.

        It may leave the items as they are, if a later one was committed first.
        """
        self.latest_index = change.index

    def find_required_change(
        self, call: Call, own_change: CommittedChange | None
    ) -> CommittedChange | None:
        """Return the change that entry VMs must apply before the answer.

        A change of items waits for its own commit, or for the latest change at
        its arrival if it proposed nothing. Otherwise, changes in quick
        succession would put off the answers to all of them.

        :param own_change: the commit of the latest proposal of the call, or the
            change that was required as it arrived.
        """
        match call:
            case CheckIn(upstream=name, born=born, is_draining=True):
                return self._find_recent((name, born))
            case Depart(upstream=name, born=born):
                return self._find_recent((name, born))
            case ChangeItems():
                return own_change or self._find_recent(ITEMS)
            case StartEvacuation() | EndEvacuation() as order:
                return self._evacuations.find_required_change(order)
            case _:
                return None

    def _find_recent(self, key: ProcessKey) -> CommittedChange:
        return self._recent.find(key) or self._inherited

    def is_confirmable(
        self, call: Call, own_change: CommittedChange | None, now: int
    ) -> bool:
        """Return whether a call may be confirmed now."""
        change = self.find_required_change(call, own_change)
        return change is None or is_confirmable(
            change,
            self._leases,
            self._inherited.committed_ms,
            self._timing,
            now,
            self._find_force_ms(call),
        )

    def _find_force_ms(self, call: Call) -> int:
        """Return in which time after its confirmation a call is in force."""
        match call:
            case StartEvacuation():
                return self._evacuations.force_ms
            case _:
                return self._timing.drain_ms
