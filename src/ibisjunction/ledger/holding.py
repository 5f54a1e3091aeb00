"""The decisions of a VM as a holder of records."""

from typing import Any

from ibisjunction.control.messages import ControlView
from ibisjunction.ledger.completeness import Completeness
from ibisjunction.ledger.effects import Completed, Effect, SendToVm
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


class Holding:
    """The records that this VM holds, and whether it has them all."""

    def __init__(self, holder: Holder) -> None:
        """Start without records; nothing is reserved before the first view."""
        self.records = RecordTable()
        self._holder = holder
        self._completeness = Completeness(holder)

    @property
    def is_complete(self) -> bool:
        """Whether all records of the current view have been pulled."""
        return self._completeness.is_current

    def follow(self, view: ControlView, now: int) -> list[Effect]:
        """Take the current control state."""
        self._completeness.follow(view, now)
        return [*self._pull(), *self._finish(now)]

    def receive(self, sender: str, message: Any, now: int) -> list[Effect]:
        """Process a message of another VM, or of this one."""
        match message:
            case ReserveRecord():
                return [SendToVm(sender, self._reserve(message, now))]
            case ConcludeRecord():
                self.records.conclude(message)
            case PullRecords():
                return self._answer_pull(sender, message, now)
            case RecordsPulled():
                return self._take(message, now)
        return []

    def tick(self, now: int) -> list[Effect]:
        """Repeat questions whose answer may have been lost."""
        self.records.expire(now)
        return [*self._pull(), *self._finish(now)]

    def _reserve(
        self,
        ask: ReserveRecord,
        now: int,
    ) -> RecordReserved | RecordHeld | RecordUnavailable:
        if ask.holders != choose_holders(ask.key, self._completeness.vms):
            return RecordUnavailable(ask.request_id, 'holders changed')
        if not self._completeness.covers(ask.key):
            return RecordUnavailable(ask.request_id, 'records are being pulled')
        held = self.records.reserve(ask, now)
        if held is None:
            return RecordReserved(ask.request_id, self._holder.incarnation)
        return RecordHeld(
            ask.request_id,
            held.digest,
            held.verdict,
            held.status,
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

    def _take(self, pulled: RecordsPulled, now: int) -> list[Effect]:
        if not self._completeness.take(pulled):
            return []
        for copy in pulled.records:
            self.records.merge(copy, now)
        effects = self._finish(now)
        if pulled.next_bucket is not None:
            effects += self._pull(pulled.holder.vm)
        return effects

    def _pull(self, only: str | None = None) -> list[Effect]:
        return [
            SendToVm(vm, message)
            for vm, message in self._completeness.pull()
            if only in {None, vm}
        ]

    def _finish(self, now: int) -> list[Effect]:
        if self._completeness.finish(now):
            return [Completed(len(self.records))]
        return []
