"""Decides which part of the leader's state each daemon gets, and when.

Each entry is sent once to each process of a daemon. More is sent only as the
daemon reports progress, so what is under way to it is bounded in bytes however
slow its link is. What it misses is sent again only if it reports no progress
for long, since the links between daemons deliver in order by themselves.
"""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Final

from ibisjunction.control.messages import CommittedEntries, StateSnapshot
from ibisjunction.control.replica_log import ReplicaLog

#: Entries per message; a daemon that misses more gets the whole state.
_MAX_ENTRIES: Final = 512
#: Bytes under way to one daemon. A larger entry or state is sent by itself.
WINDOW_BYTES: Final = 65_536
#: Time without progress after which a daemon gets again what it misses. It
#: grows with what is under way: a slow link carries 32 bytes in a millisecond.
_RETRY_MS: Final = 2000
_MIN_LINK_BYTES_PER_MS: Final = 32
#: Each further time without progress doubles the wait, at most this often.
_MAX_DOUBLINGS: Final = 3
#: Daemons that may catch up at the same time. Their messages differ, while
#: new entries are the same message for all.
MAX_CATCHING_UP: Final = 64
#: Time for which an encoded state is sent to further daemons. Entries since
#: then follow it.
_SNAPSHOT_REUSE_MS: Final = 1000

StateMessage = CommittedEntries | StateSnapshot


@dataclass(frozen=True, slots=True)
class DaemonReport:
    """What one process of a daemon reported to have applied.

    ``is_relayed`` is set if another VM passed the report on. The daemon may
    send reports on both ways at once, while answers get lost on one of them, so
    each way has a progress of its own.
    """

    vm: str
    is_relayed: bool
    incarnation: int
    applied_index: int


@dataclass(frozen=True, slots=True)
class LeaderState:
    """The log, the index of the last committed entry, and the state there."""

    replica_log: ReplicaLog
    commit_index: int
    encode: Callable[[], bytes]


@dataclass(slots=True)
class _Progress:
    """What was sent to one process of a daemon on one way.

    ``under_way`` lists the last index and the size of each message that the
    daemon has not applied. It catches up until it has applied
    ``catch_up_index``.
    """

    incarnation: int
    applied_index: int
    sent_index: int
    progressed_ms: int
    doublings: int = 0
    catch_up_index: int = 0
    under_way: deque[tuple[int, int]] = field(default_factory=deque)

    @property
    def size(self) -> int:
        """Bytes under way."""
        return sum(size for _, size in self.under_way)

    def has_room(self, size: int) -> bool:
        """Return whether a message of this size may be sent now."""
        return not self.under_way or self.size + size <= WINDOW_BYTES

    def record_applied(self, index: int, now: int) -> None:
        """Record what the daemon has applied."""
        self.sent_index = max(self.sent_index, index)
        if index <= self.applied_index:
            return
        self.applied_index = index
        self.progressed_ms = now
        self.doublings = 0
        while self.under_way and self.under_way[0][0] <= index:
            self.under_way.popleft()

    def record_sent(self, last_index: int, size: int, now: int) -> None:
        """Record a message."""
        if not self.under_way:
            self.progressed_ms = now
        self.sent_index = last_index
        self.under_way.append((last_index, size))

    def is_stalled(self, now: int) -> bool:
        """Return whether the daemon has made no progress for long."""
        wait_ms = _RETRY_MS + self.size // _MIN_LINK_BYTES_PER_MS
        wait_end_ms = self.progressed_ms + wait_ms * 2**self.doublings
        return bool(self.under_way) and now >= wait_end_ms

    def is_catching_up(self, now: int) -> bool:
        """Return whether the daemon is expected to catch up soon."""
        is_behind = self.applied_index < self.catch_up_index
        return is_behind and not self.is_stalled(now)

    def restart(self) -> None:
        """Forget what was sent, so that it is sent again."""
        self.under_way.clear()
        self.sent_index = self.applied_index
        self.doublings = min(self.doublings + 1, _MAX_DOUBLINGS)


class Distribution:
    """Tracks what each daemon was sent, and chooses the next message."""

    def __init__(self) -> None:
        """Start without daemons."""
        self._progress: dict[tuple[str, bool], _Progress] = {}
        self._snapshot: StateSnapshot | None = None
        self._snapshot_ms = 0

    @property
    def size(self) -> int:
        """Bytes under way to all daemons."""
        return sum(progress.size for progress in self._progress.values())

    def choose_missing(
        self,
        report: DaemonReport,
        state: LeaderState,
        now: int,
    ) -> StateMessage | None:
        """Return what to send next to a daemon that sent a report."""
        progress = self._update_progress(report, now)
        if progress.is_stalled(now):
            progress.restart()
        if progress.sent_index >= state.commit_index:
            return None
        if not progress.is_catching_up(now) and self._is_full(now):
            return None
        message = self._make_message(progress.sent_index, state, now)
        size = _measure(message)
        if not progress.has_room(size):
            return None
        progress.record_sent(find_last_index(message), size, now)
        progress.catch_up_index = progress.sent_index
        return message

    def list_recipients(self, message: CommittedEntries, now: int) -> list[str]:
        """Return the daemons that get new entries, and record that they do.

        They have been sent all entries before these, and their windows have
        room. The others get the entries when they report progress.
        """
        size = _measure(message)
        recipients = []
        for (vm, is_relayed), progress in self._progress.items():
            is_next = progress.sent_index == message.first_index - 1
            if not is_relayed and is_next and progress.has_room(size):
                progress.record_sent(find_last_index(message), size, now)
                recipients.append(vm)
        return recipients

    def remove_absent(self, vms: frozenset[str]) -> None:
        """Forget the daemons that are not among ``vms``."""
        self._progress = {
            key: progress
            for key, progress in self._progress.items()
            if key[0] in vms
        }

    def _update_progress(self, report: DaemonReport, now: int) -> _Progress:
        key = (report.vm, report.is_relayed)
        progress = self._progress.get(key)
        if progress is None or progress.incarnation < report.incarnation:
            progress = _Progress(
                report.incarnation,
                report.applied_index,
                report.applied_index,
                now,
            )
            self._progress[key] = progress
        progress.record_applied(report.applied_index, now)
        return progress

    def _is_full(self, now: int) -> bool:
        """Return whether enough daemons catch up at the moment."""
        catching_up = sum(
            progress.is_catching_up(now) for progress in self._progress.values()
        )
        return catching_up >= MAX_CATCHING_UP

    def _make_message(
        self, sent_index: int, state: LeaderState, now: int
    ) -> StateMessage:
        replica_log = state.replica_log
        is_in_log = sent_index and sent_index >= replica_log.base_index
        if is_in_log and state.commit_index - sent_index <= _MAX_ENTRIES:
            first = sent_index + 1
            entries = replica_log.read(first, state.commit_index)
            commands = [entry.command for entry in entries]
            run = next(split_commands(commands))
            return CommittedEntries(
                first, run, wants_report=len(run) < len(commands)
            )
        return self._make_snapshot(sent_index, state, now)

    def _make_snapshot(
        self, sent_index: int, state: LeaderState, now: int
    ) -> StateSnapshot:
        """Encode the state, or return a recent encoding of it."""
        snapshot = self._snapshot
        first_usable = max(sent_index + 1, state.replica_log.base_index)
        if (
            snapshot is None
            or now >= self._snapshot_ms + _SNAPSHOT_REUSE_MS
            or snapshot.index < first_usable
        ):
            snapshot = StateSnapshot(state.commit_index, state.encode())
            self._snapshot = snapshot
            self._snapshot_ms = now
        return snapshot


def _measure(message: StateMessage) -> int:
    """Return the bytes of a message without its envelope."""
    match message:
        case CommittedEntries(commands=commands):
            return sum(len(command) for command in commands)
        case StateSnapshot(state=encoded):
            return len(encoded)


def find_last_index(message: StateMessage) -> int:
    """Return the index of the last entry that a message contains."""
    match message:
        case CommittedEntries(first_index=first_index, commands=commands):
            return first_index + len(commands) - 1
        case StateSnapshot(index=index):
            return index


def split_commands(commands: list[bytes]) -> Iterator[list[bytes]]:
    """Yield runs of commands that fill a window, at least one in each."""
    run: list[bytes] = []
    size = 0
    for command in commands:
        if run and size + len(command) > WINDOW_BYTES:
            yield run
            run = []
            size = 0
        run.append(command)
        size += len(command)
    yield run
