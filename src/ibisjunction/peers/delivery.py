"""In-order delivery between two daemons, even if connections go silent.

A middlebox may drop the state of an open connection, which then carries no more
data although new connections work. The sender therefore buffers each message
until the receiver has acknowledged it, and resends the unacknowledged messages
over a new connection when acknowledgements stop.
"""

from collections import deque
from dataclasses import dataclass
from typing import Final

#: Messages buffered for a peer that does not acknowledge; the oldest is dropped
#: first, because a newer message of the same conversation replaces it.
_MAX_UNACKNOWLEDGED: Final = 256
#: An acknowledgement takes at most ``ACK_DELAY_MS`` and a round trip between
#: regions; a link without one for this long counts as silent.
SILENT_AFTER_MS: Final = 300
#: A receiver acknowledges with its next message, or with an empty one after
#: this delay.
ACK_DELAY_MS: Final = 100
#: The wait between two resends to a peer that is down doubles up to this limit.
_MAX_RESEND_WAIT_MS: Final = 4000


@dataclass(frozen=True, slots=True)
class NumberedMessage:
    """A message with its sequence number on the link, and its type's name."""

    sequence: int
    payload: bytes
    kind: str = ''


class OutboundLink:
    """Buffers the messages to one peer until they are acknowledged."""

    def __init__(self) -> None:
        """Start with an empty link."""
        self._last_sequence = 0
        self._unacknowledged: deque[NumberedMessage] = deque(
            maxlen=_MAX_UNACKNOWLEDGED
        )
        self._waiting_since_ms = 0
        self._resend_wait_ms = SILENT_AFTER_MS

    @property
    def oldest(self) -> int:
        """Number of the oldest buffered message, or the next number if none."""
        if self._unacknowledged:
            return self._unacknowledged[0].sequence
        return self._last_sequence + 1

    @property
    def buffered_messages(self) -> int:
        """Number of messages that are not acknowledged."""
        return len(self._unacknowledged)

    @property
    def buffered_size(self) -> int:
        """Bytes of the messages that are not acknowledged."""
        return sum(len(message.payload) for message in self._unacknowledged)

    def append(
        self, payload: bytes, now: int, kind: str = ''
    ) -> NumberedMessage:
        """Assign the next number to a message and buffer it."""
        if not self._unacknowledged:
            self._waiting_since_ms = now
        self._last_sequence += 1
        message = NumberedMessage(self._last_sequence, payload, kind)
        self._unacknowledged.append(message)
        return message

    def acknowledge(self, sequence: int, now: int) -> None:
        """Discard the messages up to ``sequence`` and restart the wait.

        An acknowledgement of no buffered message is ignored, because it does
        not show that newer messages arrive.
        """
        unacknowledged = self._unacknowledged
        if not unacknowledged or sequence < unacknowledged[0].sequence:
            return
        while unacknowledged and unacknowledged[0].sequence <= sequence:
            unacknowledged.popleft()
        self._waiting_since_ms = now
        self._resend_wait_ms = SILENT_AFTER_MS

    def take_resends(self, now: int) -> list[NumberedMessage]:
        """Return the messages to resend; empty unless the link is silent.

        They are to be sent over a new connection, and stay buffered until they
        are acknowledged. Each call that returns messages doubles the wait until
        the next resend.
        """
        is_silent = now - self._waiting_since_ms >= self._resend_wait_ms
        if not self._unacknowledged or not is_silent:
            return []
        self._waiting_since_ms = now
        self._resend_wait_ms = min(
            2 * self._resend_wait_ms, _MAX_RESEND_WAIT_MS
        )
        return list(self._unacknowledged)


class InboundLink:
    """Tracks the messages received from one incarnation of a peer.

    ``received`` is the number of the last message that was accepted.
    """

    def __init__(self, incarnation: int) -> None:
        """Start with nothing received."""
        self.incarnation = incarnation
        self.received = 0
        self._is_new = True
        self._ack_due_ms: int | None = None

    def accept(self, sequence: int, oldest: int, now: int) -> bool:
        """Accept a message if it is the next one; return whether it is.

        Repeats and messages after a gap are not accepted. ``oldest`` is the
        number of the oldest message that the sender still buffers; earlier
        ones are not sent again. A receiver that restarted does not get the
        messages that it acknowledged before the restart, and starts at
        ``oldest``.
        """
        if self._ack_due_ms is None:
            self._ack_due_ms = now + ACK_DELAY_MS
        if self._is_new or self.received + 1 < oldest:
            self._is_new = False
            self.received = oldest - 1
        if sequence != self.received + 1:
            return False
        self.received = sequence
        return True

    def take_acknowledgement(self) -> int:
        """Return the number that a message sent now acknowledges.

        Clear the pending acknowledgement, because the caller sends it now.
        """
        self._ack_due_ms = None
        return self.received

    def is_ack_due(self, now: int) -> bool:
        """Return whether to send an acknowledgement without a message."""
        return self._ack_due_ms is not None and now >= self._ack_due_ms
