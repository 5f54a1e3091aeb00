"""The command that explains the placement of a key from saved logs."""

import re
import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Final

import cappa
import msgspec

from ibisjunction.cli.connection import EXIT_INVALID, CommandError
from ibisjunction.cli.history import JsonLinesFlag, LogLine, read_logs
from ibisjunction.events import Event
from ibisjunction.fleet.model import list_first_keys

#: Fields of a command's data class as ``repr`` writes them into event E209.
_SERVICE: Final = re.compile(r"service='([^']*)'")
_COUNT: Final = re.compile(r'\bcount=(\d+)')
_STARTS: Final = re.compile(r'\bstarts=\(([^)]*)\)')
_FIRSTS: Final = re.compile(r'\bfirsts=\(([^)]*)\)')
_FIRST: Final = re.compile(r'\bfirst=(\d+)')


@cappa.command(name='key-history')
@dataclass
class KeyHistoryCommand:
    """Show leaders' decisions about a key, and the reasons, from their logs."""

    service: str
    key: int
    files: Annotated[
        list[Path],
        cappa.Arg(help='Saved logs of all control processes.'),
    ]
    json: JsonLinesFlag = False

    def __call__(self) -> int:
        """Print the commands in the order in which they were proposed.

        :raises CommandError: if the logs have no command about the key.
        """
        lines = list(
            find_key_commands(read_logs(self.files), self.service, self.key),
        )
        if not lines:
            raise CommandError(
                f'no command about key {self.key} of service {self.service}',
                EXIT_INVALID,
            )
        for line in lines:
            sys.stdout.write(f'{self._render(line)}\n')
        return 0

    def _render(self, line: LogLine) -> str:
        fields = line.fields
        if self.json:
            output: dict[str, Any] = {
                'at': line.at_s,
                'source': line.source,
                'command': fields['command'],
                'why': fields.get('why', ''),
            }
            return msgspec.json.encode(output).decode()
        why = fields.get('why') or 'no reason in the log'
        command = fields['command']
        return f'{line.at_s:.3f} {line.source} {command}: {why}'


def find_key_commands(
    lines: Iterable[LogLine],
    service: str,
    key: int,
) -> Iterator[LogLine]:
    """Yield the lines of commands about the shard of a key, by time.

    The bounds of the shard follow from the commands in the same logs that
    divide the keys or split a shard. Before the first of them, one shard has
    all keys.
    """
    first_keys = {0}
    for line in sorted(lines, key=lambda log_line: log_line.at_s):
        command = _read_command(line, service)
        first_key = max(first for first in first_keys if first <= key)
        is_division = command.startswith('DivideKeys')
        if is_division or first_key in _read_changed_shards(command):
            yield line
        first_keys.update(_read_added_shards(command))


def _read_command(line: LogLine, service: str) -> str:
    """Return the command in a line; empty unless it is for the service."""
    if line.fields.get('event') != Event.COMMAND_PROPOSED.number:
        return ''
    command = str(line.fields.get('command', ''))
    service_match = _SERVICE.search(command)
    return command if service_match and service_match[1] == service else ''


def _read_changed_shards(command: str) -> set[int]:
    """Return the first keys of the shards that a command changes."""
    firsts_match = _FIRSTS.search(command)
    if firsts_match is not None:
        return set(_read_numbers(firsts_match[1]))
    return set(map(int, _FIRST.findall(command)))


def _read_added_shards(command: str) -> list[int]:
    """Return the first keys of the shards that a command adds."""
    count_match = _COUNT.search(command)
    if count_match is not None:
        return list_first_keys(int(count_match[1]))
    starts_match = _STARTS.search(command)
    return _read_numbers(starts_match[1]) if starts_match else []


def _read_numbers(text: str) -> list[int]:
    return [int(number) for number in re.findall(r'\d+', text)]
