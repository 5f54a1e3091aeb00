"""Structured logs that never hold up the process that writes them.

Each line is a JSON object with ``time``, ``level``, ``event``, ``text`` and the
fields of the event. Lines that the reader of standard output does not take are
kept up to a bound; what is dropped then is counted, and the count is logged.
"""

import logging
import os
import time
from collections import deque
from typing import Any, Final

import msgspec

from ibisjunction.events import EVENT_ATTRIBUTE, FIELDS_ATTRIBUTE

#: Lines kept while the reader takes none; about 1 MB.
_KEPT_LINES: Final = 4000
#: Lines written each second; a burst of failures must not cost the processor
#: time that requests need. Warnings and errors are not counted.
_LINES_PER_S: Final = 150


class JsonFormatter(logging.Formatter):
    """Turns a record into one line of JSON."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record, without its end."""
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
            for name, found in fields.items():
                is_plain = isinstance(found, bool | int | float | str)
                line[name] = found if is_plain else str(found)
        if record.exc_info:
            line['error'] = self.formatException(record.exc_info)
        return msgspec.json.encode(line).decode()


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor without ever waiting for its reader."""

    def __init__(self, descriptor: int) -> None:
        """Write to a descriptor, which is switched to not block."""
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._kept: deque[bytes] = deque()
        self._dropped = 0
        self._second = 0
        self._written = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, keep it for later, or count it as dropped."""
        is_routine = record.levelno < logging.WARNING
        if len(self._kept) >= _KEPT_LINES or (
            is_routine and not self._has_allowance()
        ):
            self._dropped += 1
            return
        self._report_dropped(record)
        self._kept.append(f'{self.format(record)}\n'.encode())
        self.flush()

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._kept:
            line = self._kept.popleft()
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader has gone; nobody is left to tell.
                self._kept.clear()
                return
            if written < len(line):
                self._kept.appendleft(line[written:])
                return

    def _has_allowance(self) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._written = 0
        self._written += 1
        return self._written <= _LINES_PER_S

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
        self._kept.append(msgspec.json.encode(line) + b'\n')


def log_to_stdout(level: int = logging.INFO) -> None:
    """Send all logs of this process to standard output as JSON."""
    handler = BoundedHandler(1)
    handler.setFormatter(JsonFormatter())
    root = logging.getLogger()
    root.addHandler(handler)
    root.setLevel(level)
