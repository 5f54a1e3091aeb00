"""What a leader knows of upstreams by their check-ins; not replicated."""

from dataclasses import dataclass, field

from ibisjunction.coordination.calls import CheckIn
from ibisjunction.fleet.model import Shard, Upstream

Process = tuple[str, int]


@dataclass(slots=True)
class _Seen:
    """The latest check-in of one process."""

    sequence: int
    at_ms: int


@dataclass(slots=True)
class Liveness:
    """Check-ins of processes, and until when shards may be held.

    ``hold_limit_ms`` bounds a hold on the leader's clock. Holds that an
    earlier leader granted may last until ``started_ms + hold_limit_ms``.
    """

    started_ms: int
    hold_limit_ms: int
    _seen: dict[Process, _Seen] = field(default_factory=dict)
    _held_until: dict[tuple[str, int], int] = field(default_factory=dict)

    def is_late(self, check_in: CheckIn) -> bool:
        """Return whether a later check-in of the process was seen before."""
        seen = self._seen.get((check_in.upstream, check_in.born))
        return seen is not None and check_in.sequence <= seen.sequence

    def record(self, check_in: CheckIn, now: int) -> None:
        """Record a check-in that is not late."""
        process = (check_in.upstream, check_in.born)
        self._seen[process] = _Seen(check_in.sequence, now)

    def silent_ms(self, upstream: Upstream, now: int) -> int:
        """Return how long ago a process checked in, as far as known."""
        seen = self._seen.get((upstream.upstream, upstream.born))
        if seen is None:
            return now - self.started_ms
        return now - seen.at_ms

    def extend_hold(self, service: str, shard: Shard, now: int) -> None:
        """Note that a hold of a shard is being granted."""
        key = (service, shard.first)
        self._held_until[key] = now + self.hold_limit_ms

    def is_held(self, service: str, shard: Shard, now: int) -> bool:
        """Return whether the owner may hold a shard or part of it."""
        default = self.started_ms + self.hold_limit_ms
        return now < self._held_until.get((service, shard.first), default)

    def copy_hold(self, service: str, first: int, start: int) -> None:
        """Let the part of a shard that begins at ``start`` keep its hold."""
        until = self._held_until.get((service, first))
        if until is not None:
            self._held_until[(service, start)] = until
