"""Chooses the entry VM through which a partitioned VM reaches the leader."""

from typing import Final

from ibisjunction.entry.following.heartbeats import HEARTBEAT_MS

#: Shortest time without an answer of a leader after which a relay is used. An
#: election takes about 1 s, and no other VM reaches a leader before it ends.
_MIN_LEADER_TIMEOUT_MS: Final = 1000
#: A leader that has not answered for three heartbeats is asked through a relay,
#: and a relay that has not is replaced by the next VM.
_MISSED_HEARTBEATS: Final = 3


class RelayChooser:
    """Tries the other entry VMs in turn until one relays an answer."""

    def __init__(self, now: int) -> None:
        """Start with a leader that counts as reachable."""
        self._timeout_ms = HEARTBEAT_MS * _MISSED_HEARTBEATS
        self._leader_answered_ms = now
        self._relay = ''
        #: Time of the last answer of the relay, or when it was chosen.
        self._relay_answered_ms = now

    def set_heartbeat(self, heartbeat_ms: int) -> None:
        """Set the interval of heartbeats."""
        self._timeout_ms = heartbeat_ms * _MISSED_HEARTBEATS

    def record_leader_answer(self, now: int) -> None:
        """Record that an answer came directly from the leader."""
        self._leader_answered_ms = now

    def record_relay_answer(self, vm: str, now: int) -> None:
        """Record that an answer came through another VM."""
        if vm == self._relay:
            self._relay_answered_ms = now

    def is_leader_reachable(self, now: int) -> bool:
        """Return whether the leader has recently answered directly."""
        timeout_ms = max(_MIN_LEADER_TIMEOUT_MS, self._timeout_ms)
        return now < self._leader_answered_ms + timeout_ms

    def choose(self, vms: tuple[str, ...], now: int) -> str:
        """Return the relay; empty if none is needed or available.

        :param vms: the other entry VMs.
        """
        if self.is_leader_reachable(now) or not vms:
            return ''
        is_silent = now >= self._relay_answered_ms + self._timeout_ms
        if self._relay not in vms or is_silent:
            position = vms.index(self._relay) + 1 if self._relay in vms else 0
            self._relay = vms[position % len(vms)]
            self._relay_answered_ms = now
        return self._relay
