"""Commands that show the state of a deployment."""

import sys
import time
from dataclasses import dataclass
from typing import Annotated, Final
from urllib.parse import quote

import cappa
import msgspec

from ibisjunction.admin.model import KeyAnswer, StatusAnswer, VmsAnswer
from ibisjunction.cli.connection import (
    EXIT_INVALID,
    CommandError,
    Connection,
    print_json,
)
from ibisjunction.events import Event

_FOLLOW_INTERVAL_S: Final = 1.0


@cappa.command(name='status')
@dataclass
class StatusCommand:
    """Show upstreams, their shards and dispatchers, and the revision."""

    connection: Annotated[Connection, cappa.Arg.destructured()]
    follow: Annotated[
        bool,
        cappa.Arg(long=True, help='Show the status again each second.'),
    ] = False

    def __call__(self) -> int:
        """Print the status, once or until interrupted."""
        api = self.connection.make_api()
        while True:
            answer = api.fetch('GET', '/v1/status', StatusAnswer)
            self._print(answer)
            if not self.follow:
                return 0
            time.sleep(_FOLLOW_INTERVAL_S)

    def _print(self, answer: StatusAnswer) -> None:
        if self.connection.json:
            print_json(answer)
            return
        ready = 'ready' if answer.ready else 'not ready'
        sys.stdout.write(
            f'{answer.vm}: {ready}, revision {answer.revision},'
            f' control log index {answer.index}\n',
        )
        rows = [
            (
                status.upstream,
                status.service,
                status.address,
                str(status.shards),
                status.dispatcher or '-',
                'draining' if status.draining else '',
            )
            for status in answer.upstreams
        ]
        header = (
            'UPSTREAM',
            'SERVICE',
            'ADDRESS',
            'SHARDS',
            'DISPATCHER',
            'STATE',
        )
        print_table([header, *rows])


@cappa.command(name='vms')
@dataclass
class VmsCommand:
    """Show the VMs and which revision is in force on each."""

    connection: Annotated[Connection, cappa.Arg.destructured()]

    def __call__(self) -> int:
        """Print the VMs as they last reported to the leader."""
        answer = self.connection.make_api().fetch('GET', '/v1/vms', VmsAnswer)
        if self.connection.json:
            print_json(answer)
            return 0
        rows = [
            (
                status.vm,
                status.failure_domain,
                'live' if status.live else 'lost',
                '-' if status.revision is None else str(status.revision),
            )
            for status in answer.vms
        ]
        print_table([('VM', 'FAILURE DOMAIN', 'STATE', 'REVISION'), *rows])
        return 0


@cappa.command(name='explain-key')
@dataclass
class ExplainKeyCommand:
    """Show the shard, owner, fence and dispatcher of a key."""

    service: str
    key: str
    connection: Annotated[Connection, cappa.Arg.destructured()]

    def __call__(self) -> int:
        """Print the placement of the key."""
        path = f'/v1/services/{quote(self.service)}/keys/{quote(self.key)}'
        answer = self.connection.make_api().fetch('GET', path, KeyAnswer)
        if self.connection.json:
            print_json(answer)
            return 0
        fields = msgspec.structs.asdict(answer)
        for name, value in fields.items():
            text = '-' if value is None else value
            sys.stdout.write(f'{name}: {text}\n')
        return 0


@cappa.command(name='explain-event')
@dataclass
class ExplainEventCommand:
    """Explain a numbered log event, for example E501."""

    number: str

    def __call__(self) -> int:
        """Print the summary of the event."""
        number_text = self.number.upper().removeprefix('E')
        for event in Event:
            if str(event.number) == number_text:
                sys.stdout.write(f'E{event.number}: {event.summary}\n')
                return 0
        raise CommandError(
            f'{self.number}: there is no such event; docs/log-events.md lists'
            ' them all',
            EXIT_INVALID,
        )


def print_table(rows: list[tuple[str, ...]]) -> None:
    """Print rows with aligned columns; the first row is the header."""
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        cells = map(str.ljust, row, widths)
        line = '  '.join(cells).rstrip()
        sys.stdout.write(f'{line}\n')
