"""Messages between control VMs, and from entry VMs to the leader."""

from dataclasses import dataclass
from typing import Any, Final, get_args

from ibisjunction.compression import CompressionError, compress, decompress
from ibisjunction.control.messages import CommittedEntries, StateSnapshot
from ibisjunction.coordination.calls import Call, CallAnswer
from ibisjunction.coordination.crashes import CrashReport
from ibisjunction.coordination.loads import KeyLoad
from ibisjunction.coordination.speeds import UpstreamSpeed
from ibisjunction.mailbox import Mailbox
from ibisjunction.membership.messages import Heartbeat, LeaseRenewal
from ibisjunction.peers.codec import Codec, CodecError

_calls: Final = Codec((*get_args(Call), *get_args(CallAnswer)))


@dataclass(frozen=True, slots=True)
class ForwardedCall:
    """An encoded call that another VM received.

    ``is_deferrable`` tells the leader without decoding the call that it may
    put it off, see :mod:`ibisjunction.coordination.check_in_queue`.
    """

    call_id: str
    call: bytes
    is_deferrable: bool = False


@dataclass(frozen=True, slots=True)
class CallAnswered:
    """The leader's answer to :class:`ForwardedCall`."""

    call_id: str
    answer: bytes


@dataclass(frozen=True, slots=True)
class AskToJoin:
    """Sent by a replica that does not vote, to become a voter."""

    node: str
    vm: str


@dataclass(frozen=True, slots=True)
class AskToLeave:
    """Sent by a voter that is to stop, until :class:`LeaveAnswered` arrives."""

    node: str
    vm: str


@dataclass(frozen=True, slots=True)
class LeaveAnswered:
    """Tells a voter that it may stop.

    Either another replica has taken its vote, or none can.
    """

    node: str


@dataclass(frozen=True, slots=True)
class PrepareToStop:
    """Posted inside a process that is to stop; answered once it may."""

    reply: Mailbox[None]


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What an entry VM measured since its last report.

    ``crashes`` are those of upstreams that ran a request of the VM; each is
    reported several times.
    """

    loads: tuple[KeyLoad, ...]
    speeds: tuple[UpstreamSpeed, ...]
    crashes: tuple[CrashReport, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to report."""
        return not (self.loads or self.speeds or self.crashes)


@dataclass(frozen=True, slots=True)
class RelayedHeartbeat:
    """A heartbeat that an entry VM sends through another one.

    It does so while it can't reach the leader directly.
    """

    heartbeat: Heartbeat
    report: LoadReport


@dataclass(frozen=True, slots=True)
class RelayedAnswer:
    """The leader's answer to a relayed heartbeat, on its way to ``vm``.

    ``entries`` or ``snapshot`` contains what the VM has not applied yet.
    """

    vm: str
    renewal: LeaseRenewal
    entries: CommittedEntries | None = None
    snapshot: StateSnapshot | None = None


@dataclass(frozen=True, slots=True)
class ForgetVm:
    """Sent by an entry VM that has stopped sending requests for good."""

    vm: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class SeedsChanged:
    """Posted inside a process when the VMs that it contacts first change."""

    seeds: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class LocalCall:
    """A call that a front end of this VM received."""

    call: Call
    reply: Mailbox[CallAnswer]


def encode_call(call: Call | CallAnswer) -> bytes:
    """Return the bytes of a call or an answer."""
    return compress(_calls.encode(call))


def decode_call(encoded: bytes) -> Any:
    """Return the call or answer that the bytes encode.

    :raises CodecError: if the bytes are not a valid call or answer.
    """
    try:
        return _calls.decode(decompress(encoded))
    except CompressionError as error:
        raise CodecError(f'not a call or an answer: {error}') from error
