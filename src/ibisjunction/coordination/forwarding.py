"""Calls that a VM took, until the leader has answered them."""

from dataclasses import dataclass
from typing import Final

from ibisjunction.coordination.calls import Call, CallAnswer, Unavailable
from ibisjunction.mailbox import Mailbox

#: Longer than the leader works on a call.
_LIMIT_MS: Final = 4500
#: A call is not kept longer while no leader is known, so that its caller turns
#: to a VM that may know one.
_NO_LEADER_LIMIT_MS: Final = 800
#: A forwarded call without an answer is sent again.
_REPEAT_MS: Final = 600


@dataclass(slots=True)
class _Pending:
    call: Call
    reply: Mailbox[CallAnswer]
    since_ms: int
    sent_to: str | None = None
    sent_ms: int = 0


class Forwarding:
    """The calls of this VM's front ends that wait for an answer."""

    def __init__(self, prefix: str) -> None:
        """Start without calls; ``prefix`` makes their names unique."""
        self._prefix = prefix
        self._count = 0
        self._pending: dict[str, _Pending] = {}

    def add(self, call: Call, reply: Mailbox[CallAnswer], now: int) -> None:
        """Take a call."""
        self._count += 1
        call_id = f'{self._prefix}.{self._count}'
        self._pending[call_id] = _Pending(call, reply, now)

    def answer(self, call_id: str, answer: CallAnswer) -> None:
        """Pass on an answer; a second one to the same call is ignored."""
        pending = self._pending.pop(call_id, None)
        if pending is not None:
            pending.reply.post(answer)

    def take_due(self, leader: str | None, now: int) -> list[tuple[str, Call]]:
        """Return the calls to send to the leader now, with their names."""
        self._give_up(leader, now)
        if leader is None:
            return []
        due = []
        for call_id, pending in self._pending.items():
            is_new = pending.sent_to != leader
            if is_new or now >= pending.sent_ms + _REPEAT_MS:
                pending.sent_to = leader
                pending.sent_ms = now
                due.append((call_id, pending.call))
        return due

    def _give_up(self, leader: str | None, now: int) -> None:
        limit_ms = _NO_LEADER_LIMIT_MS if leader is None else _LIMIT_MS
        for call_id, pending in list(self._pending.items()):
            if now >= pending.since_ms + limit_ms:
                self.answer(call_id, Unavailable('no leader answers'))
