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
    LeaderKnown,
    ProposalResult,
    ProposeCommand,
)
from ibisjunction.mailbox import Mailbox
from ibisjunction.peers.link import PeerNetwork, Received
from ibisjunction.settings import Settings

#: Long enough for an election and a commit.
_ATTEMPT_MS: Final = 500
_ATTEMPTS: Final = 10


@dataclass(frozen=True, slots=True)
class _Pending:
    proposal: ProposeCommand
    waiter: 'asyncio.Future[CommandOutcome]'


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
        self._peers = peers
        self._prefix = f'{settings.vm}-{incarnation}'
        self._numbers = itertools.count(1)
        self._waiting: dict[str, _Pending] = {}
        self._targets = tuple(voter.vm for voter in settings.voters)
        self.mailbox: Mailbox[Any] = Mailbox()
        peers.subscribe(self.mailbox, ProposalResult)

    async def run(self) -> None:
        """Match results to proposals until cancelled."""
        while True:
            match await self.mailbox.get():
                case Received(message=ProposalResult() as outcome):
                    self._finish(outcome)
                case LeaderKnown() as known:
                    self._follow(known)

    async def propose(self, command: Command) -> CommandOutcome | None:
        """Commit a command; ``None`` means that the outcome is unknown."""
        proposal_id = f'{self._prefix}-{next(self._numbers)}'
        proposal = ProposeCommand(proposal_id, encode_command(command))
        waiter = asyncio.get_running_loop().create_future()
        pending = _Pending(proposal, waiter)
        self._waiting[proposal_id] = pending
        try:
            return await self._repeat(pending)
        finally:
            self._waiting.pop(proposal_id)

    async def _repeat(self, pending: _Pending) -> CommandOutcome | None:
        for _attempt in range(_ATTEMPTS):
            self._send(pending.proposal)
            await asyncio.wait(
                {pending.waiter},
                timeout=in_seconds(_ATTEMPT_MS),
            )
            if pending.waiter.done():
                return pending.waiter.result()
        return None

    def _send(self, proposal: ProposeCommand) -> None:
        for vm in self._targets:
            self._peers.send(vm, proposal)

    def _finish(self, outcome: ProposalResult) -> None:
        pending = self._waiting.get(outcome.proposal_id)
        if pending is not None and not pending.waiter.done():
            pending.waiter.set_result(_to_outcome(outcome))

    def _follow(self, known: LeaderKnown) -> None:
        """Send what waits to a new leader at once."""
        self._targets = known.voters if known.vm is None else (known.vm,)
        if known.vm is not None:
            for pending in self._waiting.values():
                self._send(pending.proposal)


def _to_outcome(outcome: ProposalResult) -> CommandOutcome:
    if outcome.accepted:
        return Accepted(outcome.revision, outcome.level)
    return Rejected(outcome.detail)
