"""Asks the leader which revision is in force on which VM."""

import asyncio
import itertools
from typing import Any, Final

from ibisjunction.clock import in_seconds
from ibisjunction.control.messages import LeaderUpdate
from ibisjunction.mailbox import Mailbox
from ibisjunction.membership.messages import FetchReports, VmReports
from ibisjunction.peers.link import PeerNetwork, Received
from ibisjunction.settings import Settings

#: Longer than an election, so that one call finds the new leader.
_TIMEOUT_MS: Final = 1000


class ReportsClient:
    """Sends requests to the voters, of which the leader answers."""

    def __init__(self, settings: Settings, peers: PeerNetwork) -> None:
        """Subscribe to the answers."""
        self._voters = tuple(voter.vm for voter in settings.voters)
        self._peers = peers
        self._numbers = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[VmReports]] = {}
        self.mailbox: Mailbox[Any] = Mailbox()
        peers.subscribe(self.mailbox, VmReports)

    async def run(self) -> None:
        """Match answers to requests until cancelled."""
        while True:
            match await self.mailbox.get():
                case Received(message=VmReports() as reports):
                    self._finish(reports)
                case LeaderUpdate(voters=voters):
                    self._voters = voters

    async def fetch(self) -> VmReports | None:
        """Return the leader's reports, or ``None`` without an answer."""
        request_id = next(self._numbers)
        waiter = asyncio.get_running_loop().create_future()
        self._waiting[request_id] = waiter
        for vm in self._voters:
            self._peers.send(vm, FetchReports(request_id))
        try:
            await asyncio.wait({waiter}, timeout=in_seconds(_TIMEOUT_MS))
        finally:
            self._waiting.pop(request_id)
        return waiter.result() if waiter.done() else None

    def _finish(self, reports: VmReports) -> None:
        waiter = self._waiting.get(reports.request_id)
        if waiter is not None and not waiter.done():
            waiter.set_result(reports)
