"""Events that stand-ins record: one JSON object per line.

A run has one line for its start and one for its end, so a run that a crash
interrupted has a start without an end. Times are milliseconds since boot,
which all processes of one machine share.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import IO

import msgspec


class RunStarted(msgspec.Struct, frozen=True, tag='started'):
    """A request took a slot.

    ``run`` is the name of the run: a prefix that its process chose at start,
    and a number.
    """

    run: str
    upstream: str
    request_id: str
    idempotency_key: str
    shard: str
    fence: int
    at_ms: int
    method: str
    target: str
    body_digest: str


class RunEnded(msgspec.Struct, frozen=True, tag='ended'):
    """A request left its slot; ``result`` is done or cancelled."""

    run: str
    at_ms: int
    result: str


class DrainStarted(msgspec.Struct, frozen=True, tag='draining'):
    """The upstream announced that it is draining."""

    upstream: str
    at_ms: int


RunEvent = RunStarted | RunEnded | DrainStarted


@dataclass(frozen=True, slots=True)
class Run:
    """One run; ``ended_ms`` is ``None`` if a crash interrupted it."""

    started: RunStarted
    ended_ms: int | None
    result: str = ''


class RunWriter:
    """Appends events to an open file."""

    def __init__(self, output: IO[bytes]) -> None:
        """Write to a file that the caller opens and closes."""
        self._output = output

    def write(self, event: RunEvent) -> None:
        """Append one line and flush it, so that it survives a process crash."""
        self._output.write(msgspec.json.encode(event) + b'\n')
        self._output.flush()


def read_events(paths: Iterable[Path]) -> list[RunEvent]:
    """Return the events of several files without partial last lines."""
    decoder = msgspec.json.Decoder(RunEvent)
    return [
        decoder.decode(line)
        for path in paths
        for line in path.read_bytes().splitlines(keepends=True)
        if line.endswith(b'\n')
    ]


def join_runs(events: Iterable[RunEvent]) -> list[Run]:
    """Pair the starts and ends of runs; return the runs by start time."""
    starts: list[RunStarted] = []
    ends: dict[str, RunEnded] = {}
    for event in events:
        match event:
            case RunStarted():
                starts.append(event)
            case RunEnded(run=run):
                ends[run] = event
    starts.sort(key=lambda started: started.at_ms)
    return [_join(started, ends.get(started.run)) for started in starts]


def _join(started: RunStarted, ended: RunEnded | None) -> Run:
    if ended is None:
        return Run(started, None)
    return Run(started, ended.at_ms, ended.result)
