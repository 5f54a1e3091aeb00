"""Registration of a VM in the control state."""

from ibisjunction.control.commands import RegisterVm
from ibisjunction.control.records import VmRecord
from ibisjunction.control.state import ControlState
from ibisjunction.settings import Settings


def build_registration(settings: Settings, incarnation: int) -> RegisterVm:
    """Build the command that registers this VM."""
    return RegisterVm(
        VmRecord(
            vm=settings.vm,
            peer=str(settings.peer),
            http=str(settings.http),
            region=settings.region,
            failure_domain=settings.failure_domain,
            incarnation=incarnation,
        ),
    )


class Registration:
    """Whether the control state lists this process of the VM."""

    def __init__(self, vm: str, incarnation: int) -> None:
        """Start unregistered."""
        self.is_registered = False
        self.is_missing = True
        self._vm = vm
        self._incarnation = incarnation

    def update(self, state: ControlState) -> None:
        """Update from a new control state.

        The process is missing before its registration and after its removal,
        but not once a later process of the VM has replaced it.
        """
        record = state.vms.get(self._vm)
        self.is_registered = (
            record is not None and record.incarnation == self._incarnation
        )
        self.is_missing = record is None or (
            record.incarnation < self._incarnation
        )
