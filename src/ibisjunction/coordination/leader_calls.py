"""The calls that other VMs have passed on to a leader."""

import logging
from typing import Final

from ibisjunction.coordination.calls import CallAnswer, Unavailable
from ibisjunction.coordination.check_in_queue import PUT_OFF, CheckInQueue
from ibisjunction.coordination.messages import (
    CallAnswered,
    ForwardedCall,
    encode_call,
)
from ibisjunction.events import Event, log_event
from ibisjunction.peers.link import PeerNetwork

_logger = logging.getLogger(__name__)

_LOG_INTERVAL_MS: Final = 1000


class LeaderCalls:
    """Who passed on each call, and the check-ins that wait for their turn."""

    def __init__(self, peers: PeerNetwork) -> None:
        """Start without calls."""
        self._peers = peers
        self._senders: dict[str, str] = {}
        #: Check-ins that the coordinator has not got yet.
        self.check_ins = CheckInQueue()
        self._logged_put_off = 0
        self._next_log_ms = 0

    def receive(self, sender: str, call: ForwardedCall, now: int) -> bool:
        """Record a call; return whether it is to be handled at once."""
        if call.call_id in self._senders:
            return False
        self._senders[call.call_id] = sender
        if call.is_deferrable:
            self.check_ins.add(call, now)
        return not call.is_deferrable

    def take_check_ins(
        self, limit: int | None, now: int
    ) -> list[ForwardedCall]:
        """Put off the check-ins that waited too long; return the next ones.

        :param limit: largest number of check-ins to return; by default all.
        """
        for late in self.check_ins.take_late(now):
            self.answer(late.call_id, PUT_OFF)
        return self.check_ins.take(limit)

    def answer(self, call_id: str, answer: CallAnswer) -> None:
        """Send the answer to the VM that passed on the call."""
        sender = self._senders.pop(call_id, '')
        self._peers.send(sender, CallAnswered(call_id, encode_call(answer)))

    def log_put_off(self, now: int) -> None:
        """Log once a second how many check-ins were put off."""
        count = self.check_ins.put_off_count - self._logged_put_off
        if not count or now < self._next_log_ms:
            return
        self._next_log_ms = now + _LOG_INTERVAL_MS
        self._logged_put_off += count
        log_event(
            _logger,
            Event.CHECK_INS_PUT_OFF,
            logging.WARNING,
            count=count,
            waiting=len(self.check_ins),
        )

    def refuse_check_ins(self) -> None:
        """Refuse all check-ins that wait, because this VM no longer leads."""
        for call in self.check_ins.take():
            self.answer(call.call_id, Unavailable('the leader has changed'))
