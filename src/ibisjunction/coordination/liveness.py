"""What a leader knows of upstreams by their check-ins; not replicated."""

from dataclasses import dataclass, field

from ibisjunction.coordination.calls import CheckIn
from ibisjunction.fleet.model import Process, Shard, Upstream


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
    #: Fence and sequence of the last check-in that named a shard as held.
    _shown: dict[tuple[str, int], tuple[int, int]] = field(
        default_factory=dict,
    )

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
        seen = self._seen.get(upstream.process)
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

    def record_shown(self, service: str, shard: Shard, sequence: int) -> None:
        """Note that the owner said in a check-in that it holds a shard."""
        self._shown[(service, shard.first)] = (shard.fence, sequence)

    def find_shown(self, service: str, shard: Shard) -> int | None:
        """Return the sequence of a check-in in which the owner held a shard.

        Check-ins before that one say nothing of whether it gave the shard up:
        they may have been sent before it got the shard.
        """
        if shard.shown is not None:
            return shard.shown
        fence, sequence = self._shown.get((service, shard.first), (None, None))
        return sequence if fence == shard.fence else None

    def copy_to_part(self, service: str, first: int, start: int) -> None:
        """Let a part that begins at ``start`` keep what is known of a shard."""
        until = self._held_until.get((service, first))
        if until is not None:
            self._held_until[(service, start)] = until
        shown = self._shown.get((service, first))
        if shown is not None:
            self._shown[(service, start)] = shown
