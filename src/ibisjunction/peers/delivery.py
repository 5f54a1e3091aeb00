"""In-order delivery between two daemons across silent connections.

A middlebox may lose track of an open connection, which then carries nothing
more while new connections work. The sender therefore keeps each message until
the receiver has acknowledged it, and sends what is left over a new connection
when acknowledgements stop.
"""

from collections import deque
from dataclasses import dataclass
from typing import Final

#: Messages kept for a peer that does not acknowledge; older ones are dropped
#: first, because a newer message of the same exchange replaces them.
_KEPT_MESSAGES: Final = 256
#: An acknowledgement takes at most ``ACK_DELAY_MS`` and a round trip between
#: regions; a link without one for this long is silent.
SILENT_AFTER_MS: Final = 300
#: A receiver that has nothing to send acknowledges at this interval.
ACK_DELAY_MS: Final = 100
#: The wait between two reconnections to a peer that is down doubles to this.
_MAX_WAIT_MS: Final = 4000


@dataclass(frozen=True, slots=True)
class Numbered:
    """A message with its number on the link."""

    sequence: int
    payload: bytes


class OutboundLink:
    """What was sent to one peer and not yet acknowledged."""

    def __init__(self) -> None:
        """Start with an empty link."""
        self._last_sequence = 0
        self._unacknowledged: deque[Numbered] = deque(maxlen=_KEPT_MESSAGES)
        self._waiting_since_ms = 0
        self._wait_ms = SILENT_AFTER_MS

    @property
    def oldest(self) -> int:
        """Number of the oldest message that can be sent again."""
        if self._unacknowledged:
            return self._unacknowledged[0].sequence
        return self._last_sequence + 1

    def append(self, payload: bytes, now: int) -> Numbered:
        """Assign the next number to a message and keep it."""
        if not self._unacknowledged:
            self._waiting_since_ms = now
        self._last_sequence += 1
        message = Numbered(self._last_sequence, payload)
        self._unacknowledged.append(message)
        return message

    def acknowledge(self, sequence: int, now: int) -> None:
        """Forget the messages up to ``sequence``."""
        kept = self._unacknowledged
        if not kept or sequence < kept[0].sequence:
            return
        while kept and kept[0].sequence <= sequence:
            kept.popleft()
        self._waiting_since_ms = now
        self._wait_ms = SILENT_AFTER_MS

    def find_unsent(self, now: int) -> list[Numbered]:
        """Return what to send over a new connection; empty while all is well.

        Each call that returns messages doubles the wait until the next one.
        """
        is_silent = now - self._waiting_since_ms >= self._wait_ms
        if not self._unacknowledged or not is_silent:
            return []
        self._waiting_since_ms = now
        self._wait_ms = min(2 * self._wait_ms, _MAX_WAIT_MS)
        return list(self._unacknowledged)


class InboundLink:
    """What was received from one incarnation of a peer."""

    def __init__(self, incarnation: int) -> None:
        """Start with nothing received."""
        self.incarnation = incarnation
        self.received = 0
        self._is_new = True
        self._ack_due_ms: int | None = None

    def accept(self, sequence: int, oldest: int, now: int) -> bool:
        """Return whether a message is the next one; repeats are not.

        ``oldest`` is the oldest message that the sender still keeps; what lies
        before it will not be sent again. A receiver that restarted has missed
        what its predecessor acknowledged and starts at ``oldest``.
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
        """Return what to acknowledge in a message that is sent now."""
        self._ack_due_ms = None
        return self.received

    def is_ack_due(self, now: int) -> bool:
        """Return whether an acknowledgement must be sent on its own."""
        return self._ack_due_ms is not None and now >= self._ack_due_ms
