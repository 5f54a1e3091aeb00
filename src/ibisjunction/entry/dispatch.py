"""Decides which upstream gets a request, and which requests wait.

The class does no I/O and reads no clock. Requests that can't be sent now wait
in the order of their ranks; a request that would wait too long is refused at
once.
"""

import random
from dataclasses import dataclass
from typing import Final

from ibisjunction.entry.health import UpstreamHealth
from ibisjunction.entry.model import RoutedRequest, Why
from ibisjunction.entry.view import FleetView
from ibisjunction.fleet.model import Upstream

#: Upstreams of another failure domain are chosen only if they are faster by
#: this factor, because traffic between failure domains is charged.
_REMOTE_FACTOR: Final = 1.15
#: A request whose key has no owner waits this long at most. A move takes up to
#: two check-ins of upstreams.
_OWNER_WAIT_MS: Final = 2000
_RETRY_AFTER_MS: Final = 300

Process = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Grant:
    """The request may be sent to this upstream now."""

    upstream: Upstream


@dataclass(frozen=True, slots=True)
class Wait:
    """The request waits until a later decision names it."""


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request is not sent."""

    why: Why
    retry_after_ms: int = _RETRY_AFTER_MS


Decision = Grant | Wait | Refuse


@dataclass(frozen=True, slots=True)
class Ask:
    """A request that wants to be sent.

    ``number`` grows with each ask. ``avoided`` are processes that it was sent
    to before and that did not accept it.
    """

    number: int
    routed: RoutedRequest
    asked_ms: int
    avoided: frozenset[Process] = frozenset()

    @property
    def order(self) -> tuple[int, int]:
        """Position among the asks that wait."""
        return (self.routed.route.route.rank, self.number)


def process_of(upstream: Upstream) -> Process:
    """Return what names a process of an upstream."""
    return (upstream.upstream, upstream.born)


class Dispatcher:
    """The requests of one entry VM on their way to upstreams."""

    def __init__(self, failure_domain: str, generator: random.Random) -> None:
        """Start without upstreams."""
        self._failure_domain = failure_domain
        self._generator = generator
        self._health: dict[Process, UpstreamHealth] = {}
        self._waiting: dict[str, list[Ask]] = {}
        self.view: FleetView | None = None

    def update_view(self, view: FleetView) -> None:
        """Take a new state of the fleet."""
        self.view = view

    def ask(self, ask: Ask, now: int) -> Decision:
        """Decide on a request that wants to be sent."""
        decision = self._decide(ask, now)
        if isinstance(decision, Wait):
            queue = self._waiting.setdefault(ask.routed.service, [])
            if self._is_hopeless(ask, queue, now):
                return Refuse(Why.OVERLOADED)
            queue.append(ask)
            queue.sort(key=_order_of)
        return decision

    def withdraw(self, ask: Ask) -> None:
        """Forget a request that waits."""
        queue = self._waiting.get(ask.routed.service, [])
        if ask in queue:
            queue.remove(ask)

    def decide_waiting(self, now: int) -> list[tuple[Ask, Grant | Refuse]]:
        """Return the decisions that became possible."""
        decided: list[tuple[Ask, Grant | Refuse]] = []
        for service, queue in self._waiting.items():
            kept = []
            for ask in queue:
                decision = self._decide(ask, now)
                if isinstance(decision, Wait):
                    kept.append(ask)
                else:
                    decided.append((ask, decision))
            self._waiting[service] = kept
        return decided

    def health_of(self, upstream: Upstream) -> UpstreamHealth:
        """Return what is known of a process."""
        process = process_of(upstream)
        health = self._health.get(process)
        if health is None:
            health = UpstreamHealth(upstream.slots)
            self._health[process] = health
        return health

    def release(self, upstream: Upstream) -> None:
        """Note that a granted request is no longer in flight."""
        self.health_of(upstream).in_flight -= 1

    def _decide(self, ask: Ask, now: int) -> Decision:
        if now >= ask.routed.give_up_ms:
            return Refuse(Why.TIMED_OUT)
        view = self.view
        if view is None:
            return Refuse(Why.NOT_READY)
        if ask.routed.is_sharded:
            return self._decide_owner(ask, view, now)
        return self._decide_any(ask, view, now)

    def _decide_owner(self, ask: Ask, view: FleetView, now: int) -> Decision:
        key = ask.routed.request.key
        if key is None:
            return Refuse(Why.NO_KEY)
        owner = view.find_owner(ask.routed.service, key)
        if owner is None or owner.is_draining:
            if now >= ask.asked_ms + _OWNER_WAIT_MS:
                return Refuse(Why.NO_OWNER)
            return Wait()
        return self._grant(owner) if self._has_room(owner, now) else Wait()

    def _decide_any(self, ask: Ask, view: FleetView, now: int) -> Decision:
        upstreams = view.list_upstreams(ask.routed.service)
        if not upstreams:
            return Refuse(Why.NO_UPSTREAM)
        fresh = [
            upstream
            for upstream in upstreams
            if process_of(upstream) not in ask.avoided
        ]
        free = [
            upstream
            for upstream in (fresh or upstreams)
            if self._has_room(upstream, now)
        ]
        if not free:
            return Wait()
        return self._grant(min(free, key=self._cost))

    def _has_room(self, upstream: Upstream, now: int) -> bool:
        return self.health_of(upstream).has_room(now)

    def _grant(self, upstream: Upstream) -> Grant:
        self.health_of(upstream).in_flight += 1
        return Grant(upstream)

    def _cost(self, upstream: Upstream) -> float:
        cost = self.health_of(upstream).cost()
        if upstream.failure_domain != self._failure_domain:
            cost *= _REMOTE_FACTOR
        # Without noise all VMs would choose the same upstream.
        return cost * (1 + self._generator.random() / 4)

    def _is_hopeless(self, ask: Ask, queue: list[Ask], now: int) -> bool:
        """Return whether a request would wait past its target."""
        servers = self._find_servers(ask)
        if not servers:
            return False
        ahead = sum(
            1
            for other in queue
            if other.order <= ask.order and self._find_servers(other) == servers
        )
        rate = sum(self.health_of(server).rate for server in servers)
        latency_ms = min(self.health_of(one).latency_ms for one in servers)
        expected_ms = (ahead + 1) / rate + latency_ms
        limit_ms = min(ask.routed.give_up_ms, ask.routed.target_ms)
        return now + expected_ms > limit_ms

    def _find_servers(self, ask: Ask) -> list[Upstream]:
        """Return the upstreams that may serve a request."""
        view = self.view
        if view is None:
            return []
        if not ask.routed.is_sharded:
            return view.list_upstreams(ask.routed.service)
        key = ask.routed.request.key or 0
        owner = view.find_owner(ask.routed.service, key)
        return [] if owner is None else [owner]


def _order_of(ask: Ask) -> tuple[int, int]:
    return ask.order
