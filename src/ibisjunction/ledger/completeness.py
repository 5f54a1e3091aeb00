"""Decides when this VM has all records that it must hold.

A VM that joined, or that replaces a removed holder, accepts reservations as a
new holder only after it has pulled the records that it must hold.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Final

from ibisjunction.control.messages import ControlView
from ibisjunction.control.records import VmRecord
from ibisjunction.ledger.holders import COPIES, choose_holders
from ibisjunction.ledger.messages import Holder, PullRecords, RecordsPulled
from ibisjunction.ledger.records import RETENTION_MS

#: A VM counts as lost if no pass over its records has ended within this time
#: after the start of a round.
PULL_TIMEOUT_MS: Final = 2000


@dataclass(frozen=True, slots=True)
class _PullProgress:
    """The progress of pulling the records of one VM.

    A pass reads all buckets of the VM; ``bucket`` is the next one to pull.
    ``has_finished_pass`` is set at the end of the first pass, and
    ``is_complete`` at the end of a pass that began when the VM was complete
    itself. ``new_vms`` are those that the VM listed as new in its last answer.
    """

    bucket: int = 0
    has_finished_pass: bool = False
    began_complete: bool = False
    is_complete: bool = False
    new_vms: frozenset[Holder] = frozenset()


class CompletenessTracker:
    """Tracks which records this VM has pulled from the other VMs.

    A round pulls the records that this VM must hold from all other VMs of one
    view, in one or more passes per VM.

    ``vms`` and ``index`` are those of the current view. ``new_vms`` are VMs
    that cannot have lost records, since they had none before they joined.
    ``_covered_vms`` are the VMs of the latest view for which all records have
    been pulled; it is the same object as ``vms`` if that is the current view.
    """

    def __init__(self, holder: Holder) -> None:
        """Start without records."""
        self.holder = holder
        self.index = 0
        self.vms: Mapping[str, VmRecord] = {}
        self.new_vms: frozenset[Holder] = frozenset()
        self._seen_vms: set[str] = set()
        self._covered_vms: Mapping[str, VmRecord] | None = None
        self._progress: dict[Holder, _PullProgress] | None = None
        self._round_index = 0
        self._round_started_ms = 0

    @property
    def is_complete(self) -> bool:
        """Whether this VM has pulled all its records at least once."""
        return self._covered_vms is not None

    @property
    def is_current(self) -> bool:
        """Whether all records of the current view have been pulled."""
        return self.is_complete and self._progress is None

    def covers(self, key: str) -> bool:
        """Return whether this VM would hold an earlier record of the key."""
        if self._covered_vms is None:
            return False
        if self._covered_vms is self.vms:
            return True
        return self.holder in choose_holders(key, self._covered_vms)

    def apply_view(self, view: ControlView, now: int) -> None:
        """Apply the current control state.

        A changed VM list that includes this VM starts a round, unless all
        records of the previous view had been pulled and all its VMs remain.
        """
        previous_vms = self.vms
        self.vms = view.state.vms
        self.index = view.index
        if previous_vms == self.vms:
            if self._covered_vms is previous_vms:
                self._covered_vms = self.vms
            return
        self._update_new_vms(is_first=not previous_vms)
        if self._covered_vms is previous_vms and _keeps_all_vms(
            previous_vms,
            self.vms,
        ):
            self._covered_vms = self.vms
            return
        # A round that continued after the removal of this VM would look up VMs
        # that the control state no longer lists.
        self._progress = None
        if self.holder in _holders_of(self.vms):
            self._start_round(now)

    def list_pulls(self) -> list[tuple[str, PullRecords]]:
        """Return the pulls that are not complete, by VM."""
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

    def handle_answer(self, pulled: RecordsPulled) -> bool:
        """Record an answer; return whether it belongs to the current round."""
        if self._progress is None or pulled.index != self._round_index:
            return False
        progress = self._progress.get(pulled.holder)
        if progress is None or pulled.incarnation != self.holder.incarnation:
            return False
        if pulled.bucket != progress.bucket:
            return False
        self._progress[pulled.holder] = _advance(progress, pulled)
        return True

    def finish_round(self, now: int) -> bool:
        """End the current round if possible; return whether it has ended."""
        if self._progress is None or not self._can_finish_round(now):
            return False
        if not self.is_complete and self._is_cold_start():
            self.new_vms = frozenset(_holders_of(self.vms))
        self._covered_vms = self.vms
        self._progress = None
        return True

    def _start_round(self, now: int) -> None:
        self._round_index = self.index
        self._round_started_ms = now
        self._progress = {
            holder: _PullProgress()
            for holder in _holders_of(self.vms)
            if holder != self.holder
        }

    def _update_new_vms(self, *, is_first: bool) -> None:
        current = frozenset(_holders_of(self.vms))
        if not is_first:
            self.new_vms |= {
                holder for holder in current if holder.vm not in self._seen_vms
            }
        self.new_vms &= current
        self._seen_vms |= self.vms.keys()

    def _is_cold_start(self) -> bool:
        """Return whether no VM is complete, so that no records exist yet."""
        all_progress = (self._progress or {}).values()
        return all(
            progress.has_finished_pass and not progress.is_complete
            for progress in all_progress
        )

    def _can_finish_round(self, now: int) -> bool:
        progress_by_holder = self._progress or {}
        age_ms = now - self._round_started_ms
        if age_ms >= RETENTION_MS + PULL_TIMEOUT_MS:
            # Records that were lost before the round have expired, and newer
            # ones are kept by other holders.
            return True
        unfinished = {
            holder
            for holder, progress in progress_by_holder.items()
            if not progress.has_finished_pass
        }
        if not unfinished and not self.is_complete and self._is_cold_start():
            return True
        if unfinished and age_ms < PULL_TIMEOUT_MS:
            return False
        complete = [
            progress
            for progress in progress_by_holder.values()
            if progress.is_complete
        ]
        return bool(complete) and self._is_loss_tolerable(unfinished, complete)

    def _is_loss_tolerable(
        self,
        unfinished: set[Holder],
        complete: list[_PullProgress],
    ) -> bool:
        """Return whether each record had at most one copy on the lost VMs.

        VMs that are not complete count as lost, this one included, unless a
        complete VM lists them as new.

        Holders are in distinct failure domains, so losses in one domain
        destroy at most one copy. With fewer domains than copies, only one VM
        may be lost.
        """
        # One complete VM that lists a VM as new is enough: the others may have
        # started after that VM joined.
        reported_new = frozenset().union(
            *(progress.new_vms for progress in complete),
        )
        lost = {
            holder
            for holder, progress in (self._progress or {}).items()
            if holder in unfinished or not progress.is_complete
        }
        if not self.is_complete:
            lost.add(self.holder)
        lost -= reported_new
        domains = {record.failure_domain for record in self.vms.values()}
        if len(domains) < COPIES:
            return len(lost) <= 1
        return len({self._domain_of(holder) for holder in lost}) <= 1

    def _domain_of(self, holder: Holder) -> str:
        return self.vms[holder.vm].failure_domain


def _advance(progress: _PullProgress, pulled: RecordsPulled) -> _PullProgress:
    began_complete = progress.began_complete
    if pulled.bucket == 0:
        began_complete = pulled.is_complete
    has_ended = pulled.next_bucket is None
    return replace(
        progress,
        bucket=pulled.next_bucket or 0,
        has_finished_pass=progress.has_finished_pass or has_ended,
        began_complete=began_complete,
        is_complete=has_ended and began_complete,
        new_vms=frozenset(pulled.new_vms),
    )


def _holders_of(vms: Mapping[str, VmRecord]) -> list[Holder]:
    return [Holder(record.vm, record.incarnation) for record in vms.values()]


def _keeps_all_vms(
    previous: Mapping[str, VmRecord],
    current: Mapping[str, VmRecord],
) -> bool:
    """Return whether all VMs are still listed, in the same failure domains.

    Other VMs may have joined, and VMs may have restarted.
    """
    return all(
        vm in current and current[vm].failure_domain == record.failure_domain
        for vm, record in previous.items()
    )
