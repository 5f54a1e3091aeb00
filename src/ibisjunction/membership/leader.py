"""Which VM a daemon takes for the control leader."""

from typing import Final

#: Heartbeats without an answer after which the leader counts as unknown.
_MISSED_HEARTBEATS: Final = 3
#: Voters asked with each heartbeat while the leader is unknown. Asking all
#: would multiply the load on the voters by their number at each change.
_ASKED: Final = 2


class LeaderTracker:
    """Finds the leader with few messages.

    Heartbeats go to the leader only. While it is unknown they go to two voters
    in turn, and to the one that a voter named.
    """

    def __init__(self, heartbeat_ms: int) -> None:
        """Start without a leader."""
        self._limit_ms = heartbeat_ms * _MISSED_HEARTBEATS
        self._leader: str | None = None
        self._heard_at = 0
        self._hint: str | None = None
        self._term = 0
        self._next = 0

    def hear(self, vm: str, term: int, now: int) -> None:
        """Record a message that only a leader sends."""
        if term >= self._term:
            self._leader = vm
            self._term = term
            self._heard_at = now

    def take_hint(self, vm: str, term: int) -> None:
        """Record which VM another voter takes for the leader."""
        if term >= self._term:
            self._hint = vm

    def find(self, now: int) -> str | None:
        """Return the leader if it answered recently."""
        if now >= self._heard_at + self._limit_ms:
            return None
        return self._leader

    def choose_targets(self, voters: tuple[str, ...], now: int) -> set[str]:
        """Return the VMs to send the next heartbeat to."""
        leader = self.find(now)
        if leader is not None:
            return {leader}
        targets = {self._hint} if self._hint else set()
        for _ in range(min(_ASKED, len(voters))):
            targets.add(voters[self._next % len(voters)])
            self._next += 1
        self._hint = None
        return targets
