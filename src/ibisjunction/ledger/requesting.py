"""The decisions of a VM for the requests that it accepted."""

from collections.abc import Mapping

from ibisjunction.control.records import VmRecord
from ibisjunction.ledger.effects import Decide, Effect, SendToVm
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


class Requesting:
    """The reservations of this VM's requests in flight."""

    def __init__(self) -> None:
        """Start without requests."""
        self._vms: Mapping[str, VmRecord] = {}
        self._voting: dict[str, Reservation] = {}
        self._running: dict[str, Reservation] = {}

    def follow(self, vms: Mapping[str, VmRecord]) -> None:
        """Take the registered VMs."""
        self._vms = vms

    def open(self, ask: OpenRecord, now: int) -> list[Effect]:
        """Ask the holders to record a request."""
        holders = choose_holders(ask.key, self._vms)
        reservation = Reservation(ask, holders, now)
        self._voting[ask.request_id] = reservation
        message = reservation.request()
        return [SendToVm(one.vm, message) for one in reservation.first()]

    def close(self, closing: CloseRecord) -> list[Effect]:
        """Tell the holders how a request ended."""
        reservation = self._running.pop(
            closing.request_id,
            None,
        ) or self._voting.pop(closing.request_id, None)
        if reservation is None:
            return []
        return _conclude(reservation, closing.verdict, closing.status)

    def vote(self, sender: str, vote: Vote) -> list[Effect]:
        """Take the answer of a holder."""
        reservation = self._voting.get(vote.request_id)
        if reservation is None:
            return []
        decision = reservation.vote(sender, vote)
        if decision is not None:
            return self._settle(reservation, decision)
        message = reservation.request()
        return [SendToVm(one.vm, message) for one in reservation.others(vote)]

    def tick(self, now: int) -> list[Effect]:
        """Repeat questions, and end votes that took too long."""
        effects: list[Effect] = []
        for reservation in tuple(self._voting.values()):
            effects += self._continue(reservation, now)
        return effects

    def _continue(self, reservation: Reservation, now: int) -> list[Effect]:
        decision = reservation.end(now)
        if decision is not None:
            return self._settle(reservation, decision)
        holders = choose_holders(reservation.ask.key, self._vms)
        asked = reservation.repeat(holders, now)
        message = reservation.request()
        return [SendToVm(holder.vm, message) for holder in asked]

    def _settle(
        self,
        reservation: Reservation,
        decision: Decision,
    ) -> list[Effect]:
        request_id = reservation.ask.request_id
        self._voting.pop(request_id)
        decided = Decide(reservation.ask, decision)
        if isinstance(decision, MayRun):
            self._running[request_id] = reservation
            return [decided]
        return [*_conclude(reservation, Verdict.NOT_RUN, 0), decided]


def _conclude(
    reservation: Reservation,
    verdict: Verdict,
    status: int,
) -> list[Effect]:
    ask = reservation.ask
    message = ConcludeRecord(ask.request_id, ask.key, verdict, status)
    return [SendToVm(vm, message) for vm in sorted(reservation.asked_vms)]
