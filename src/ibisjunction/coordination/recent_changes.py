"""Records when this replica applied the changes that answers wait for."""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Final

from ibisjunction.coordination.spread import CommittedChange
from ibisjunction.coordination.timing import FleetTiming
from ibisjunction.fleet.model import FleetState, ProcessKey, Upstream

#: In place of the start of a process, as departures name the current one.
ANY_PROCESS: Final = 0
ITEMS: Final = ('', ANY_PROCESS)


@dataclass(frozen=True, slots=True)
class _RecordedChange:
    """A change, and when it was recorded first."""

    change: CommittedChange
    recorded_ms: int


class RecentChanges:
    """Departures and changes of items that entry VMs may not have applied yet.

    A follower records them too. It applies a change after the leader that
    committed it, which grants no lease without the change from then on, and
    leaders of earlier terms have stopped by then. So the times also hold if
    this replica leads later, and its wait for leases doesn't start again.
    """

    def __init__(self, timing: FleetTiming) -> None:
        """Start without changes."""
        self._timing = timing
        # By which processes took no more requests, and the latest one of items,
        # the one that was recorded first before others. Once all leases from
        # before a change have ended, nothing waits for it.
        self._changes: dict[ProcessKey, _RecordedChange] = {}

    def find(self, key: ProcessKey) -> CommittedChange | None:
        """Return the latest change of a process, or of the items."""
        recorded = self._changes.get(key)
        return None if recorded is None else recorded.change

    def follow(
        self, earlier: FleetState, state: FleetState, index: int, now: int
    ) -> None:
        """Record what a follower applies, which may be many entries at once.

        Among them a process may have taken requests once more and left again,
        which shows in neither state. So whatever changes upstreams moves the
        time of all that have left.
        """
        if state.upstreams is not earlier.upstreams:
            change = CommittedChange(index, now)
            for key, recorded in tuple(self._changes.items()):
                if key != ITEMS:
                    self._changes[key] = replace(recorded, change=change)
        self.record_state_change(earlier, state, index, now)

    def record_state_change(
        self, earlier: FleetState, state: FleetState, index: int, now: int
    ) -> bool:
        """Record departures and changes of items that are applied now.

        :return: whether there were any.
        """
        keys: list[ProcessKey] = []
        if state.catalogue is not earlier.catalogue:
            keys.append(ITEMS)
        if state.upstreams is not earlier.upstreams:
            keys += _list_marked(earlier, state)
            keys += _list_removed(earlier, state)
        for key in keys:
            self._record(key, CommittedChange(index, now))
        return bool(keys)

    def _record(self, process_key: ProcessKey, change: CommittedChange) -> None:
        name, _ = process_key
        for key in (process_key, (name, ANY_PROCESS)):
            self._changes.pop(key, None)
            self._changes[key] = _RecordedChange(change, change.committed_ms)
        while self._is_oldest_obsolete(change.committed_ms):
            self._changes.pop(next(iter(self._changes)))

    def _is_oldest_obsolete(self, now: int) -> bool:
        """Return whether all leases from before a change have ended."""
        oldest = next(iter(self._changes.values()))
        max_wait_ms = self._timing.lease_ms * (1 + self._timing.clock_error)
        return now >= oldest.recorded_ms + max_wait_ms


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
