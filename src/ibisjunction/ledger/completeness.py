"""The decision when this VM's records are complete.

A VM that joined, or that takes over from one that was removed, counts as a
holder only after it has pulled the records that it has to hold.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Final

from ibisjunction.control.messages import ControlView
from ibisjunction.control.records import VmRecord
from ibisjunction.ledger.holders import COPIES, choose_holders
from ibisjunction.ledger.messages import Holder, PullRecords, RecordsPulled
from ibisjunction.ledger.records import RETENTION_MS

#: A VM that is silent for this long is taken for lost.
PATIENCE_MS: Final = 2000


@dataclass(frozen=True, slots=True)
class _Progress:
    """How far the records of one VM have been pulled.

    ``was_heard`` is set once a pass over its buckets has ended, and
    ``is_complete`` once a pass has ended that began when the VM was complete.
    """

    bucket: int = 0
    was_heard: bool = False
    began_complete: bool = False
    is_complete: bool = False
    new_vms: frozenset[Holder] = frozenset()


class Completeness:
    """Which records of the current view this VM is sure to have."""

    def __init__(self, holder: Holder) -> None:
        """Start without records."""
        self.holder = holder
        self.index = 0
        self.vms: Mapping[str, VmRecord] = {}
        self.new_vms: frozenset[Holder] = frozenset()
        self._known: set[str] = set()
        self._complete_for: Mapping[str, VmRecord] | None = None
        self._progress: dict[Holder, _Progress] | None = None
        self._round_index = 0
        self._round_started_ms = 0

    @property
    def is_complete(self) -> bool:
        """Whether this VM has ever pulled all records it has to hold."""
        return self._complete_for is not None

    @property
    def is_current(self) -> bool:
        """Whether all records of the current view have been pulled."""
        return self.is_complete and self._progress is None

    def covers(self, key: str) -> bool:
        """Return whether this VM would know an earlier use of the key."""
        if self._complete_for is None:
            return False
        if self._complete_for is self.vms:
            return True
        return self.holder in choose_holders(key, self._complete_for)

    def follow(self, view: ControlView, now: int) -> None:
        """Take the current control state."""
        before = self.vms
        self.vms = view.state.vms
        self.index = view.index
        if before == self.vms:
            if self._complete_for is before:
                self._complete_for = self.vms
            return
        self._note_new_vms(is_first=not before)
        if self._complete_for is before and _only_grew(before, self.vms):
            self._complete_for = self.vms
            return
        # A round that goes on after this VM was removed would judge VMs that
        # the control state no longer lists.
        self._progress = None
        if self.holder in _holders_of(self.vms):
            self._start_round(now)

    def pull(self) -> list[tuple[str, PullRecords]]:
        """Return the questions that are open, by VM."""
        if self._progress is None:
            return []
        return [
            (
                holder.vm,
                PullRecords(
                    self.holder.incarnation,
                    self._round_index,
                    progress.bucket,
                ),
            )
            for holder, progress in self._progress.items()
            if not progress.is_complete
        ]

    def take(self, pulled: RecordsPulled) -> bool:
        """Note an answer; return whether it continues the current round."""
        if self._progress is None or pulled.index != self._round_index:
            return False
        progress = self._progress.get(pulled.holder)
        if progress is None or pulled.incarnation != self.holder.incarnation:
            return False
        if pulled.bucket != progress.bucket:
            return False
        self._progress[pulled.holder] = _advance(progress, pulled)
        return True

    def finish(self, now: int) -> bool:
        """Return whether the current round has just been completed."""
        if self._progress is None or not self._is_enough(now):
            return False
        if not self.is_complete and self._is_cold_start():
            self.new_vms = frozenset(_holders_of(self.vms))
        self._complete_for = self.vms
        self._progress = None
        return True

    def _start_round(self, now: int) -> None:
        self._round_index = self.index
        self._round_started_ms = now
        self._progress = {
            holder: _Progress()
            for holder in _holders_of(self.vms)
            if holder != self.holder
        }

    def _note_new_vms(self, *, is_first: bool) -> None:
        current = frozenset(_holders_of(self.vms))
        if not is_first:
            self.new_vms |= {
                holder for holder in current if holder.vm not in self._known
            }
        self.new_vms &= current
        self._known |= self.vms.keys()

    def _is_cold_start(self) -> bool:
        """Whether no VM has records: then none exists."""
        progress = (self._progress or {}).values()
        return all(one.was_heard and not one.is_complete for one in progress)

    def _is_enough(self, now: int) -> bool:
        progress = self._progress or {}
        age_ms = now - self._round_started_ms
        if age_ms >= RETENTION_MS + PATIENCE_MS:
            # What was lost has expired; newer records have other holders.
            return True
        silent = {
            holder for holder, one in progress.items() if not one.was_heard
        }
        if not silent and not self.is_complete and self._is_cold_start():
            return True
        if silent and age_ms < PATIENCE_MS:
            return False
        complete = [one for one in progress.values() if one.is_complete]
        return bool(complete) and self._is_tolerated(silent, complete)

    def _is_tolerated(
        self,
        silent: set[Holder],
        complete: list[_Progress],
    ) -> bool:
        """Return whether the VMs without memory held one copy per record."""
        # One witness is enough: the others may have started later.
        vouched = frozenset().union(*(one.new_vms for one in complete))
        lost = {
            holder
            for holder, one in (self._progress or {}).items()
            if holder in silent or not one.is_complete
        }
        if not self.is_complete:
            lost.add(self.holder)
        lost -= vouched
        domains = {record.failure_domain for record in self.vms.values()}
        if len(domains) < COPIES:
            return len(lost) <= 1
        return len({self._domain_of(holder) for holder in lost}) <= 1

    def _domain_of(self, holder: Holder) -> str:
        return self.vms[holder.vm].failure_domain


def _advance(progress: _Progress, pulled: RecordsPulled) -> _Progress:
    began_complete = progress.began_complete
    if pulled.bucket == 0:
        began_complete = pulled.is_complete
    has_ended = pulled.next_bucket is None
    return replace(
        progress,
        bucket=pulled.next_bucket or 0,
        was_heard=progress.was_heard or has_ended,
        began_complete=began_complete,
        is_complete=has_ended and began_complete,
        new_vms=frozenset(pulled.new_vms),
    )


def _holders_of(vms: Mapping[str, VmRecord]) -> list[Holder]:
    return [Holder(record.vm, record.incarnation) for record in vms.values()]


def _only_grew(
    before: Mapping[str, VmRecord],
    after: Mapping[str, VmRecord],
) -> bool:
    """Return whether VMs only joined or restarted where they were."""
    return all(
        vm in after and after[vm].failure_domain == record.failure_domain
        for vm, record in before.items()
    )
