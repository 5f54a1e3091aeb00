"""Finds the route of a request and spreads requests over its targets."""

import random
from dataclasses import dataclass

from ibisjunction.catalogue.items import Catalogue
from ibisjunction.catalogue.model import ItemType, Route, Target


@dataclass(frozen=True, slots=True)
class NamedRoute:
    """A route with its name and version."""

    name: str
    version: int
    route: Route


#: A route's name and its targets; changed weights start a new split.
_Split = tuple[str, tuple[Target, ...]]


class RouteTable:
    """Routes by host and longest prefix."""

    def __init__(self, catalogue: Catalogue) -> None:
        """Index the routes of a catalogue."""
        self._by_host: dict[str, dict[str, NamedRoute]] = {}
        self._ranks: dict[str, set[int]] = {}
        for item in catalogue.list_items(ItemType.ROUTE):
            route = item.route
            if route is not None:
                prefixes = self._by_host.setdefault(route.host.lower(), {})
                prefixes[route.prefix] = NamedRoute(
                    item.name,
                    item.version,
                    route,
                )
                if len(route.targets) == 1:
                    service = route.targets[0].service
                    self._ranks.setdefault(service, set()).add(route.rank)

    def is_shared(self, service: str) -> bool:
        """Return whether requests of several ranks compete for a service.

        Routes that spread their requests over services do not count: they use
        a service for a while, such as during a change of versions.
        """
        return len(self._ranks.get(service, ())) > 1

    def match(self, host: str, path: str) -> NamedRoute | None:
        """Return the route with the longest prefix of ``path``.

        :param host: the ``Host`` header; a port in it is ignored.
        :param path: the request target; a query in it is ignored.
        """
        prefixes = self._by_host.get(host.partition(':')[0].lower())
        if not prefixes:
            return None
        prefix = path.partition('?')[0]
        while prefix:
            prefix = prefix[: prefix.rfind('/') + 1]
            found = prefixes.get(prefix)
            if found is not None:
                return found
            prefix = prefix[:-1]
        return None


class Splitter:
    """Chooses targets in proportion to their weights.

    Uses smooth weighted round robin: the shares of any run of choices are as
    close to the weights as whole requests allow.
    """

    def __init__(self, rng: random.Random) -> None:
        """Start empty; ``rng`` draws the initial weights of a route."""
        self._rng = rng
        self._current_weights: dict[_Split, list[float]] = {}

    def choose(self, named_route: NamedRoute) -> str:
        """Return the service that gets the next request of a route."""
        targets = named_route.route.targets
        if len(targets) == 1:
            return targets[0].service
        key = (named_route.name, targets)
        total = sum(target.weight for target in targets)
        current_weights = self._current_weights.get(key)
        if current_weights is None:
            # Without a random start every VM would send its first request to
            # the heaviest target, the only one that a route with few requests
            # would use.
            current_weights = [self._rng.random() * total for _ in targets]
            self._current_weights[key] = current_weights
        for position, target in enumerate(targets):
            current_weights[position] += target.weight
        best = max(range(len(targets)), key=current_weights.__getitem__)
        current_weights[best] -= total
        return targets[best].service
