"""Structured logs that never block the process that writes them.

Each line is a JSON object with ``time``, ``level``, ``event``, ``text`` and the
fields of the event. Lines are buffered while the pipe of standard output is
full. Lines beyond the bound of the buffer, and routine lines beyond the limit
per second, are dropped; a later line gives their number.
"""

import logging
import os
import time
from collections import deque
from typing import Any, Final

import msgspec

from ibisjunction.events import EVENT_ATTRIBUTE, FIELDS_ATTRIBUTE

#: Bound of the buffer, about 1 MB of lines.
_MAX_BUFFERED_LINES: Final = 4000
#: Lines below the level of warnings that are written per second. Without the
#: limit, a burst of failures would use processor time that requests need.
_ROUTINE_LINES_PER_S: Final = 150


class JsonFormatter(logging.Formatter):
    """Turns a record into one line of JSON."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record, without the line break."""
        line: dict[str, Any] = {
            'time': f'{record.created:.3f}',
            'level': record.levelname,
        }
        event = getattr(record, EVENT_ATTRIBUTE, None)
        if event is None:
            line['logger'] = record.name
            line['text'] = record.getMessage()
        else:
            line['event'] = event.number
            line['text'] = event.summary
            fields: dict[str, Any] = getattr(record, FIELDS_ATTRIBUTE, {})
            for name, field in fields.items():
                is_plain = isinstance(field, bool | int | float | str)
                line[name] = field if is_plain else str(field)
        if record.exc_info:
            line['error'] = self.formatException(record.exc_info)
        return msgspec.json.encode(line).decode()


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor without blocking."""

    def __init__(self, descriptor: int) -> None:
        """Switch the descriptor to non-blocking mode."""
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._buffered: deque[bytes] = deque()
        self._dropped = 0
        self._current_second = 0
        self._lines_in_second = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write or buffer a line, or drop it and count it."""
        is_routine = record.levelno < logging.WARNING
        if len(self._buffered) >= _MAX_BUFFERED_LINES or (
            is_routine and not self._is_within_rate()
        ):
            self._dropped += 1
            return
        self._report_dropped(record)
        self._buffered.append(f'{self.format(record)}\n'.encode())
        self.flush()

    def flush(self) -> None:
        """Write buffered lines until the descriptor would block."""
        while self._buffered:
            line = self._buffered.popleft()
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader has closed the pipe; no line can be delivered.
                self._buffered.clear()
                return
            if written < len(line):
                self._buffered.appendleft(line[written:])
                return

    def _is_within_rate(self) -> bool:
        """Count a line, and return whether this second allows it."""
        second = int(time.monotonic())
        if second != self._current_second:
            self._current_second = second
            self._lines_in_second = 0
        self._lines_in_second += 1
        return self._lines_in_second <= _ROUTINE_LINES_PER_S

    def _report_dropped(self, record: logging.LogRecord) -> None:
        if not self._dropped:
            return
        line = {
            'time': f'{record.created:.3f}',
            'level': 'WARNING',
            'text': 'log lines were dropped',
            'lines': self._dropped,
        }
        self._dropped = 0
        self._buffered.append(msgspec.json.encode(line) + b'\n')


def log_to_stdout(level: int = logging.INFO) -> None:
    """Send all logs of this process to standard output as JSON."""
    handler = BoundedHandler(1)
    handler.setFormatter(JsonFormatter())
    root = logging.getLogger()
    root.addHandler(handler)
    root.setLevel(level)
