"""Forwards calls to the leader and repeats them until they are answered."""

from dataclasses import dataclass
from typing import Final

from ibisjunction.coordination.calls import (
    Call,
    CallAnswer,
    CheckIn,
    Unavailable,
)
from ibisjunction.coordination.check_in_queue import is_deferrable
from ibisjunction.coordination.messages import ForwardedCall, encode_call
from ibisjunction.mailbox import Mailbox
from ibisjunction.peers.link import PeerNetwork

#: Longer than the time after which the leader fails a call.
_CALL_TIMEOUT_MS: Final = 4500
#: Shorter timeout while the leader is unknown, so that the caller soon turns
#: to another VM, which may be in contact with the leader.
_NO_LEADER_TIMEOUT_MS: Final = 800
#: A forwarded call without an answer is sent again: a leader that just stopped
#: acting drops it. A check-in is not, unless it announces that its sender
#: leaves: its sender soon checks in again, and a slow leader would get each
#: check-in several times.
_RETRY_INTERVAL_MS: Final = 600


@dataclass(slots=True)
class _PendingCall:
    call: Call
    reply: Mailbox[CallAnswer]
    started_ms: int
    sent_to: str | None = None
    sent_ms: int = 0


class CallForwarder:
    """Tracks the calls of this VM's front ends until they are answered."""

    def __init__(self, prefix: str, peers: PeerNetwork) -> None:
        """Start without calls; ``prefix`` makes their identifiers unique."""
        self._prefix = prefix
        self._peers = peers
        self._count = 0
        self._pending: dict[str, _PendingCall] = {}

    def add(
        self,
        call: Call,
        reply: Mailbox[CallAnswer],
        leader: str | None,
        now: int,
    ) -> None:
        """Send a call to the leader if it is known, or wait for one.

        The answer is posted to ``reply``.
        """
        self._count += 1
        call_id = f'{self._prefix}.{self._count}'
        self._pending[call_id] = _PendingCall(call, reply, now, leader, now)
        if leader is not None:
            self._send(leader, call_id, call)

    def answer(self, call_id: str, answer: CallAnswer) -> None:
        """Post the answer to a call; a second answer is ignored."""
        pending = self._pending.pop(call_id, None)
        if pending is not None:
            pending.reply.post(answer)

    def send_due(self, leader: str | None, now: int) -> None:
        """Send the calls that this leader has not got or may have lost."""
        self._expire_calls(leader, now)
        if leader is None:
            return
        for call_id, pending in self._pending.items():
            is_new = pending.sent_to != leader
            is_due = (
                now >= pending.sent_ms + _RETRY_INTERVAL_MS
                and _may_repeat(pending.call)
            )
            if is_new or is_due:
                pending.sent_to = leader
                pending.sent_ms = now
                self._send(leader, call_id, pending.call)

    def _send(self, leader: str, call_id: str, call: Call) -> None:
        forwarded = ForwardedCall(
            call_id, encode_call(call), is_deferrable(call)
        )
        self._peers.send(leader, forwarded)

    def _expire_calls(self, leader: str | None, now: int) -> None:
        timeout_ms = (
            _NO_LEADER_TIMEOUT_MS if leader is None else _CALL_TIMEOUT_MS
        )
        for call_id, pending in list(self._pending.items()):
            if now >= pending.started_ms + timeout_ms:
                self.answer(call_id, Unavailable('no leader answers'))


def _may_repeat(call: Call) -> bool:
    """Return whether a call is sent again until it is answered."""
    match call:
        case CheckIn(is_draining=is_draining):
            return is_draining
        case _:
            return True
