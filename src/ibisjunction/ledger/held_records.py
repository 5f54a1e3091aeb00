"""Makes the decisions of a VM as a holder of records."""

from typing import Any

from ibisjunction.control.messages import ControlView
from ibisjunction.ledger.completeness import CompletenessTracker
from ibisjunction.ledger.effects import Effect, LogCompletion, SendToVm
from ibisjunction.ledger.holders import choose_holders
from ibisjunction.ledger.messages import (
    ConcludeRecord,
    Holder,
    PullRecords,
    RecordHeld,
    RecordReserved,
    RecordsPulled,
    RecordUnavailable,
    ReserveRecord,
)
from ibisjunction.ledger.records import RecordTable


class HeldRecords:
    """Reserves, concludes and copies the records that this VM holds."""

    def __init__(self, holder: Holder) -> None:
        """Start without records; reserve nothing before the first view."""
        self.records = RecordTable()
        self._holder = holder
        self._completeness = CompletenessTracker(holder)

    @property
    def is_current(self) -> bool:
        """Whether all records of the current view have been pulled."""
        return self._completeness.is_current

    def apply_view(self, view: ControlView, now: int) -> list[Effect]:
        """Apply the current control state."""
        self._completeness.apply_view(view, now)
        return [*self._send_pulls(), *self._finish_round(now)]

    def receive(self, sender: str, message: Any, now: int) -> list[Effect]:
        """Process a message from another VM or from this one."""
        match message:
            case ReserveRecord():
                return [SendToVm(sender, self._reserve(message, now))]
            case ConcludeRecord():
                self.records.conclude(message)
            case PullRecords():
                return self._answer_pull(sender, message, now)
            case RecordsPulled():
                return self._handle_pulled(message, now)
        return []

    def handle_tick(self, now: int) -> list[Effect]:
        """Remove expired records and repeat pulls that were not answered."""
        self.records.expire(now)
        return [*self._send_pulls(), *self._finish_round(now)]

    def _reserve(
        self,
        request: ReserveRecord,
        now: int,
    ) -> RecordReserved | RecordHeld | RecordUnavailable:
        if request.holders != choose_holders(
            request.key,
            self._completeness.vms,
        ):
            return RecordUnavailable(request.request_id, 'holders changed')
        if not self._completeness.covers(request.key):
            return RecordUnavailable(
                request.request_id,
                'records are being pulled',
            )
        existing = self.records.reserve(request, now)
        if existing is None:
            return RecordReserved(request.request_id, self._holder.incarnation)
        return RecordHeld(
            request.request_id,
            existing.digest,
            existing.verdict,
            existing.status,
        )

    def _answer_pull(
        self,
        sender: str,
        pull: PullRecords,
        now: int,
    ) -> list[Effect]:
        completeness = self._completeness
        if completeness.index < pull.index:
            return []
        puller = Holder(sender, pull.incarnation)
        bucket = self.records.next_bucket(pull.bucket)
        copies = []
        next_bucket = None
        if bucket is not None:
            copies = self.records.copy_bucket(bucket, now)
            next_bucket = self.records.next_bucket(bucket + 1)
        answer = RecordsPulled(
            incarnation=pull.incarnation,
            index=pull.index,
            holder=self._holder,
            bucket=pull.bucket,
            next_bucket=next_bucket,
            is_complete=completeness.is_complete,
            new_vms=sorted(
                completeness.new_vms,
                key=lambda holder: holder.vm,
            ),
            records=[
                copy
                for copy in copies
                if puller in choose_holders(copy.key, completeness.vms)
            ],
        )
        return [SendToVm(sender, answer)]

    def _handle_pulled(self, pulled: RecordsPulled, now: int) -> list[Effect]:
        if not self._completeness.handle_answer(pulled):
            return []
        for copy in pulled.records:
            self.records.merge(copy, now)
        effects = self._finish_round(now)
        if pulled.next_bucket is not None:
            effects += self._send_pulls(pulled.holder.vm)
        return effects

    def _send_pulls(self, only_vm: str | None = None) -> list[Effect]:
        return [
            SendToVm(vm, message)
            for vm, message in self._completeness.list_pulls()
            if only_vm in {None, vm}
        ]

    def _finish_round(self, now: int) -> list[Effect]:
        if self._completeness.finish_round(now):
            return [LogCompletion(len(self.records))]
        return []
