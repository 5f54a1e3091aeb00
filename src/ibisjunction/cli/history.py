"""The command that shows the history of a request from saved logs."""

import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Final

import cappa
import msgspec

from ibisjunction.cli.connection import EXIT_INVALID, CommandError
from ibisjunction.clock import MS_PER_S

#: Events that change the state of a process or its view of the leader, the
#: voters and its VM lease. They name no request; a history includes those
#: shortly before and during the request.
_CONTEXT_EVENTS: Final = frozenset(
    (101, 102, 103, 104, 201, 202, 203, 206, 207, 208, 301, 302, 305, 306),
)
#: Time before the first decision from which such events are included.
_CONTEXT_BEFORE_S: Final = 5.0
#: Fields of every line of a request; left out of the details of a line.
_COMMON_FIELDS: Final = frozenset(
    ('time', 'level', 'event', 'text', 'request', 'after_ms'),
)


@dataclass(frozen=True, slots=True)
class LogLine:
    """An event in a saved log, written by the process ``source``.

    ``at_s`` is the time of writing, which :func:`restore_decision_times`
    replaces with the time of the decision.
    """

    at_s: float
    source: str
    fields: dict[str, Any]


JsonLinesFlag = Annotated[
    bool,
    cappa.Arg(long=True, help='Print lines of JSON.'),
]


@cappa.command(name='explain-request')
@dataclass
class ExplainRequestCommand:
    """Show the history of a request from logs of several processes."""

    request: Annotated[str, cappa.Arg(help='Id of the request.')]
    files: Annotated[
        list[Path],
        cappa.Arg(help='Saved logs, one file for each process.'),
    ]
    json: JsonLinesFlag = False

    def __call__(self) -> int:
        """Print the history in the order of the decisions.

        :raises CommandError: if no log has the request.
        """
        lines = restore_decision_times(list(read_logs(self.files)))
        history = find_history(lines, self.request)
        if not history:
            raise CommandError(
                f'no line of request {self.request}; a served request is'
                ' logged only if its id is sampled',
                EXIT_INVALID,
            )
        for line in history:
            sys.stdout.write(f'{self._render(line)}\n')
        return 0

    def _render(self, line: LogLine) -> str:
        if self.json:
            output = {'at': line.at_s, 'source': line.source, **line.fields}
            return msgspec.json.encode(output).decode()
        details = ' '.join(
            f'{name}={value}'
            for name, value in line.fields.items()
            if name not in _COMMON_FIELDS
        )
        event = line.fields.get('event')
        head = f'{line.at_s:.3f} {line.source} E{event}'
        return f'{head} {line.fields.get("text")} {details}'.rstrip()


def read_logs(files: Iterable[Path]) -> Iterator[LogLine]:
    """Yield the events of logs; other lines are skipped.

    :raises CommandError: if a file can't be read.
    """
    for path in files:
        try:
            text = path.read_text(errors='replace')
        except OSError as error:
            raise CommandError(f'{path}: {error}', EXIT_INVALID) from error
        for raw_line in text.splitlines():
            line = _parse_line(raw_line, path.stem)
            if line is not None:
                yield line


def find_history(lines: list[LogLine], request: str) -> list[LogLine]:
    """Return the lines of a request and its context events, by time."""
    request_lines = [
        line for line in lines if line.fields.get('request') == request
    ]
    if not request_lines:
        return []
    start_s = min(line.at_s for line in request_lines) - _CONTEXT_BEFORE_S
    end_s = max(line.at_s for line in request_lines)
    context_lines = [
        line
        for line in lines
        if line.fields.get('event') in _CONTEXT_EVENTS
        and start_s <= line.at_s <= end_s
    ]
    return sorted([*context_lines, *request_lines], key=lambda line: line.at_s)


def _parse_line(raw_line: str, source: str) -> LogLine | None:
    """Return the event of a line, or ``None`` if the line is not an event."""
    try:
        fields = msgspec.json.decode(raw_line, type=dict[str, Any])
        written_s = float(fields['time'])
    except (msgspec.DecodeError, KeyError, ValueError):
        return None
    return LogLine(written_s, source, fields)


def restore_decision_times(lines: list[LogLine]) -> list[LogLine]:
    """Return lines with the times of the decisions that they report.

    The lines of one request are written together, when its last decision is
    made; ``after_ms`` is the time from the arrival to the decision.
    """
    last_after_ms: dict[tuple[str, str], int] = {}
    for line in lines:
        after_ms = line.fields.get('after_ms', 0)
        last_after_ms[_batch_of(line)] = max(
            last_after_ms.get(_batch_of(line), 0), after_ms
        )
    return [
        _restore_time(line, last_after_ms[_batch_of(line)]) for line in lines
    ]


def _batch_of(line: LogLine) -> tuple[str, str]:
    """Return process and request, which lines written together share."""
    return (line.source, line.fields.get('request', ''))


def _restore_time(line: LogLine, last_after_ms: int) -> LogLine:
    after_ms = line.fields.get('after_ms')
    if after_ms is None:
        return line
    at_s = line.at_s - (last_after_ms - after_ms) / MS_PER_S
    return LogLine(at_s, line.source, line.fields)
