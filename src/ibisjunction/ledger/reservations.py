"""Makes the decisions of a VM for the requests that it accepted."""

from collections.abc import Mapping

from ibisjunction.control.records import VmRecord
from ibisjunction.ledger.effects import DeliverDecision, Effect, SendToVm
from ibisjunction.ledger.holders import choose_holders
from ibisjunction.ledger.messages import (
    CloseRecord,
    ConcludeRecord,
    OpenRecord,
)
from ibisjunction.ledger.reservation import (
    Decision,
    MayRun,
    Reservation,
    Vote,
)
from ibisjunction.verdict import Verdict


class RecordReservations:
    """Reservations of this VM's requests, by request id.

    Those in ``_pending`` wait for votes; those in ``_running`` may run.
    """

    def __init__(self) -> None:
        """Start without requests."""
        self._vms: Mapping[str, VmRecord] = {}
        self._pending: dict[str, Reservation] = {}
        self._running: dict[str, Reservation] = {}

    def apply_vms(self, vms: Mapping[str, VmRecord]) -> None:
        """Apply the registered VMs, from which holders are chosen."""
        self._vms = vms

    def open(self, request: OpenRecord, now: int) -> list[Effect]:
        """Start the reservation of a request at its first holder."""
        holders = choose_holders(request.key, self._vms)
        reservation = Reservation(request, holders, now)
        self._pending[request.request_id] = reservation
        message = reservation.make_message()
        return [
            SendToVm(holder.vm, message)
            for holder in reservation.first_holders()
        ]

    def close(self, closing: CloseRecord) -> list[Effect]:
        """Conclude the record of a request at its holders."""
        reservation = self._running.pop(
            closing.request_id,
            None,
        ) or self._pending.pop(closing.request_id, None)
        if reservation is None:
            return []
        return _send_conclusion(reservation, closing.verdict, closing.status)

    def add_vote(self, sender: str, vote: Vote) -> list[Effect]:
        """Add the vote of a holder."""
        reservation = self._pending.get(vote.request_id)
        if reservation is None:
            return []
        decision = reservation.add_vote(sender, vote)
        if decision is not None:
            return self._apply_decision(reservation, decision)
        message = reservation.make_message()
        return [
            SendToVm(holder.vm, message)
            for holder in reservation.next_holders(vote)
        ]

    def handle_tick(self, now: int) -> list[Effect]:
        """Repeat unanswered requests, and end reservations that timed out."""
        effects: list[Effect] = []
        for reservation in tuple(self._pending.values()):
            effects += self._repeat_or_end(reservation, now)
        return effects

    def _repeat_or_end(
        self,
        reservation: Reservation,
        now: int,
    ) -> list[Effect]:
        decision = reservation.decide_if_late(now)
        if decision is not None:
            return self._apply_decision(reservation, decision)
        holders = choose_holders(reservation.request.key, self._vms)
        to_repeat = reservation.repeat(holders, now)
        message = reservation.make_message()
        return [SendToVm(holder.vm, message) for holder in to_repeat]

    def _apply_decision(
        self,
        reservation: Reservation,
        decision: Decision,
    ) -> list[Effect]:
        request_id = reservation.request.request_id
        self._pending.pop(request_id)
        decided = DeliverDecision(reservation.request, decision)
        if isinstance(decision, MayRun):
            self._running[request_id] = reservation
            return [decided]
        return [*_send_conclusion(reservation, Verdict.NOT_RUN, 0), decided]


def _send_conclusion(
    reservation: Reservation,
    verdict: Verdict,
    status: int,
) -> list[Effect]:
    request = reservation.request
    message = ConcludeRecord(request.request_id, request.key, verdict, status)
    return [SendToVm(vm, message) for vm in sorted(reservation.holder_vms)]
