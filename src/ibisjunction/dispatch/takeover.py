"""The survey that a new dispatcher makes before it issues tickets."""

from collections.abc import Mapping

from ibisjunction.control.records import VmRecord
from ibisjunction.dispatch.messages import TicketsHeld


class TicketSurvey:
    """Which VMs have yet to report the tickets of earlier epochs.

    A VM that does not answer is waited for until the control state no longer
    lists it; its VM lease has run out by then, so it uses no ticket any more.
    """

    def __init__(self, epoch: int, vms: Mapping[str, VmRecord]) -> None:
        """Ask all registered VMs, this one included."""
        self.epoch = epoch
        self._awaited = {vm: record.incarnation for vm, record in vms.items()}

    @property
    def awaited(self) -> frozenset[str]:
        """The VMs to ask, again if they were asked before."""
        return frozenset(self._awaited)

    @property
    def is_complete(self) -> bool:
        """Whether every ticket of an earlier epoch is known."""
        return not self._awaited

    def follow(self, vms: Mapping[str, VmRecord]) -> None:
        """Stop waiting for processes that are gone.

        A VM that registered later has applied the new epoch before it got its
        lease, so it holds no ticket of an earlier one.
        """
        self._awaited = {
            vm: incarnation
            for vm, incarnation in self._awaited.items()
            if vm in vms and vms[vm].incarnation == incarnation
        }

    def take(self, vm: str, held: TicketsHeld) -> bool:
        """Take an answer and return whether it counts."""
        if held.epoch != self.epoch or vm not in self._awaited:
            return False
        self._awaited.pop(vm)
        return True
