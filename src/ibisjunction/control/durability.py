"""Tracks which writes are durable, and the messages that wait for them."""

from ibisjunction.control.effects import (
    Send,
)


class Durability:
    """Numbers writes and holds messages until the writes are durable.

    The log is durable up to ``durable_index``.
    """

    def __init__(self, stored_index: int) -> None:
        """Start with a log that is durable up to an index."""
        self.durable_index = stored_index
        self._last_number = 0
        self._durable_number = 0
        self._last_index_by_write: dict[int, int] = {}
        self._held_messages: list[tuple[int, Send]] = []

    def start_write(self) -> int:
        """Return the number of a write that does not change the log."""
        self._last_number += 1
        return self._last_number

    def start_append(self, first_index: int, last_index: int) -> int:
        """Return the number of a write that replaces the end of the log.

        Earlier writes no longer make anything from ``first_index`` on durable,
        because those entries are being replaced.
        """
        last_kept = first_index - 1
        self.durable_index = min(self.durable_index, last_kept)
        for number, end in self._last_index_by_write.items():
            self._last_index_by_write[number] = min(end, last_kept)
        number = self.start_write()
        self._last_index_by_write[number] = last_index
        return number

    def hold_until_durable(self, message: Send) -> None:
        """Hold a message until all writes so far are durable."""
        self._held_messages.append((self._last_number, message))

    def mark_durable(self, number: int) -> list[Send]:
        """Record that all writes up to ``number`` are durable.

        Returns the messages that this releases.
        """
        self._durable_number = max(self._durable_number, number)
        durable_numbers = [
            write_number
            for write_number in self._last_index_by_write
            if write_number <= self._durable_number
        ]
        for write_number in durable_numbers:
            self.durable_index = self._last_index_by_write.pop(write_number)
        released = [
            message
            for write_number, message in self._held_messages
            if write_number <= self._durable_number
        ]
        self._held_messages = [
            held_message
            for held_message in self._held_messages
            if held_message[0] > self._durable_number
        ]
        return released

    def is_durable(self, number: int) -> bool:
        """Return whether a write is durable."""
        return number <= self._durable_number
