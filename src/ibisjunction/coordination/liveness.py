"""Tracks check-ins of upstreams and the ends of holds; not replicated."""

from dataclasses import dataclass, field

from ibisjunction.coordination.calls import CheckIn
from ibisjunction.fleet.model import ProcessKey, Shard, Upstream


@dataclass(slots=True)
class _LatestCheckIn:
    """The latest check-in of one process."""

    sequence: int
    received_ms: int


@dataclass(slots=True)
class Liveness:
    """Latest check-ins of processes, and the latest ends of holds of shards.

    ``started_ms`` is the start of the leader's term, and ``hold_limit_ms``
    bounds a hold on the leader's clock. Holds that an earlier leader granted
    may last until ``started_ms + hold_limit_ms``.
    """

    started_ms: int
    hold_limit_ms: int
    _latest: dict[ProcessKey, _LatestCheckIn] = field(default_factory=dict)
    _hold_ends_ms: dict[tuple[str, int], int] = field(default_factory=dict)
    #: Fence and sequence of the last check-in that reported a shard as held.
    _reported_holds: dict[tuple[str, int], tuple[int, int]] = field(
        default_factory=dict,
    )

    def is_late(self, check_in: CheckIn) -> bool:
        """Return whether a later check-in of the process has arrived before."""
        latest = self._latest.get((check_in.upstream, check_in.born))
        return latest is not None and check_in.sequence <= latest.sequence

    def record_check_in(self, check_in: CheckIn, now: int) -> None:
        """Record a check-in that is not late."""
        process_key = (check_in.upstream, check_in.born)
        self._latest[process_key] = _LatestCheckIn(check_in.sequence, now)

    def silent_ms(self, upstream: Upstream, now: int) -> int:
        """Return the time since the last check-in of a process.

        Without a check-in, it counts from the start of the term.
        """
        latest = self._latest.get(upstream.process_key)
        if latest is None:
            return now - self.started_ms
        return now - latest.received_ms

    def extend_hold(self, service: str, shard: Shard, now: int) -> None:
        """Record that a hold of a shard is granted now."""
        key = (service, shard.first)
        self._hold_ends_ms[key] = now + self.hold_limit_ms

    def is_held(self, service: str, shard: Shard, now: int) -> bool:
        """Return whether the owner may still hold a shard or part of it."""
        default = self.started_ms + self.hold_limit_ms
        return now < self._hold_ends_ms.get((service, shard.first), default)

    def record_reported_hold(
        self, service: str, shard: Shard, sequence: int
    ) -> None:
        """Record that the owner reported a shard as held in a check-in."""
        self._reported_holds[(service, shard.first)] = (shard.fence, sequence)

    def find_reporting_sequence(self, service: str, shard: Shard) -> int | None:
        """Return the sequence of a check-in that reported a shard as held.

        Check-ins before that one don't prove that the owner gave the shard up:
        they may have been sent before it got the shard.
        """
        if shard.shown is not None:
            return shard.shown
        fence, sequence = self._reported_holds.get(
            (service, shard.first), (None, None)
        )
        return sequence if fence == shard.fence else None

    def copy_hold_to_split_shard(
        self, service: str, original_first: int, split_first: int
    ) -> None:
        """Copy the hold of a shard to a shard that was split off from it.

        The check-in that reported the original as held is copied too.

        :param original_first: first key of the original shard.
        :param split_first: first key of the shard that was split off.
        """
        end_ms = self._hold_ends_ms.get((service, original_first))
        if end_ms is not None:
            self._hold_ends_ms[(service, split_first)] = end_ms
        reported_hold = self._reported_holds.get((service, original_first))
        if reported_hold is not None:
            self._reported_holds[(service, split_first)] = reported_hold
