"""Proposes commands to the control log from any daemon."""

import asyncio
import itertools
from typing import Any, Final

from ibisjunction.clock import in_seconds
from ibisjunction.control.codec import encode_command
from ibisjunction.control.commands import (
    Accepted,
    Command,
    CommandOutcome,
    Rejected,
)
from ibisjunction.control.messages import ProposalResult, ProposeCommand
from ibisjunction.mailbox import Mailbox
from ibisjunction.peers.link import PeerNetwork, Received
from ibisjunction.settings import Settings

#: Long enough for an election and a commit.
_ATTEMPT_MS: Final = 500
_ATTEMPTS: Final = 10


class ControlClient:
    """Sends proposals and matches their results.

    A proposal is repeated under the same id until a result arrives, so the
    outcome of a lost answer is not lost.
    """

    def __init__(
        self,
        settings: Settings,
        incarnation: int,
        peers: PeerNetwork,
    ) -> None:
        """Subscribe to results."""
        self._settings = settings
        self._peers = peers
        self._prefix = f'{settings.vm}-{incarnation}'
        self._numbers = itertools.count(1)
        self._waiting: dict[str, asyncio.Future[CommandOutcome]] = {}
        self.mailbox: Mailbox[Any] = Mailbox()
        peers.subscribe(self.mailbox, ProposalResult)

    async def run(self) -> None:
        """Match results to proposals until cancelled."""
        while True:
            received: Received = await self.mailbox.get()
            outcome = received.message
            waiter = self._waiting.get(outcome.proposal_id)
            if waiter is not None and not waiter.done():
                waiter.set_result(_to_outcome(outcome))

    async def propose(self, command: Command) -> CommandOutcome | None:
        """Commit a command; ``None`` means that the outcome is unknown."""
        proposal_id = f'{self._prefix}-{next(self._numbers)}'
        proposal = ProposeCommand(proposal_id, encode_command(command))
        waiter = asyncio.get_running_loop().create_future()
        self._waiting[proposal_id] = waiter
        try:
            return await self._repeat(proposal, waiter)
        finally:
            self._waiting.pop(proposal_id)

    async def _repeat(
        self,
        proposal: ProposeCommand,
        waiter: 'asyncio.Future[CommandOutcome]',
    ) -> CommandOutcome | None:
        for _attempt in range(_ATTEMPTS):
            for voter in self._settings.voters:
                self._peers.send(voter.vm, proposal)
            await asyncio.wait({waiter}, timeout=in_seconds(_ATTEMPT_MS))
            if waiter.done():
                return waiter.result()
        return None


def _to_outcome(outcome: ProposalResult) -> CommandOutcome:
    if outcome.accepted:
        return Accepted(outcome.revision, outcome.level)
    return Rejected(outcome.detail)
