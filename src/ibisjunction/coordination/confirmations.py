"""Decides when a call whose commands are committed may be confirmed.

Departures, check-ins that announce one, changes of items and evacuations are
confirmed once no entry VM can act on the older state for longer than their
bound allows.
"""

from collections.abc import Iterator
from typing import Final

from ibisjunction.coordination.calls import (
    Call,
    ChangeItems,
    CheckIn,
    Depart,
    EndEvacuation,
    StartEvacuation,
)
from ibisjunction.coordination.evacuations import Evacuations
from ibisjunction.coordination.spread import CommittedChange, is_confirmable
from ibisjunction.coordination.timing import FleetTiming
from ibisjunction.fleet.model import FleetState, ProcessKey, Upstream
from ibisjunction.membership.leases import LeaseTable

#: In place of the start of a process, as departures name the current one.
_ANY_PROCESS: Final = 0
_ITEMS: Final = ('', _ANY_PROCESS)


class Confirmations:
    """The changes of one term that entry VMs may not have applied yet."""

    def __init__(
        self,
        timing: FleetTiming,
        leases: LeaseTable,
        evacuations: Evacuations,
        inherited: CommittedChange,
    ) -> None:
        """Start a term.

        :param inherited: the latest change of earlier terms, which may not
            have been confirmed; its time is that of the election.
        """
        self._timing = timing
        self._leases = leases
        self._evacuations = evacuations
        self._inherited = inherited
        # By which processes took no more requests, and the latest one of items,
        # the oldest first. Once all leases from before a change have ended,
        # nothing waits for it.
        self._recent: dict[ProcessKey, CommittedChange] = {}
        #: Index of the latest change that answers wait for.
        self.latest_index = inherited.index

    def record_state_change(
        self, earlier: FleetState, state: FleetState, index: int, now: int
    ) -> None:
        """Record when departures and changes of items were committed."""
        change = CommittedChange(index, now)
        if state.evacuated != earlier.evacuated:
            self.latest_index = index
        if state.catalogue is not earlier.catalogue:
            self._record(_ITEMS, change)
        if state.upstreams is not earlier.upstreams:
            for process_key in _list_marked(earlier, state):
                self._record(process_key, change)
            for process_key in _list_removed(earlier, state):
                self._record(process_key, change)
        self._evacuations.record_state_change(earlier, state, index, now)

    def record_item_change(self, change: CommittedChange) -> None:
        """Record that the answer to a change of items waits for its commit.

        It may leave the items as they are, if a later one was committed first.
        """
        self.latest_index = change.index

    def _record(self, process_key: ProcessKey, change: CommittedChange) -> None:
        name, _ = process_key
        for key in (process_key, (name, _ANY_PROCESS)):
            self._recent.pop(key, None)
            self._recent[key] = change
        self.latest_index = change.index
        while self._is_oldest_obsolete(change.committed_ms):
            self._recent.pop(next(iter(self._recent)))

    def _is_oldest_obsolete(self, now: int) -> bool:
        """Return whether all leases from before a change have ended."""
        oldest = next(iter(self._recent.values()))
        max_wait_ms = self._timing.lease_ms * (1 + self._timing.clock_error)
        return now >= oldest.committed_ms + max_wait_ms

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
                return self._recent.get((name, born), self._inherited)
            case Depart(upstream=name, born=born):
                return self._recent.get((name, born), self._inherited)
            case ChangeItems():
                return own_change or self._recent.get(_ITEMS, self._inherited)
            case StartEvacuation() | EndEvacuation() as order:
                return self._evacuations.find_required_change(order)
            case _:
                return None

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


def _list_marked(
    earlier: FleetState, state: FleetState
) -> Iterator[ProcessKey]:
    """Yield the processes that are marked now, or are admitted as leaving."""
    for name, upstream in state.upstreams.items():
        before = earlier.upstreams.get(name)
        if upstream is before:
            continue
        if upstream.is_draining and not _was_draining(before, upstream):
            yield upstream.process_key


def _list_removed(
    earlier: FleetState, state: FleetState
) -> Iterator[ProcessKey]:
    """Yield the processes that took requests and are removed or replaced."""
    for name, before in earlier.upstreams.items():
        found = state.upstreams.get(name)
        is_same = found is not None and found.born == before.born
        if not is_same and not before.is_draining:
            yield before.process_key


def _was_draining(before: Upstream | None, upstream: Upstream) -> bool:
    """Return whether the same process was leaving already."""
    return (
        before is not None
        and before.is_draining
        and before.process_key == upstream.process_key
    )
