"""Determines on the control leader which ownerships have certainly ended."""

import math
from dataclasses import dataclass

from ibisjunction.control.state import ControlState
from ibisjunction.ownership.messages import ShardReleased, UpstreamLost
from ibisjunction.settings import TimingSettings


@dataclass(frozen=True, slots=True)
class _Loss:
    """A lost upstream; its grant lease ends by ``expires_at``."""

    report: UpstreamLost
    expires_at: int


class LossTable:
    """Reports of lost upstreams and released shards.

    An upstream that checks fences runs no requests once its grant lease has
    ended. An upstream that doesn't may get a late request until every VM has
    applied the start of the move or has lost its lease, which takes at most one
    VM lease after the start is committed.
    """

    def __init__(self, timing: TimingSettings) -> None:
        """Start without reports; dispatchers repeat their reports."""
        self._clock_error = timing.clock_error
        self._vm_lease_ms = self._add_clock_error(timing.vm_lease_ms)
        self._losses: dict[str, _Loss] = {}
        self._released_fences: set[int] = set()
        self._moving_since: dict[int, int] = {}

    def record_release(self, released: ShardReleased) -> None:
        """Record a dispatcher's report that a moving shard is released."""
        self._released_fences.add(released.fence)

    def record_loss(self, report: UpstreamLost, now: int) -> None:
        """Record a lost upstream and the end of its grant lease.

        The first report of a loss has the tightest bound on that end.
        """
        recorded = self._losses.get(report.upstream)
        if recorded is not None and _is_same_loss(recorded.report, report):
            return
        expires_at = now + self._add_clock_error(report.remaining_ms)
        self._losses[report.upstream] = _Loss(report, expires_at)

    def update(self, state: ControlState, now: int) -> None:
        """Drop obsolete reports and record since when shards are moving.

        A new dispatcher may renew grants again, and a new process of the
        upstream gets its own grants, so either invalidates earlier reports.
        """
        self._losses = {
            upstream: loss
            for upstream, loss in self._losses.items()
            if _is_current(state, loss.report)
        }
        moving_fences = {
            grant.fence
            for grants in state.grants.values()
            for grant in grants.values()
            if grant.moving_to is not None
        }
        self._released_fences &= moving_fences
        self._moving_since = {
            fence: self._moving_since.get(fence, now) for fence in moving_fences
        }

    @property
    def lost(self) -> frozenset[str]:
        """The upstreams that are reported lost."""
        return frozenset(self._losses)

    def find_expired(self, state: ControlState, now: int) -> frozenset[str]:
        """Return the lost upstreams that certainly run no more requests."""
        return frozenset(
            upstream
            for upstream, loss in self._losses.items()
            if now >= loss.expires_at + self._late_request_ms(state, upstream)
        )

    def find_ended(self, state: ControlState, now: int) -> frozenset[int]:
        """Return fences of moving shards whose owner has certainly stopped."""
        ended = set(self._released_fences)
        for upstream, loss in self._losses.items():
            for grant in state.grants_of(upstream):
                moving_since = self._moving_since.get(grant.fence)
                if moving_since is None:
                    continue
                requests_end_at = moving_since + self._late_request_ms(
                    state, upstream
                )
                if now >= max(requests_end_at, loss.expires_at):
                    ended.add(grant.fence)
        return frozenset(ended)

    def _late_request_ms(self, state: ControlState, upstream: str) -> int:
        """Return for how long late requests may reach the upstream."""
        if state.upstreams[upstream].checks_fence:
            return 0
        return self._vm_lease_ms

    def _add_clock_error(self, duration_ms: int) -> int:
        return math.ceil(duration_ms * (1 + self._clock_error))


def _is_same_loss(first: UpstreamLost, second: UpstreamLost) -> bool:
    return (first.epoch, first.incarnation) == (
        second.epoch,
        second.incarnation,
    )


def _is_current(state: ControlState, report: UpstreamLost) -> bool:
    record = state.upstreams.get(report.upstream)
    dispatcher = state.dispatchers.get(report.upstream)
    if record is None or dispatcher is None:
        return False
    return (dispatcher.epoch, record.incarnation) == (
        report.epoch,
        report.incarnation,
    )
