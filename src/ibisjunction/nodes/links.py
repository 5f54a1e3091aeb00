"""The peer links of one process to the other VMs of its deployment."""

import time
from typing import Final, get_args

from ibisjunction.clock import Clock
from ibisjunction.control.messages import (
    CommittedEntries,
    LeaderHint,
    ReplicaMessage,
    StateSnapshot,
)
from ibisjunction.coordination.messages import (
    AskToJoin,
    AskToLeave,
    CallAnswered,
    ForgetVm,
    ForwardedCall,
    LeaveAnswered,
    LoadReport,
    RelayedAnswer,
    RelayedHeartbeat,
)
from ibisjunction.entry.tickets.messages import (
    TicketAsk,
    TicketDone,
    TicketGranted,
    TicketQueued,
    TicketRefused,
)
from ibisjunction.membership.messages import Heartbeat, LeaseRenewal
from ibisjunction.nodes.settings import NodeSettings
from ibisjunction.peers.authentication import Authenticator
from ibisjunction.peers.codec import Codec
from ibisjunction.peers.link import PeerTask
from ibisjunction.settings import Address, AuthKey
from ibisjunction.settings.loader import parse_address

_ControlMessage = (
    ReplicaMessage
    | CommittedEntries
    | StateSnapshot
    | LeaderHint
    | Heartbeat
    | LeaseRenewal
    | RelayedHeartbeat
    | RelayedAnswer
    | AskToJoin
    | AskToLeave
    | LeaveAnswered
)
_CallMessage = ForwardedCall | CallAnswered | LoadReport | ForgetVm
_TicketMessage = (
    TicketAsk | TicketGranted | TicketQueued | TicketRefused | TicketDone
)
_MESSAGES: Final = (
    *get_args(_ControlMessage),
    *get_args(_CallMessage),
    *get_args(_TicketMessage),
)
#: The deployment provides no secret, so the key is public: it detects damaged
#: messages and those of other systems, but does not stop forged ones.
_SHARED_KEY: Final = AuthKey('deployment', b'ibisjunction')
_NS_PER_MS: Final = 1_000_000


def read_incarnation() -> int:
    """Return the wall-clock time in milliseconds as the incarnation.

    Each start gets a larger number, unless the clock was set back.
    """
    return time.time_ns() // _NS_PER_MS


def make_peers(
    settings: NodeSettings,
    incarnation: int,
    clock: Clock,
) -> PeerTask:
    """Return the task that owns the sockets to other VMs, not yet open.

    A VM's name is its address, so no list of VMs is needed.
    """
    return PeerTask(
        str(settings.vm),
        incarnation,
        clock,
        settings.vm,
        Codec(_MESSAGES),
        Authenticator((_SHARED_KEY,)),
        _resolve,
    )


def _resolve(vm: str) -> Address | None:
    host, _, port = vm.rpartition(':')
    return parse_address(vm) if host and port.isdecimal() else None
