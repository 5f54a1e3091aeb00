"""Tracks the control leader on a daemon."""

from typing import Final

#: Heartbeats without an answer after which the leader counts as unknown.
_MISSED_HEARTBEATS: Final = 3
#: Voters that get each heartbeat while the leader is unknown. If all voters got
#: each heartbeat, every change of leader would multiply the load of a voter by
#: the number of voters.
_PROBED_VOTERS: Final = 2


class LeaderTracker:
    """Determines the leader with few messages.

    Heartbeats go to the leader only. While it is unknown, each goes to the next
    two voters in turn, and to the VM that a voter named as leader.
    """

    def __init__(self, heartbeat_ms: int) -> None:
        """Start without a leader."""
        self._timeout_ms = heartbeat_ms * _MISSED_HEARTBEATS
        self._leader: str | None = None
        self._last_message_at = 0
        self._hint: str | None = None
        self._term = 0
        self._next_voter = 0

    def set_heartbeat(self, heartbeat_ms: int) -> None:
        """Set the interval of heartbeats."""
        self._timeout_ms = heartbeat_ms * _MISSED_HEARTBEATS

    def record_leader(self, vm: str, term: int, now: int) -> None:
        """Record a message that only a leader sends."""
        if term >= self._term:
            self._leader = vm
            self._term = term
            self._last_message_at = now

    def record_hint(self, vm: str, term: int) -> None:
        """Record the VM that a voter named as the leader."""
        if term >= self._term:
            self._hint = vm

    def find_leader(self, now: int) -> str | None:
        """Return the leader, or ``None`` if it sent no message recently."""
        if now >= self._last_message_at + self._timeout_ms:
            return None
        return self._leader

    def choose_targets(self, voters: tuple[str, ...], now: int) -> set[str]:
        """Return the VMs to send the next heartbeat to."""
        leader = self.find_leader(now)
        if leader is not None:
            return {leader}
        targets = {self._hint} if self._hint else set()
        for _ in range(min(_PROBED_VOTERS, len(voters))):
            targets.add(voters[self._next_voter % len(voters)])
            self._next_voter += 1
        self._hint = None
        return targets
