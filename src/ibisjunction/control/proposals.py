"""Pending proposals and the VMs to answer."""

from ibisjunction.control.messages import ProposalResult
from ibisjunction.peers.link import PeerNetwork


class PendingProposals:
    """Proposals that a leader has accepted and not answered yet."""

    def __init__(self, peers: PeerNetwork) -> None:
        """Start with no proposal."""
        self._peers = peers
        self._senders: dict[str, str] = {}

    def add(self, proposal_id: str, sender: str) -> None:
        """Record the VM that the result is sent to."""
        self._senders[proposal_id] = sender

    def answer(self, result: ProposalResult) -> None:
        """Send a result to the VM that waits for it, if any."""
        sender = self._senders.pop(result.proposal_id, None)
        if sender is not None:
            self._peers.send(sender, result)

    def clear(self) -> None:
        """Remove all proposals; the senders resend them to the next leader."""
        self._senders.clear()
