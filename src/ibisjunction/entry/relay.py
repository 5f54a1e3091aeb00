"""Chooses the entry VM through which a cut-off VM reaches the leader."""

from typing import Final

#: Time without an answer of any leader after which another entry VM is asked.
#: An election takes about 1 s, and no other VM knows more until its end.
_RELAY_AFTER_MS: Final = 1000
#: A relay that has not answered for this long gives way to the next VM:
#: three heartbeats.
_ANSWER_MS: Final = 600


class RelayChooser:
    """Other entry VMs, asked in turn until one of them answers."""

    def __init__(self, now: int) -> None:
        """Take the leader for reachable until it is silent."""
        self._heard_ms = now
        self._relay = ''
        self._asked_ms = now

    def hear_leader(self, now: int) -> None:
        """Note a message that came from the leader itself."""
        self._heard_ms = now

    def hear_relay(self, vm: str, now: int) -> None:
        """Note an answer that came through another VM."""
        if vm == self._relay:
            self._asked_ms = now

    def is_reachable(self, now: int) -> bool:
        """Return whether the leader itself was heard a short time ago."""
        return now < self._heard_ms + _RELAY_AFTER_MS

    def choose(self, vms: tuple[str, ...], now: int) -> str:
        """Return the VM to ask; empty if none is needed or there is none.

        :param vms: the other entry VMs.
        """
        if self.is_reachable(now) or not vms:
            return ''
        is_silent = now >= self._asked_ms + _ANSWER_MS
        if self._relay not in vms or is_silent:
            position = vms.index(self._relay) + 1 if self._relay in vms else 0
            self._relay = vms[position % len(vms)]
            self._asked_ms = now
        return self._relay
