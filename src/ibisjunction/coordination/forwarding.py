"""Forwards calls to the leader and repeats them until they are answered."""

from dataclasses import dataclass
from typing import Final

from ibisjunction.coordination.calls import Call, CallAnswer, Unavailable
from ibisjunction.mailbox import Mailbox

#: Longer than the time after which the leader fails a call.
_CALL_TIMEOUT_MS: Final = 4500
#: Shorter timeout while the leader is unknown, so that the caller soon turns
#: to another VM, which may be in contact with the leader.
_NO_LEADER_TIMEOUT_MS: Final = 800
#: A forwarded call without an answer is sent again.
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

    def __init__(self, prefix: str) -> None:
        """Start without calls; ``prefix`` makes their identifiers unique."""
        self._prefix = prefix
        self._count = 0
        self._pending: dict[str, _PendingCall] = {}

    def add(self, call: Call, reply: Mailbox[CallAnswer], now: int) -> None:
        """Add a call; its answer is posted to ``reply``."""
        self._count += 1
        call_id = f'{self._prefix}.{self._count}'
        self._pending[call_id] = _PendingCall(call, reply, now)

    def answer(self, call_id: str, answer: CallAnswer) -> None:
        """Post the answer to a call; a second answer is ignored."""
        pending = self._pending.pop(call_id, None)
        if pending is not None:
            pending.reply.post(answer)

    def take_calls_to_send(
        self, leader: str | None, now: int
    ) -> list[tuple[str, Call]]:
        """Return the calls to send to the leader now, with identifiers."""
        self._expire_calls(leader, now)
        if leader is None:
            return []
        calls = []
        for call_id, pending in self._pending.items():
            is_new = pending.sent_to != leader
            if is_new or now >= pending.sent_ms + _RETRY_INTERVAL_MS:
                pending.sent_to = leader
                pending.sent_ms = now
                calls.append((call_id, pending.call))
        return calls

    def _expire_calls(self, leader: str | None, now: int) -> None:
        timeout_ms = (
            _NO_LEADER_TIMEOUT_MS if leader is None else _CALL_TIMEOUT_MS
        )
        for call_id, pending in list(self._pending.items()):
            if now >= pending.started_ms + timeout_ms:
                self.answer(call_id, Unavailable('no leader answers'))
