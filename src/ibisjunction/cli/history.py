"""The command that tells what became of a request, from saved logs."""

import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Final

import cappa
import msgspec

from ibisjunction.cli.connection import EXIT_INVALID, CommandError
from ibisjunction.clock import MS_PER_S

#: Events that change what processes believe; those shortly before and during
#: the request are part of its history.
_BELIEF_EVENTS: Final = frozenset(
    (101, 102, 103, 104, 201, 202, 203, 206, 207, 208, 301, 302, 305, 306),
)
#: Time before the request's arrival from which such events are shown.
_BEFORE_S: Final = 5.0
#: Fields that every line of a request has.
_COMMON: Final = frozenset(
    ('time', 'level', 'event', 'text', 'request', 'after_ms'),
)


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a saved log; ``at_s`` is when it was decided."""

    at_s: float
    source: str
    fields: dict[str, Any]


JsonLines = Annotated[
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
    json: JsonLines = False

    def __call__(self) -> int:
        """Print the history in the order of the decisions.

        :raises CommandError: if no log has the request.
        """
        lines = place_decisions(list(read_logs(self.files)))
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
            shown = {'at': line.at_s, 'source': line.source, **line.fields}
            return msgspec.json.encode(shown).decode()
        details = ' '.join(
            f'{name}={text}'
            for name, text in line.fields.items()
            if name not in _COMMON
        )
        event = line.fields.get('event')
        head = f'{line.at_s:.3f} {line.source} E{event}'
        return f'{head} {line.fields.get("text")} {details}'.rstrip()


def read_logs(files: Iterable[Path]) -> Iterator[LogLine]:
    """Yield the events of logs; other lines are passed over.

    :raises CommandError: if a file can't be read.
    """
    for path in files:
        try:
            text = path.read_text(errors='replace')
        except OSError as error:
            raise CommandError(f'{path}: {error}', EXIT_INVALID) from error
        for raw in text.splitlines():
            line = _parse_line(raw, path.stem)
            if line is not None:
                yield line


def find_history(lines: list[LogLine], request: str) -> list[LogLine]:
    """Return the lines of a request and the changes of belief around it."""
    own = [line for line in lines if line.fields.get('request') == request]
    if not own:
        return []
    start_s = min(line.at_s for line in own) - _BEFORE_S
    end_s = max(line.at_s for line in own)
    around = [
        line
        for line in lines
        if line.fields.get('event') in _BELIEF_EVENTS
        and start_s <= line.at_s <= end_s
    ]
    return sorted([*around, *own], key=lambda line: line.at_s)


def _parse_line(raw: str, source: str) -> LogLine | None:
    """Return an event, or nothing if the line holds none."""
    try:
        fields = msgspec.json.decode(raw, type=dict[str, Any])
        written_s = float(fields['time'])
    except (msgspec.DecodeError, KeyError, ValueError):
        return None
    return LogLine(written_s, source, fields)


def place_decisions(lines: list[LogLine]) -> list[LogLine]:
    """Return lines with the times at which they were decided.

    The lines of one request are written together; ``after_ms`` counts from
    its arrival, and the last decision was taken as they were written.
    """
    last: dict[tuple[str, str], int] = {}
    for line in lines:
        after_ms = line.fields.get('after_ms', 0)
        last[_key_of(line)] = max(last.get(_key_of(line), 0), after_ms)
    return [_place(line, last[_key_of(line)]) for line in lines]


def _key_of(line: LogLine) -> tuple[str, str]:
    return (line.source, line.fields.get('request', ''))


def _place(line: LogLine, last_ms: int) -> LogLine:
    after_ms = line.fields.get('after_ms')
    if after_ms is None:
        return line
    at_s = line.at_s - (last_ms - after_ms) / MS_PER_S
    return LogLine(at_s, line.source, line.fields)
