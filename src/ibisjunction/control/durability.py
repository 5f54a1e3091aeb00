"""Which writes of a replica are durable, and what waits for them."""

from ibisjunction.control.effects import (
    Send,
)


class Durability:
    """Numbers writes and holds back what may only follow them."""

    def __init__(self, durable_index: int) -> None:
        """Start with a log that is durable up to an index."""
        self.index = durable_index
        self._number = 0
        self._done = 0
        self._lengths: dict[int, int] = {}
        self._held: list[tuple[int, Send]] = []

    def start_write(self) -> int:
        """Return the number of a write that does not change the log."""
        self._number += 1
        return self._number

    def start_append(self, first_index: int, last_index: int) -> int:
        """Return the number of a write that replaces the end of the log.

        Earlier writes no longer make anything from ``first_index`` on durable,
        because those entries are being replaced.
        """
        kept = first_index - 1
        self.index = min(self.index, kept)
        for number, length in self._lengths.items():
            self._lengths[number] = min(length, kept)
        number = self.start_write()
        self._lengths[number] = last_index
        return number

    def hold(self, effect: Send) -> None:
        """Keep a message back until all writes so far are durable."""
        self._held.append((self._number, effect))

    def finish(self, number: int) -> list[Send]:
        """Record that writes are durable; return the messages they release."""
        self._done = max(self._done, number)
        finished = [key for key in self._lengths if key <= self._done]
        for key in finished:
            self.index = self._lengths.pop(key)
        released = [effect for key, effect in self._held if key <= self._done]
        self._held = [pair for pair in self._held if pair[0] > self._done]
        return released

    def is_finished(self, number: int) -> bool:
        """Return whether a write is durable."""
        return number <= self._done
