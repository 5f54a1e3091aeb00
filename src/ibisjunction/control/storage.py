"""The files of one replica: identity, log and snapshot.

All calls block until the data is durable; :class:`StorageTask` runs them in a
worker thread. ``snapshot-N`` and ``log-N`` belong together: the log holds the
votes and entries written after the snapshot. The pair of the snapshot with the
highest number is in use; other logs and snapshots are removed.
"""

import contextlib
import fcntl
import os
import re
import secrets
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import msgspec

from ibisjunction.control.effects import (
    AppendLog,
    InstallState,
    SaveVote,
    Write,
)
from ibisjunction.control.frames import (
    CorruptFileError,
    FolderInUseError,
    StorageError,
    make_frame,
    read_frames,
)
from ibisjunction.control.protocol import (
    Entry,
    Snapshot,
    Voters,
)
from ibisjunction.control.roles import StoredState

_FOLDER: Final = 'control'
_IDENTITY: Final = 'identity'
_PENDING_SUFFIX: Final = '.pending'
_DISK_NAME_BYTES: Final = 4
#: Finds the numbers in file names that are joined by spaces; names with the
#: pending suffix don't match.
_SNAPSHOT_NUMBER: Final = re.compile(r'\bsnapshot-(\d+)(?= |$)')


class Identity(msgspec.Struct, frozen=True):
    """The replica that a disk belongs to, and its VM."""

    node: str
    vm: str


class _Vote(msgspec.Struct, frozen=True, array_like=True, tag='vote'):
    term: int
    vote: str


class _Append(msgspec.Struct, frozen=True, array_like=True, tag='append'):
    first_index: int
    entries: tuple[Entry, ...]


_Batch = list[_Vote | _Append]


@dataclass(frozen=True, slots=True)
class ReplaceLog:
    """Make a snapshot durable and drop the log before it.

    ``entries`` are the entries after the snapshot.
    """

    snapshot: Snapshot
    entries: tuple[Entry, ...]


def initialise(data_folder: Path, vm: str, voters: Voters) -> Identity:
    """Create the files of a voter of a new deployment.

    :raises StorageError: if the folder holds files of a replica.
    """
    return _create(data_folder, Identity(vm, vm), voters)


def join(data_folder: Path, vm: str) -> Identity:
    """Create the files of a replica that becomes a voter later.

    Its random name differs from the name of every other disk, so that votes of
    a disk that was lost are not confused with its own.

    :raises StorageError: if the folder holds files of a replica.
    """
    node = f'{vm}/{secrets.token_hex(_DISK_NAME_BYTES)}'
    return _create(data_folder, Identity(node, vm), ())


def find_identity(data_folder: Path) -> Identity | None:
    """Return the identity of a disk, or ``None`` if it has none.

    :raises StorageError: if the file is damaged.
    """
    path = data_folder / _FOLDER / _IDENTITY
    if not path.exists():
        return None
    payload = _read_single_frame(path)
    try:
        return msgspec.json.decode(payload, type=Identity)
    except msgspec.DecodeError as error:
        raise CorruptFileError(path, 0, str(error)) from error


class LogFolder:
    """The open files of one replica."""

    def __init__(self, folder: Path) -> None:
        """Open the files and truncate an unfinished last frame.

        :raises StorageError: if they are missing or damaged.
        """
        self._folder = folder
        self._generation = _find_generation(folder)
        snapshot = _read_snapshot(folder / f'snapshot-{self._generation}')
        path = folder / f'log-{self._generation}'
        self._restorer = _Restorer(path, snapshot)
        complete_bytes = self._restorer.read()
        self._log = os.open(path, os.O_WRONLY | os.O_APPEND)
        os.ftruncate(self._log, complete_bytes)
        os.fsync(self._log)
        # Length of the frames that are durable.
        self._durable_bytes = complete_bytes
        self._remove_other_generations()

    def load(self) -> StoredState:
        """Return the stored state; must be called before the first write."""
        return self._restorer.stored

    def write(self, writes: Iterable[Write]) -> None:
        """Make writes durable, in their order."""
        batch: _Batch = []
        for item in writes:
            match item:
                case SaveVote(term=term, vote=vote):
                    self._restorer.vote = _Vote(term, vote)
                    batch.append(self._restorer.vote)
                case AppendLog(first_index=first_index, entries=entries):
                    batch.append(_Append(first_index, entries))
                case InstallState(snapshot=snapshot, entries=entries):
                    self._flush(batch)
                    batch = []
                    self.replace(ReplaceLog(snapshot, entries))
        self._flush(batch)

    def replace(self, change: ReplaceLog) -> None:
        """Start a new pair of files.

        The log is written first: once the snapshot exists, a restart uses this
        pair and needs both files. If that fails, another attempt replaces the
        files of this one.
        """
        generation = self._generation + 1
        first_index = change.snapshot.index + 1
        batch = [self._restorer.vote, _Append(first_index, change.entries)]
        log = self._folder / f'log-{generation}'
        _write_atomically(log, msgspec.msgpack.encode(batch))
        _write_atomically(
            self._folder / f'snapshot-{generation}',
            msgspec.msgpack.encode(change.snapshot),
        )
        self._generation = generation
        os.close(self._log)
        self._log = os.open(log, os.O_WRONLY | os.O_APPEND)
        self._durable_bytes = os.fstat(self._log).st_size
        self._remove_other_generations()

    def close(self) -> None:
        """Close the log file."""
        os.close(self._log)

    def _flush(self, batch: _Batch) -> None:
        """Write a batch as one frame, so it is read back whole or not at all.

        The caller may try again if that fails. What the attempt left behind is
        cut off first: a frame after an unfinished one could not be read back,
        and a refused sync may have lost a part of its frame.
        """
        if not batch:
            return
        frame = make_frame(msgspec.msgpack.encode(batch))
        if os.fstat(self._log).st_size > self._durable_bytes:
            os.ftruncate(self._log, self._durable_bytes)
        remaining = frame
        while remaining:
            remaining = remaining[os.write(self._log, remaining) :]
        os.fsync(self._log)
        self._durable_bytes += len(frame)

    def _remove_other_generations(self) -> None:
        for path in self._folder.iterdir():
            name, _, suffix = path.name.partition('-')
            if name in {'log', 'snapshot'} and suffix != str(self._generation):
                path.unlink()


@contextlib.contextmanager
def open_log(data_folder: Path) -> Iterator[LogFolder]:
    """Open a replica's files for the duration of the block.

    :raises StorageError: if another process uses them or they are damaged.
    """
    folder = data_folder / _FOLDER
    with (folder / 'lock').open('wb') as lock:
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            raise FolderInUseError(folder) from error
        log = LogFolder(folder)
        try:
            yield log
        finally:
            log.close()


class _Restorer:
    """Restores the state of a replica from a snapshot and a log file."""

    def __init__(self, path: Path, snapshot: Snapshot) -> None:
        self.vote = _Vote(0, '')
        self._path = path
        self._snapshot = snapshot
        self._entries: list[Entry] = []

    @property
    def stored(self) -> StoredState:
        """The state that the records read so far result in."""
        return StoredState(
            self.vote.term,
            self.vote.vote,
            self._snapshot,
            tuple(self._entries),
        )

    def read(self) -> int:
        """Read the file and return the length of its complete frames."""
        data = self._path.read_bytes()
        if not data:
            raise CorruptFileError(self._path, 0, 'the file is empty')
        start = 0
        for end, payload in read_frames(self._path, data):
            self._apply(payload, start)
            start = end
        return start

    def _apply(self, payload: bytes, offset: int) -> None:
        try:
            batch = msgspec.msgpack.decode(payload, type=_Batch)
        except msgspec.DecodeError as error:
            raise CorruptFileError(self._path, offset, str(error)) from error
        for record in batch:
            match record:
                case _Vote():
                    self.vote = record
                case _Append():
                    self._append(record, offset)

    def _append(self, record: _Append, offset: int) -> None:
        kept_count = record.first_index - self._snapshot.index - 1
        if not 0 <= kept_count <= len(self._entries):
            detail = f'entry {record.first_index} does not follow the log'
            raise CorruptFileError(self._path, offset, detail)
        if kept_count < len(self._entries):
            self._entries = self._entries[:kept_count]
        self._entries += record.entries


def _create(data_folder: Path, identity: Identity, voters: Voters) -> Identity:
    folder = data_folder / _FOLDER
    folder.mkdir(parents=True, exist_ok=True)
    if any(folder.iterdir()):
        raise StorageError(folder, 'already holds files of a replica')
    first_records = msgspec.msgpack.encode([_Vote(0, '')])
    _write_atomically(folder / 'log-0', first_records)
    first_state = msgspec.msgpack.encode(Snapshot(0, 0, voters, b''))
    _write_atomically(folder / 'snapshot-0', first_state)
    _write_atomically(folder / _IDENTITY, msgspec.json.encode(identity))
    _sync_folder(data_folder)
    return identity


def _find_generation(folder: Path) -> int:
    """Return the highest number of a snapshot."""
    names = ' '.join(path.name for path in folder.iterdir())
    numbers = [int(found) for found in _SNAPSHOT_NUMBER.findall(names)]
    if not numbers:
        raise StorageError(folder, 'the snapshot file is missing')
    generation = max(numbers)
    if not (folder / f'log-{generation}').exists():
        raise StorageError(folder, f'log-{generation} is missing')
    return generation


def _read_snapshot(path: Path) -> Snapshot:
    try:
        return msgspec.msgpack.decode(_read_single_frame(path), type=Snapshot)
    except msgspec.DecodeError as error:
        raise CorruptFileError(path, 0, str(error)) from error


def _read_single_frame(path: Path) -> bytes:
    """Return the payload of a file that holds exactly one frame."""
    data = path.read_bytes()
    frames = list(read_frames(path, data))
    end = frames[0][0] if frames else 0
    if len(frames) != 1 or end != len(data):
        raise CorruptFileError(path, end, 'expected exactly one record')
    return frames[0][1]


def _write_atomically(path: Path, payload: bytes) -> None:
    """Write a file of one frame under a pending name, then rename it.

    After a crash the file exists completely or not at all.
    """
    pending = path.with_name(path.name + _PENDING_SUFFIX)
    with pending.open('wb') as target:
        target.write(make_frame(payload))
        target.flush()
        os.fsync(target.fileno())
    pending.rename(path)
    _sync_folder(path.parent)


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
