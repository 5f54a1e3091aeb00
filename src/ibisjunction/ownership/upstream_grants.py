"""Makes the decisions about the grants of one upstream, in one epoch."""

import math
from dataclasses import dataclass
from typing import Final

from ibisjunction.control.records import Grant, UpstreamRecord
from ibisjunction.dispatch.messages import GrantsInForce
from ibisjunction.ownership.messages import ShardReleased, UpstreamLost
from ibisjunction.settings import TimingSettings
from ibisjunction.upstreams.protocol import (
    GrantAnswer,
    GrantCall,
    GrantedShard,
)

#: The second failure is that of a new connection, so a single lost or silent
#: connection does not count as a lost upstream.
_FAILURES_UNTIL_LOST: Final = 2
#: A connection that is only slow is silent for fewer renewal intervals.
_RENEWALS_UNTIL_LOST: Final = 2


@dataclass(frozen=True, slots=True)
class GrantsAnswered:
    """The upstream answered a call that was sent at ``sent_at``."""

    call: GrantCall
    answer: GrantAnswer
    sent_at: int


@dataclass(frozen=True, slots=True)
class CallFailed:
    """The upstream did not answer a call, which it may still process."""

    call: GrantCall
    detail: str


@dataclass(frozen=True, slots=True)
class SendCall:
    """Effect: send a call to the upstream."""

    address: str
    call: GrantCall


GrantEffect = SendCall | GrantsInForce | ShardReleased | UpstreamLost


@dataclass(frozen=True, slots=True)
class _Echo:
    """A clock reading of the upstream, which its answer to a call carried.

    The reading was taken after the call was sent at ``sent_at``.
    """

    clock: int
    sent_at: int


class UpstreamGrants:
    """The grants of one upstream, which its dispatcher keeps in force.

    At most one call is pending. Each call replaces all grants, so a shard is
    revoked by the next accepted call without it.
    """

    def __init__(
        self,
        vm: str,
        record: UpstreamRecord,
        epoch: int,
        timing: TimingSettings,
        now: int,
    ) -> None:
        """Start a new epoch; an earlier dispatcher may have renewed grants."""
        self.epoch = epoch
        self.is_lost = False
        self._vm = vm
        self._record = record
        self._timing = timing
        self._grants: dict[int, Grant] = {}
        self._idle_fences: frozenset[int] = frozenset()
        self._fences_in_force: frozenset[int] = frozenset()
        self._echo: _Echo | None = None
        self._pending_call: GrantCall | None = None
        self._accepted_call: GrantCall | None = None
        self._sequence = 0
        self._failure_count = 0
        self._answered_at = now
        # The former dispatcher sends calls until its VM lease ends, and each
        # of them starts a grant lease.
        self._expires_at = now + _add_clock_error(
            timing.vm_lease_ms + timing.grant_lease_ms,
            timing,
        )
        self._former_expires_at = self._expires_at

    def apply_grants(
        self,
        record: UpstreamRecord,
        grants: list[Grant],
        now: int,
    ) -> list[GrantEffect]:
        """Apply the grants of a new control state."""
        if record.incarnation != self._record.incarnation:
            self._restart(now)
        self._record = record
        self._grants = {grant.fence: grant for grant in grants}
        return self._send_call_if_changed(now)

    def mark_idle(self, fences: frozenset[int], now: int) -> list[GrantEffect]:
        """Record that no tickets are outstanding for these moving shards."""
        self._idle_fences |= fences
        return [*self._send_call_if_changed(now), *self._list_released(now)]

    def renew(self, now: int) -> list[GrantEffect]:
        """Renew all grants, or repeat the report that the upstream is lost."""
        if self.is_lost:
            return [self._make_loss_report(now)]
        return self._send_call(now)

    def handle_answer(
        self,
        answered: GrantsAnswered,
        now: int,
    ) -> list[GrantEffect]:
        """Process the answer to the pending call."""
        if self._pending_call != answered.call:
            return []
        self._pending_call = None
        last_echo = self._echo
        self._echo = _Echo(answered.answer.clock, answered.sent_at)
        self._failure_count = 0
        self._answered_at = now
        # A call without an echo only obtains one, for the next call.
        if not answered.answer.accepted or last_echo is None:
            return self._send_call(now) if last_echo is None else []
        # This is the latest expiry: the upstream refuses older epochs from now
        # on, and a call sent before the next answer can only echo a reading
        # taken before now.
        self._expires_at = now + _add_clock_error(
            self._timing.grant_lease_ms,
            self._timing,
        )
        self._accepted_call = answered.call
        self._fences_in_force = frozenset(
            grant.fence for grant in answered.call.grants
        )
        return [
            self._make_confirmation(answered.call, last_echo),
            *self._list_released(now),
            *self._send_call_if_changed(now),
        ]

    def handle_failure(self, failed: CallFailed, now: int) -> list[GrantEffect]:
        """Process the failure of the pending call.

        The first failure is followed at once by a call on a new connection.
        """
        if self._pending_call != failed.call:
            return []
        self._pending_call = None
        self._failure_count += 1
        if self._failure_count == 1:
            return self._send_call(now)
        silence_ms = now - self._answered_at
        allowed_ms = _RENEWALS_UNTIL_LOST * self._timing.grant_renewal_ms
        if (
            self._failure_count >= _FAILURES_UNTIL_LOST
            and silence_ms >= allowed_ms
        ):
            self.is_lost = True
            return [self._make_loss_report(now)]
        return []

    def discard_call(self, failed: CallFailed) -> None:
        """Discard a pending call that was not sent; this is no failure."""
        if self._pending_call == failed.call:
            self._pending_call = None

    def _restart(self, now: int) -> None:
        """Reset the state for a new process of the upstream.

        The former process may be frozen and continue later, so its shards are
        released only when its grant lease has certainly expired.
        """
        self._former_expires_at = self._expires_at
        self._echo = None
        self._pending_call = None
        self._accepted_call = None
        self._fences_in_force = frozenset()
        self._failure_count = 0
        self._answered_at = now
        self.is_lost = False

    def _send_call_if_changed(self, now: int) -> list[GrantEffect]:
        """Send a call at once if the grants differ from the accepted ones."""
        accepted_call = self._accepted_call
        is_unchanged = (
            accepted_call is not None
            and self._list_grants() == accepted_call.grants
        )
        return [] if is_unchanged or self.is_lost else self._send_call(now)

    def _send_call(self, now: int) -> list[GrantEffect]:
        if self._pending_call is not None:
            return []
        self._sequence += 1
        self._pending_call = GrantCall(
            vm=self._vm,
            incarnation=self._record.incarnation,
            epoch=self.epoch,
            sequence=self._sequence,
            echo=None if self._echo is None else self._echo.clock,
            lease_ms=self._timing.grant_lease_ms,
            grants=self._list_grants(),
        )
        return [
            SendCall(self._record.address, self._pending_call),
        ]

    def _list_grants(self) -> list[GrantedShard]:
        return [
            GrantedShard(grant.service, grant.shard, grant.fence)
            for grant in self._grants.values()
            if self._is_granted(grant)
        ]

    def _is_granted(self, grant: Grant) -> bool:
        """Return whether the next call includes the grant.

        The grant of a moving shard is kept until its tickets are returned, but
        it is never granted again.
        """
        if grant.incarnation != self._record.incarnation:
            return False
        if grant.moving_to is None:
            return True
        return (
            grant.fence in self._fences_in_force
            and grant.fence not in self._idle_fences
        )

    def _make_confirmation(
        self,
        call: GrantCall,
        last_echo: _Echo,
    ) -> GrantsInForce:
        # The upstream's clock may be faster, so that the lease ends earlier.
        lease_ms = math.floor(
            call.lease_ms * (1 - self._timing.clock_error),
        )
        return GrantsInForce(
            upstream=self._record.upstream,
            epoch=self.epoch,
            fences={grant.shard: grant.fence for grant in call.grants},
            until_ms=last_echo.sent_at + lease_ms,
        )

    def _list_released(self, now: int) -> list[GrantEffect]:
        if self._accepted_call is None:
            return []
        return [
            ShardReleased(grant.service, grant.shard, grant.fence)
            for grant in self._grants.values()
            if self._is_released(grant, now)
        ]

    def _is_released(self, grant: Grant, now: int) -> bool:
        if grant.moving_to is None or grant.fence not in self._idle_fences:
            return False
        if grant.incarnation != self._record.incarnation:
            return now >= self._former_expires_at
        return grant.fence not in self._fences_in_force

    def _make_loss_report(self, now: int) -> UpstreamLost:
        expires_at = self._expires_at
        incarnation = self._record.incarnation
        if any(
            grant.incarnation != incarnation for grant in self._grants.values()
        ):
            expires_at = max(expires_at, self._former_expires_at)
        return UpstreamLost(
            upstream=self._record.upstream,
            epoch=self.epoch,
            incarnation=incarnation,
            remaining_ms=max(0, expires_at - now),
        )


def _add_clock_error(duration_ms: int, timing: TimingSettings) -> int:
    """Return the time that the duration takes on the slowest allowed clock."""
    return math.ceil(duration_ms * (1 + timing.clock_error))
