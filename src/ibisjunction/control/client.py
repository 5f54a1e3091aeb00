"""Proposes commands to the control log from any daemon."""

import asyncio
import itertools
from dataclasses import dataclass
from typing import Any, Final

from ibisjunction.clock import in_seconds
from ibisjunction.control.codec import encode_command
from ibisjunction.control.commands import (
    Accepted,
    Command,
    CommandOutcome,
    Rejected,
)
from ibisjunction.control.messages import (
    LeaderUpdate,
    ProposalResult,
    ProposeCommand,
)
from ibisjunction.mailbox import Mailbox
from ibisjunction.peers.link import PeerNetwork, Received
from ibisjunction.settings import Settings

#: Time to wait for a result; an election and a commit fit into it.
_ATTEMPT_TIMEOUT_MS: Final = 500
_MAX_ATTEMPTS: Final = 10


@dataclass(frozen=True, slots=True)
class _PendingProposal:
    proposal: ProposeCommand
    waiter: 'asyncio.Future[CommandOutcome]'


class ControlClient:
    """Sends proposals and matches their results.

    A proposal is resent under the same id until a result arrives or the
    attempts are used up, so that a lost result is sent again.
    """

    def __init__(
        self,
        settings: Settings,
        incarnation: int,
        peers: PeerNetwork,
    ) -> None:
        """Subscribe to results."""
        self._peers = peers
        self._prefix = f'{settings.vm}-{incarnation}'
        self._numbers = itertools.count(1)
        self._pending: dict[str, _PendingProposal] = {}
        self._targets = tuple(voter.vm for voter in settings.voters)
        self.mailbox: Mailbox[Any] = Mailbox()
        peers.subscribe(self.mailbox, ProposalResult)

    async def run(self) -> None:
        """Handle results and leader updates until cancelled."""
        while True:
            match await self.mailbox.get():
                case Received(message=ProposalResult() as result):
                    self._finish(result)
                case LeaderUpdate() as update:
                    self._follow_leader(update)

    async def propose(self, command: Command) -> CommandOutcome | None:
        """Propose a command; ``None`` means that the outcome is unknown."""
        proposal_id = f'{self._prefix}-{next(self._numbers)}'
        proposal = ProposeCommand(proposal_id, encode_command(command))
        waiter = asyncio.get_running_loop().create_future()
        pending = _PendingProposal(proposal, waiter)
        self._pending[proposal_id] = pending
        try:
            return await self._send_until_finished(pending)
        finally:
            self._pending.pop(proposal_id)

    async def _send_until_finished(
        self, pending: _PendingProposal
    ) -> CommandOutcome | None:
        for _attempt in range(_MAX_ATTEMPTS):
            self._send(pending.proposal)
            await asyncio.wait(
                {pending.waiter},
                timeout=in_seconds(_ATTEMPT_TIMEOUT_MS),
            )
            if pending.waiter.done():
                return pending.waiter.result()
        return None

    def _send(self, proposal: ProposeCommand) -> None:
        for vm in self._targets:
            self._peers.send(vm, proposal)

    def _finish(self, result: ProposalResult) -> None:
        pending = self._pending.get(result.proposal_id)
        if pending is not None and not pending.waiter.done():
            pending.waiter.set_result(_to_outcome(result))

    def _follow_leader(self, update: LeaderUpdate) -> None:
        """Use a new leader, and resend all pending proposals to it at once."""
        self._targets = update.voters if update.vm is None else (update.vm,)
        if update.vm is not None:
            for pending in self._pending.values():
                self._send(pending.proposal)


def _to_outcome(result: ProposalResult) -> CommandOutcome:
    if result.accepted:
        return Accepted(result.revision, result.level)
    return Rejected(result.detail)
