"""Decides which upstream gets a request, and which requests wait.

The class does no I/O and reads no clock. Each group of upstreams is the matter
of one entry VM, which therefore sees all requests for them. A request that
can't be sent now waits: first those that can still be in time, by their ranks,
then the late ones. One that can't be served in its time is refused at once.
"""

import operator
import random
from collections import Counter
from dataclasses import dataclass
from typing import Final

from ibisjunction.entry.health import Report, UpstreamHealth
from ibisjunction.entry.model import Why
from ibisjunction.entry.view import FleetView
from ibisjunction.fleet.model import Process, Upstream

#: Part of the time left until the target that a request may lose by staying
#: in its failure domain.
_REMOTE_SHARE: Final = 0.4
#: A request whose key has no owner waits this long at most. A move takes up to
#: two check-ins of upstreams.
_OWNER_WAIT_MS: Final = 1500
_RETRY_AFTER_MS: Final = 300
#: Part of the usual service time that must be left for a request to be sent;
#: one that is cut off halfway takes a slot in vain.
_SERVICE_SHARE: Final = 0.8
#: Part of the time left that a request may be expected to wait when it comes.
#: The expectation is rough, and a refused request comes back later.
_HOPEFUL_SHARE: Final = 0.9


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
    """A request that wants to be sent; times are on this VM's clock.

    ``key`` is set if only the key's owner may take it. ``avoided`` are
    processes that it was sent to before and that did not accept it.
    """

    number: int
    vm: str
    service: str
    key: int | None
    rank: int
    failure_domain: str
    asked_ms: int
    target_ms: int
    give_up_ms: int
    avoided: frozenset[Process] = frozenset()


class Dispatcher:
    """The requests for some upstreams, and what is known of these."""

    def __init__(self, generator: random.Random) -> None:
        """Start without upstreams."""
        self._generator = generator
        self._health: dict[Process, UpstreamHealth] = {}
        self._waiting: list[Ask] = []
        self.view: FleetView | None = None

    @property
    def waiting(self) -> int:
        """The number of requests that wait."""
        return len(self._waiting)

    def update_view(self, view: FleetView) -> None:
        """Take a new state of the fleet."""
        self.view = view
        known = {one.process for one in view.list_all()}
        self._health = {
            process: health
            for process, health in self._health.items()
            if process in known
        }

    def ask(self, ask: Ask, now: int) -> Decision:
        """Decide on a request that wants to be sent."""
        decision = self._decide(ask, now)
        if not isinstance(decision, Wait):
            return decision
        if self._is_hopeless(ask, now):
            return Refuse(Why.OVERLOADED)
        self._waiting.append(ask)
        return decision

    def is_waiting(self, vm: str, number: int) -> bool:
        """Return whether a request waits here."""
        return any(
            (one.vm, one.number) == (vm, number) for one in self._waiting
        )

    def withdraw(self, vm: str, number: int) -> None:
        """Forget a request that waits."""
        self._waiting = [
            ask for ask in self._waiting if (ask.vm, ask.number) != (vm, number)
        ]

    def decide_waiting(self, now: int) -> list[tuple[Ask, Grant | Refuse]]:
        """Return the decisions that became possible.

        Those that can still be in time overtake the late ones, which are
        refused once too many are before them.
        """
        decided: list[tuple[Ask, Grant | Refuse]] = []
        kept: list[Ask] = []
        ahead: Counter[str] = Counter()
        ranked = [(self._rank(ask, now), ask) for ask in self._waiting]
        ranked.sort(key=operator.itemgetter(0))
        for (is_late, *_), ask in ranked:
            queue = self._name_queue(ask)
            decision = self._decide(ask, now)
            is_overtaken = is_late and isinstance(decision, Wait)
            if is_overtaken and self._exceeds(ask, ahead[queue], now):
                decision = Refuse(Why.OVERLOADED)
            if isinstance(decision, Wait):
                ahead[queue] += 1
                kept.append(ask)
            else:
                decided.append((ask, decision))
        self._waiting = kept
        return decided

    def finish(self, upstream: Upstream, report: Report, now: int) -> None:
        """Take the result of a request that was granted."""
        health = self._health_of(upstream)
        health.in_flight = max(0, health.in_flight - 1)
        health.record(report, now)

    def _decide(self, ask: Ask, now: int) -> Decision:
        view = self.view
        if view is None:
            return Refuse(Why.NOT_READY)
        servers = self._find_servers(ask, view)
        if servers is None:
            if now >= min(ask.asked_ms + _OWNER_WAIT_MS, ask.give_up_ms):
                return Refuse(Why.NO_OWNER)
            return Wait()
        if not servers:
            return Refuse(Why.NO_UPSTREAM)
        for server in servers:
            self._health_of(server).forget_old(now)
        fastest = min(self._health_of(one).service_ms for one in servers)
        if now + fastest * _SERVICE_SHARE >= ask.give_up_ms:
            return Refuse(Why.TIMED_OUT)
        free = [one for one in servers if self._health_of(one).has_room(now)]
        if not free:
            return Wait()
        chosen = min(free, key=lambda one: self._cost(ask, one, now))
        self._health_of(chosen).in_flight += 1
        return Grant(chosen)

    def _find_servers(
        self,
        ask: Ask,
        view: FleetView,
    ) -> list[Upstream] | None:
        """Return who may take a request; ``None`` if its key has no owner."""
        if ask.key is not None:
            owner = view.find_owner(ask.service, ask.key)
            return None if owner is None else [owner]
        upstreams = view.list_group(ask.service, ask.number)
        fresh = [
            upstream
            for upstream in upstreams
            if upstream.process not in ask.avoided
        ]
        return fresh or upstreams

    def _health_of(self, upstream: Upstream) -> UpstreamHealth:
        process = upstream.process
        health = self._health.get(process)
        if health is None:
            health = UpstreamHealth(upstream.slots)
            self._health[process] = health
        return health

    def _cost(self, ask: Ask, upstream: Upstream, now: int) -> float:
        """Return how dear an upstream is, as a latency.

        Traffic between failure domains is charged, so a remote one is chosen
        only if no local one is likely to be in time.
        """
        health = self._health_of(upstream)
        cost = health.cost()
        if upstream.failure_domain != ask.failure_domain:
            left_ms = max(0, ask.target_ms - now) if health.is_tried else 1
            cost += left_ms * _REMOTE_SHARE
        return cost * (1 + self._generator.random() / 8)

    def _rank(self, ask: Ask, now: int) -> tuple[bool, int, int]:
        """Return the position of a request among those that wait.

        With too many requests, each that is sent has waited until it is just
        in time. By a usual service time, most of them would then be late.
        """
        servers = self._list_servers(ask)
        safe_ms = min(
            (self._health_of(one).safe_ms for one in servers),
            default=0,
        )
        is_late = now + safe_ms > ask.target_ms
        return (is_late, ask.rank, ask.target_ms)

    def _list_servers(self, ask: Ask) -> list[Upstream]:
        view = self.view
        return (view and self._find_servers(ask, view)) or []

    def _is_hopeless(self, ask: Ask, now: int) -> bool:
        """Return whether a request would not be served in its time."""
        queue = self._name_queue(ask)
        rank = self._rank(ask, now)
        ahead = sum(
            1
            for other in self._waiting
            if self._name_queue(other) == queue
            and self._rank(other, now) <= rank
        )
        return self._exceeds(ask, ahead, now)

    def _exceeds(self, ask: Ask, ahead: int, now: int) -> bool:
        """Return whether a request needs more time than it has."""
        servers = self._list_servers(ask)
        if not servers:
            return False
        found = [self._health_of(one) for one in servers]
        rate = sum(health.rate for health in found)
        service_ms = min(health.service_ms for health in found)
        expected_ms = (ahead + 1) / rate + service_ms
        return expected_ms > (ask.give_up_ms - now) * _HOPEFUL_SHARE

    def _name_queue(self, ask: Ask) -> str:
        """Return what requests that compete for the same slots share."""
        if self.view is None:
            return ask.service
        return self.view.name_queue(ask.service, ask.number, ask.key)
