"""Counts what one connection takes of the room that all share."""

from ibisjunction.entry.callers.connection_context import ConnectionContext


class ConnectionUse:
    """What one connection has counted in the tables of its context."""

    def __init__(self, context: ConnectionContext, number: int) -> None:
        """Start with nothing counted."""
        self._context = context
        self._number = number
        self._read_ahead_bytes = 0

    def update(
        self, read_ahead_bytes: int, answer_bytes: int, *, is_busy: bool
    ) -> None:
        """Count the present use.

        :param read_ahead_bytes: requests and answers, if there are several.
        :param answer_bytes: answers that the caller has not taken.
        :param is_busy: whether a whole request is being served.
        """
        change = read_ahead_bytes - self._read_ahead_bytes
        self._context.read_ahead_bytes += change
        self._read_ahead_bytes = read_ahead_bytes
        self._context.answers.record(self._number, answer_bytes)
        self._context.table.mark(self._number, is_busy=is_busy)

    def end(self) -> None:
        """Count nothing any longer."""
        self.update(0, 0, is_busy=False)
