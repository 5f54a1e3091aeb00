"""The survey that a new dispatcher makes before it issues tickets."""

from collections.abc import Mapping

from ibisjunction.control.records import VmRecord
from ibisjunction.dispatch.messages import TicketsHeld


class TicketSurvey:
    """The VMs that have yet to report their tickets of earlier epochs.

    The survey waits for a VM that does not answer until the control state no
    longer lists it. Its VM lease has run out by then, so it no longer uses a
    ticket.
    """

    def __init__(self, epoch: int, vms: Mapping[str, VmRecord]) -> None:
        """Start with all registered VMs pending, this one included."""
        self.epoch = epoch
        self._pending = {vm: record.incarnation for vm, record in vms.items()}

    @property
    def pending_vms(self) -> frozenset[str]:
        """The VMs that have not answered; the request is sent to them again."""
        return frozenset(self._pending)

    @property
    def is_complete(self) -> bool:
        """Whether every ticket of an earlier epoch has been reported.

        That is so once every VM has answered, apart from those that were lost.
        """
        return not self._pending

    def discard_lost_vms(self, vms: Mapping[str, VmRecord]) -> None:
        """Remove VMs that the control state no longer lists or that restarted.

        A VM that registered later has applied the new epoch before it got its
        lease, so it holds no ticket of an earlier one.
        """
        self._pending = {
            vm: incarnation
            for vm, incarnation in self._pending.items()
            if vm in vms and vms[vm].incarnation == incarnation
        }

    def record_answer(self, vm: str, answer: TicketsHeld) -> bool:
        """Record an answer and return whether it was expected."""
        if answer.epoch != self.epoch or vm not in self._pending:
            return False
        self._pending.pop(vm)
        return True
