"""Decides in which order a leader answers check-ins, and which it puts off.

A leader answers check-ins after everything else that has arrived: votes and
entries of the log, heartbeats of entry VMs, orders and departures. What can't
be answered before the upstream stops waiting gets an answer that costs nothing
to find: it confirms that the upstream was heard and renews nothing. A refusal
would make the upstream call all other VMs in turn, each over a new connection.

The loads that this answers: thousands of check-ins at once after a start or an
election, and more check-ins than one process can answer.
"""

from collections import deque
from typing import Final

from ibisjunction.coordination.calls import Call, CheckedIn, CheckIn
from ibisjunction.coordination.messages import ForwardedCall

#: An upstream waits a second for its answer. The rest is left for both ways
#: between the VMs and for the work on the answer.
MAX_WAIT_MS: Final = 600
#: Upstreams check in with the leader itself as long as they are so few that
#: their connections and requests cost it little; more stay with the VMs that
#: they called, which pass on their check-ins.
_MAX_DIRECT_PER_S: Final = 300
_MS_PER_S: Final = 1000
#: The answer to a check-in that is put off.
PUT_OFF: Final = CheckedIn('', is_renewal=False)


class CheckInQueue:
    """The check-ins that a leader has not looked at, the oldest first."""

    def __init__(self) -> None:
        """Start without check-ins."""
        # Each with the time of its arrival.
        self._queue: deque[tuple[int, ForwardedCall]] = deque()
        #: Check-ins that were put off since the start.
        self.put_off_count = 0

    def __len__(self) -> int:
        """Return the number of check-ins that wait."""
        return len(self._queue)

    def add(self, call: ForwardedCall, now: int) -> None:
        """Add a check-in that arrived now."""
        self._queue.append((now, call))

    def take_late(self, now: int) -> list[ForwardedCall]:
        """Remove and return the check-ins that are to be put off."""
        late = []
        while self._queue and now >= self._queue[0][0] + MAX_WAIT_MS:
            late.append(self._queue.popleft()[1])
        self.put_off_count += len(late)
        return late

    def take(self, limit: int | None = None) -> list[ForwardedCall]:
        """Remove and return the oldest check-ins.

        :param limit: largest number of them; by default all.
        """
        count = len(self._queue)
        if limit is not None:
            count = min(count, limit)
        return [self._queue.popleft()[1] for _ in range(count)]


def is_deferrable(call: Call) -> bool:
    """Return whether a call may be put off.

    A departure may not: its confirmation promises that requests stop. Nor may
    a check-in that names released keys, because the upstream names them only
    until it is answered.
    """
    match call:
        case CheckIn(is_draining=is_draining, freed=freed):
            return not is_draining and not freed
        case _:
            return False


def choose_endpoint(leader: str, upstream_count: int, check_in_ms: int) -> str:
    """Return the VM for the later check-ins of an upstream.

    :param upstream_count: number of upstreams of the whole fleet.
    :param check_in_ms: interval of their check-ins.
    :return: empty if the upstream is to stay with the VM that it called.
    """
    per_s = upstream_count * _MS_PER_S / check_in_ms
    return leader if per_s <= _MAX_DIRECT_PER_S else ''
