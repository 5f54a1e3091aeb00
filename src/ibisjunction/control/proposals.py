"""Who waits for the outcome of which proposal."""

from ibisjunction.control.messages import ProposalResult
from ibisjunction.peers.link import PeerNetwork


class Proposals:
    """The proposals that a leader has taken and not answered yet."""

    def __init__(self, peers: PeerNetwork) -> None:
        """Start with no proposal."""
        self._peers = peers
        self._waiting: dict[str, str] = {}

    def add(self, proposal_id: str, sender: str) -> None:
        """Remember whom to answer."""
        self._waiting[proposal_id] = sender

    def answer(self, result: ProposalResult) -> None:
        """Send an outcome if somebody waits for it."""
        sender = self._waiting.pop(result.proposal_id, None)
        if sender is not None:
            self._peers.send(sender, result)

    def clear(self) -> None:
        """Forget all; the senders repeat theirs to the next leader."""
        self._waiting.clear()
