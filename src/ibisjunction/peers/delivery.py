"""In-order delivery between two daemons, even if connections go silent.

A middlebox may drop the state of an open connection, which then carries no more
data although new connections work. The sender therefore buffers each message
until the receiver has acknowledged it, and resends over a new connection what
is in flight when acknowledgements stop.

Links may be slow, and peers may be down. What a link buffers, has in flight and
resends is therefore bounded in bytes, and the wait before a resend follows the
measured round trips. A large message is sent in parts.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from ibisjunction.byte_budget import ByteBudget
from ibisjunction.round_trips import RoundTrips

#: Messages and bytes buffered for a peer that does not acknowledge; the oldest
#: message is dropped first, because a newer message of the same conversation
#: replaces it. The newest message is kept whatever its size.
_MAX_BUFFERED_MESSAGES: Final = 256
MAX_BUFFERED_BYTES: Final = 1_048_576
#: Larger messages are sent in parts of this size.
PART_BYTES: Final = 16_384
#: Bytes in flight on one link. A link of 2 Mbit/s carries them in 130 ms.
WINDOW_BYTES: Final = 2 * PART_BYTES
#: Bytes in flight on all links of a VM.
MAX_IN_FLIGHT_BYTES: Final = 8_388_608
#: An acknowledgement takes at most ``ACK_DELAY_MS`` and a round trip between
#: regions. A link without one for this long counts as silent, or for longer if
#: its round trips take longer.
SILENT_AFTER_MS: Final = 300
#: A receiver acknowledges with its next message, or with an empty one after
#: this delay or after this many bytes.
ACK_DELAY_MS: Final = 100
_ACK_AFTER_BYTES: Final = PART_BYTES
#: The wait between two resends to a peer that is down doubles up to this limit.
_MAX_RESEND_WAIT_MS: Final = 4000
#: Messages to a peer that acknowledges nothing for this long are dropped. All
#: exchanges between daemons time out earlier.
DISCARD_AFTER_MS: Final = 10_000


@dataclass(frozen=True, slots=True)
class NumberedMessage:
    """A message, or a part of a large one, with its number on the link.

    ``kind`` is the name of the message's type. The parts of a message have
    consecutive numbers.
    """

    sequence: int
    payload: bytes | memoryview
    kind: str = ''
    part: int = 0
    part_count: int = 1


@dataclass(slots=True)
class _InFlight:
    """A message in flight; ``sent_ms`` is ``None`` once it was resent."""

    message: NumberedMessage
    sent_ms: int | None


class OutboundLink:
    """Buffers the messages to one peer until they are acknowledged."""

    def __init__(self, budget: ByteBudget | None = None) -> None:
        """Start with an empty link; ``budget`` is shared with other links."""
        self._budget = (
            ByteBudget(MAX_IN_FLIGHT_BYTES) if budget is None else budget
        )
        self._last_sequence = 0
        self._waiting: deque[NumberedMessage] = deque()
        self._in_flight: deque[_InFlight] = deque()
        self._in_flight_size = 0
        self._waiting_size = 0
        self._progress_ms = 0
        self._silent_since_ms = 0
        self._round_trips = RoundTrips(SILENT_AFTER_MS, _MAX_RESEND_WAIT_MS)

    @property
    def oldest(self) -> int:
        """Number of the oldest buffered message, or the next number if none."""
        if self._in_flight:
            return self._in_flight[0].message.sequence
        if self._waiting:
            return self._waiting[0].sequence
        return self._last_sequence + 1

    @property
    def is_empty(self) -> bool:
        """Whether all messages are acknowledged."""
        return not (self._in_flight or self._waiting)

    @property
    def buffered_messages(self) -> int:
        """Number of buffered messages, where each part counts."""
        return len(self._in_flight) + len(self._waiting)

    @property
    def buffered_size(self) -> int:
        """Bytes of the buffered messages."""
        return self._in_flight_size + self._waiting_size

    @property
    def last_sequence(self) -> int:
        """Number of the last part that was appended."""
        return self._last_sequence

    def list_payloads(self) -> Iterator[tuple[int, int]]:
        """Yield identity and size of the buffers that hold the messages.

        Parts of a message, and links that got the same message, share one.
        """
        for message in (
            *(entry.message for entry in self._in_flight),
            *self._waiting,
        ):
            match message.payload:
                case memoryview(obj=bytes() as whole):
                    yield id(whole), len(whole)
                case payload:
                    yield id(payload), len(payload)

    def append(self, payload: bytes, now: int, kind: str = '') -> None:
        """Buffer a message; :meth:`take_sendable` returns it."""
        if not self.buffered_messages:
            self._progress_ms = now
        for part in _split(payload, self._last_sequence + 1, kind):
            self._last_sequence = part.sequence
            self._waiting.append(part)
            self._waiting_size += len(part.payload)
        newest = self._waiting[-1]
        while self._is_over_limit() and not self._has_only(newest):
            self._drop_oldest_message()

    def take_sendable(self, now: int) -> list[NumberedMessage]:
        """Return the messages to send now; they are then in flight."""
        sendable = []
        if not self._in_flight:
            self._silent_since_ms = now
        while self._waiting and self._may_send(self._waiting[0]):
            message = self._waiting.popleft()
            self._waiting_size -= len(message.payload)
            self._in_flight.append(_InFlight(message, now))
            self._in_flight_size += len(message.payload)
            sendable.append(message)
        return sendable

    def acknowledge(self, sequence: int, now: int) -> None:
        """Discard the messages up to ``sequence`` and restart the wait.

        An acknowledgement of no buffered message is ignored, because it does
        not show that newer messages arrive.
        """
        in_flight = self._in_flight
        if not in_flight or sequence < in_flight[0].message.sequence:
            return
        sent_ms = None
        while in_flight and in_flight[0].message.sequence <= sequence:
            sent_ms = self._end_flight().sent_ms
        if sent_ms is not None:
            self._round_trips.add_sample(now - sent_ms)
        self._progress_ms = now
        self._silent_since_ms = now

    def take_resends(self, now: int) -> list[NumberedMessage]:
        """Return what is in flight; empty unless the link is silent.

        It is to be sent over a new connection, and stays buffered until it is
        acknowledged. Each call that returns messages doubles the wait until the
        next resend.
        """
        is_silent = now - self._silent_since_ms >= self._round_trips.wait_ms
        if not self._in_flight or not is_silent:
            return []
        self._silent_since_ms = now
        self._round_trips.back_off()
        for entry in self._in_flight:
            entry.sent_ms = None
        return [entry.message for entry in self._in_flight]

    def discard_undeliverable(self, now: int) -> int:
        """Drop all messages if none was acknowledged for long.

        :return: the number of messages that were dropped.
        """
        if now < self._progress_ms + DISCARD_AFTER_MS:
            return 0
        count = self.buffered_messages
        while self.buffered_messages:
            self._drop_oldest_message()
        return count

    def _may_send(self, message: NumberedMessage) -> bool:
        size = len(message.payload)
        fits = self._in_flight_size + size <= WINDOW_BYTES
        return fits and self._budget.try_take(size)

    def _is_over_limit(self) -> bool:
        return (
            self.buffered_messages > _MAX_BUFFERED_MESSAGES
            or self.buffered_size > MAX_BUFFERED_BYTES
        )

    def _has_only(self, message: NumberedMessage) -> bool:
        """Return whether only the parts of one message are buffered."""
        return self.oldest >= message.sequence - message.part

    def _drop_oldest_message(self) -> None:
        """Drop all parts of the oldest message."""
        oldest = (
            self._in_flight[0].message if self._in_flight else self._waiting[0]
        )
        end = oldest.sequence - oldest.part + oldest.part_count
        while self._in_flight and self._in_flight[0].message.sequence < end:
            self._end_flight()
        while self._waiting and self._waiting[0].sequence < end:
            self._waiting_size -= len(self._waiting.popleft().payload)

    def _end_flight(self) -> _InFlight:
        """Remove the oldest message in flight, and return it."""
        entry = self._in_flight.popleft()
        size = len(entry.message.payload)
        self._in_flight_size -= size
        self._budget.release(size)
        return entry


def _split(payload: bytes, sequence: int, kind: str) -> list[NumberedMessage]:
    """Return a message as parts that share the memory of its payload."""
    if len(payload) <= PART_BYTES:
        return [NumberedMessage(sequence, payload, kind)]
    whole = memoryview(payload)
    starts = range(0, len(payload), PART_BYTES)
    return [
        NumberedMessage(
            sequence + part,
            whole[start : start + PART_BYTES],
            kind,
            part,
            len(starts),
        )
        for part, start in enumerate(starts)
    ]


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
        self._unacknowledged_size = 0
        self._parts: list[bytes] = []

    def accept(
        self, sequence: int, oldest: int, now: int, size: int = 0
    ) -> bool:
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
        self._unacknowledged_size += size
        return True

    def add_part(
        self, payload: bytes, part: int, part_count: int
    ) -> bytes | None:
        """Add an accepted part; return the message once it is complete.

        The parts of a message whose beginning was dropped are ignored.
        """
        if part != len(self._parts):
            self._parts = []
            if part:
                return None
        self._parts.append(payload)
        if len(self._parts) < part_count:
            return None
        message = b''.join(self._parts)
        self._parts = []
        return message

    def take_acknowledgement(self) -> int:
        """Return the number that a message sent now acknowledges.

        Clear the pending acknowledgement, because the caller sends it now.
        """
        self._ack_due_ms = None
        self._unacknowledged_size = 0
        return self.received

    @property
    def is_ack_pending(self) -> bool:
        """Whether an acknowledgement has to be sent now or later."""
        return self._ack_due_ms is not None

    def is_ack_due(self, now: int) -> bool:
        """Return whether to send an acknowledgement without a message."""
        if self._unacknowledged_size >= _ACK_AFTER_BYTES:
            return True
        return self._ack_due_ms is not None and now >= self._ack_due_ms
