"""How a follower takes entries and snapshots of the leader."""

from ibisjunction.control.effects import InstallState
from ibisjunction.control.protocol import (
    AppendAnswer,
    AppendEntries,
    Entry,
    InstallSnapshot,
    Snapshot,
)
from ibisjunction.control.replica_core import ReplicaCore
from ibisjunction.control.roles import Follower


class Following:
    """Keeps the log equal to the leader's."""

    def __init__(self, core: ReplicaCore) -> None:
        """Share the state of the replica."""
        self._core = core

    def accept(
        self,
        source: str,
        message: AppendEntries | InstallSnapshot,
        now: int,
    ) -> None:
        """Take a message of a leader and answer it."""
        core = self._core
        core.adopt(message.term)
        if message.term < core.term:
            refusal = AppendAnswer(core.term, message.sent_at, False, 0)
            core.send(source, refusal)
            return
        core.heard_at = now
        core.restart_timeout(now)
        follower = self._follow(source, message.sent_at)
        match message:
            case AppendEntries():
                self._take_entries(follower, message)
            case InstallSnapshot(snapshot=snapshot):
                self._take_snapshot(follower, snapshot)

    def acknowledge(self, follower: Follower) -> None:
        """Tell the leader what is durable here."""
        if follower.leader is None:
            return
        core = self._core
        index = min(core.durability.index, follower.verified)
        answer = AppendAnswer(core.term, follower.sent_at, True, index)
        core.send(follower.leader, answer)

    def _follow(self, source: str, sent_at: int) -> Follower:
        role = self._core.role
        if isinstance(role, Follower) and role.leader == source:
            role.sent_at = max(role.sent_at, sent_at)
            return role
        follower = Follower(source, 0, sent_at)
        self._core.role = follower
        return follower

    def _take_entries(
        self,
        follower: Follower,
        message: AppendEntries,
    ) -> None:
        core = self._core
        previous = message.previous_index
        if not self._agrees(previous, message.previous_term):
            refusal = AppendAnswer(
                core.term,
                message.sent_at,
                False,
                self._suggest(previous),
            )
            core.send(follower.leader or '', refusal)
            return
        self._add_new(previous + 1, message.entries)
        verified = previous + len(message.entries)
        follower.verified = max(follower.verified, verified)
        core.commit(min(message.commit_index, follower.verified))
        self.acknowledge(follower)

    def _agrees(self, index: int, term: int) -> bool:
        """Return whether the log up to ``index`` is the leader's."""
        if index <= self._core.commit_index:
            return True
        return self._core.history.term_at(index) == term

    def _suggest(self, index: int) -> int:
        """Return where the leader's and this log may agree."""
        history = self._core.history
        if index > history.last_index:
            return history.last_index
        return history.find_conflict(index)

    def _add_new(self, first: int, entries: tuple[Entry, ...]) -> None:
        """Add the entries that the log lacks, replacing those that differ."""
        core = self._core
        for index, entry in enumerate(entries, first):
            is_known = core.history.term_at(index) == entry.term
            if index > core.commit_index and not is_known:
                core.write_log(index, entries[index - first :])
                return

    def _take_snapshot(self, follower: Follower, snapshot: Snapshot) -> None:
        core = self._core
        if snapshot.index > core.commit_index:
            rest = core.history.install(snapshot)
            # Entries that are not committed may differ from the leader's.
            number = core.durability.start_append(
                core.commit_index + 1,
                core.history.last_index,
            )
            core.commit_index = snapshot.index
            core.effects.append(InstallState(number, snapshot, rest))
        follower.verified = max(follower.verified, snapshot.index)
        self.acknowledge(follower)
