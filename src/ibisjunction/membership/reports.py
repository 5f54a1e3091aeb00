"""Fetches the revision that is in force on each VM from the leader."""

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
    """Requests reports from all voters; only the leader answers."""

    def __init__(self, settings: Settings, peers: PeerNetwork) -> None:
        """Subscribe to the answers."""
        self._voters = tuple(voter.vm for voter in settings.voters)
        self._peers = peers
        self._request_ids = itertools.count(1)
        self._pending: dict[int, asyncio.Future[VmReports]] = {}
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
        """Return the leader's reports, or ``None`` after a timeout."""
        request_id = next(self._request_ids)
        answer = asyncio.get_running_loop().create_future()
        self._pending[request_id] = answer
        for vm in self._voters:
            self._peers.send(vm, FetchReports(request_id))
        try:
            await asyncio.wait({answer}, timeout=in_seconds(_TIMEOUT_MS))
        finally:
            self._pending.pop(request_id)
        return answer.result() if answer.done() else None

    def _finish(self, reports: VmReports) -> None:
        answer = self._pending.get(reports.request_id)
        if answer is not None and not answer.done():
            answer.set_result(reports)
