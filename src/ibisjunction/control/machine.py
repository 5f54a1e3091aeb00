"""Applies the committed entries of the log on a replica."""

import itertools
from dataclasses import dataclass, field
from typing import Final

import msgspec

from ibisjunction.control.codec import decode_command
from ibisjunction.control.commands import Accepted, CommandOutcome, Rejected
from ibisjunction.control.messages import ProposalResult
from ibisjunction.control.protocol import (
    Entry,
)
from ibisjunction.control.state import ControlState, apply_command
from ibisjunction.peers.codec import CodecError

#: Number of stored outcomes. A resent proposal gets its first outcome unless
#: this many later proposals were committed before it arrived.
MAX_OUTCOMES: Final = 4096


@dataclass(frozen=True, slots=True)
class Machine:
    """The control state and the outcomes of the latest proposals.

    The outcomes, which a daemon's copy of the state lacks, let any replica
    answer a proposal that an earlier leader committed.
    """

    state: ControlState = field(default_factory=ControlState)
    outcomes: dict[str, ProposalResult] = field(default_factory=dict)

    def find_outcome(self, proposal_id: str) -> ProposalResult | None:
        """Return the outcome of a proposal if it was applied recently."""
        return self.outcomes.get(proposal_id)

    def copy(self) -> 'Machine':
        """Return a copy that later calls of :meth:`apply` don't change."""
        return Machine(self.state, dict(self.outcomes))

    def apply(self, entry: Entry) -> 'Machine':
        """Return the machine after an entry.

        Both share ``outcomes``, which is changed in place.
        """
        command = decode_command(entry.command)
        state, outcome = apply_command(self.state, command)
        if entry.proposal_id:
            self.outcomes[entry.proposal_id] = _to_result(
                entry.proposal_id,
                outcome,
            )
            surplus = len(self.outcomes) - MAX_OUTCOMES
            for oldest in tuple(
                itertools.islice(self.outcomes, max(0, surplus)),
            ):
                self.outcomes.pop(oldest)
        return Machine(state, self.outcomes)


def encode_machine(machine: Machine) -> bytes:
    """Return the bytes of a machine."""
    return msgspec.msgpack.encode(machine)


def decode_machine(encoded: bytes) -> Machine:
    """Decode a machine; no bytes decode to an empty machine.

    :raises CodecError: if the bytes are not an encoded machine.
    """
    if not encoded:
        return Machine()
    try:
        return msgspec.msgpack.decode(encoded, type=Machine)
    except msgspec.DecodeError as error:
        raise CodecError(f'not a machine: {error}') from error


def _to_result(proposal_id: str, outcome: CommandOutcome) -> ProposalResult:
    match outcome:
        case Accepted(revision=revision, level=level):
            return ProposalResult(
                proposal_id,
                accepted=True,
                revision=revision,
                level=level,
            )
        case Rejected(detail=detail):
            return ProposalResult(proposal_id, accepted=False, detail=detail)
