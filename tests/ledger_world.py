"""Simulates several ledgers and their messages, one step at a time."""

from ibisjunction.control.messages import ControlView
from ibisjunction.control.state import ControlState
from ibisjunction.ledger.effects import DeliverDecision, SendToVm
from ibisjunction.ledger.ledger import Ledger
from ibisjunction.ledger.messages import (
    CloseRecord,
    CrashSuspects,
    Holder,
    OpenRecord,
)
from ibisjunction.ledger.reservation import MayRun
from ibisjunction.mailbox import Mailbox
from ibisjunction.peers.link import Received
from tests.samples import make_vm


class LedgerWorld:
    """Ledgers by VM name; a VM without an entry in ``ledgers`` is down.

    Links keep the order of messages, as the peer links do.
    """

    def __init__(self, domains) -> None:
        self.domains = dict(domains)
        self.now = 0
        self.index = 0
        self.vm_records = {}
        self.ledgers: dict[str, Ledger] = {}
        self.incarnations: dict[str, int] = {}
        self.links: dict[tuple[str, str], list] = {}
        self.decisions: dict[str, object] = {}
        self.suspects: dict[str, CrashSuspects] = {}
        self.disconnected: set[str] = set()
        self._request_numbers = iter(range(1, 10_000))
        for vm in self.domains:
            self.start(vm)
        self.settle()

    def start(self, vm, *, sends_view=True) -> None:
        """Start or restart a VM.

        :param sends_view: whether all VMs receive the new control state.
        """
        incarnation = self.incarnations.get(vm, 0) + 1
        self.incarnations[vm] = incarnation
        self.ledgers[vm] = Ledger(Holder(vm, incarnation))
        self._drop_messages(vm)
        record = make_vm(vm, self.domains[vm])
        fields = {
            name: getattr(record, name)
            for name in record.__dataclass_fields__
            if name != 'incarnation'
        }
        registered = type(record)(incarnation=incarnation, **fields)
        self._set_vm_records(
            {**self.vm_records, vm: registered}, sends_view=sends_view
        )

    def stop(self, vm) -> None:
        """Stop a VM; its memory and its messages are lost."""
        self.ledgers.pop(vm, None)
        self._drop_messages(vm)

    def remove(self, vm) -> None:
        """Remove a VM from the control state."""
        self._set_vm_records(
            {
                name: record
                for name, record in self.vm_records.items()
                if name != vm
            },
        )

    def send_view(self, vm) -> None:
        """Send the current control state to one VM."""
        view = ControlView(self.index, ControlState(vms=self.vm_records))
        self._execute_effects(vm, self.ledgers[vm].handle(view, self.now))

    def open(self, vm, key, digest='d') -> str:
        """Send a request through a VM and return its id."""
        request_id = f'r{next(self._request_numbers)}'
        request = OpenRecord(request_id, key, digest, Mailbox())
        self._execute_effects(vm, self.ledgers[vm].handle(request, self.now))
        return request_id

    def close(self, vm, request_id, verdict, status=0) -> None:
        """End a request at the VM that accepted it."""
        closing = CloseRecord(request_id, verdict, status)
        self._execute_effects(vm, self.ledgers[vm].handle(closing, self.now))

    def post(self, vm, event) -> None:
        """Pass an event to a VM's ledger."""
        self._execute_effects(vm, self.ledgers[vm].handle(event, self.now))

    def deliver(self, link) -> None:
        """Deliver the oldest message of a link."""
        sender, receiver = link
        message = self.links[link].pop(0)
        if not self.links[link]:
            self.links.pop(link)
        if receiver in self.ledgers and not self.disconnected & {
            sender,
            receiver,
        }:
            received = Received(sender, message)
            effects = self.ledgers[receiver].handle(received, self.now)
            self._execute_effects(receiver, effects)

    def tick(self, delta_ms=50) -> None:
        """Advance the time and pass a tick to every ledger."""
        self.now += delta_ms
        for vm in tuple(self.ledgers):
            self._execute_effects(vm, self.ledgers[vm].handle_tick(self.now))

    def settle(self, ticks=3) -> None:
        """Deliver all messages, with ``ticks`` ticks in between."""
        for _ in range(ticks):
            while self.links:
                self.deliver(min(self.links))
            self.tick()
        while self.links:
            self.deliver(min(self.links))

    def may_run(self, request_id) -> bool:
        """Return whether a request was allowed to run."""
        return isinstance(self.decisions.get(request_id), MayRun)

    def _set_vm_records(self, vm_records, *, sends_view=True) -> None:
        self.vm_records = vm_records
        self.index += 1
        if sends_view:
            for vm in tuple(self.ledgers):
                self.send_view(vm)

    def _drop_messages(self, vm) -> None:
        self.links = {
            link: messages
            for link, messages in self.links.items()
            if vm not in link
        }

    def _execute_effects(self, vm, effects) -> None:
        for effect in effects:
            match effect:
                case SendToVm(vm=receiver, message=message):
                    link = (vm, receiver)
                    self.links.setdefault(link, []).append(message)
                case DeliverDecision(request=request, decision=decision):
                    self.decisions[request.request_id] = decision
                case CrashSuspects():
                    self.suspects[vm] = effect
