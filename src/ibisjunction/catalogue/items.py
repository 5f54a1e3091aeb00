"""The rules by which updates change the items."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from ibisjunction.catalogue.model import (
    Accepted,
    Item,
    ItemType,
    ItemUpdate,
    Limits,
    Rejected,
    Route,
    Service,
    UpdateOutcome,
)

#: A target latency that exceeds the route's timeout by this much or more is
#: rejected as a mistake of units.
_MAX_TARGET_EXCESS_MS: Final = 60_000

#: Items of one type by name.
Items = dict[str, Item]


@dataclass(frozen=True)
class Catalogue:
    """The newest version of each item, including removed items.

    A removed item keeps its version, so that an older version never returns.
    """

    routes: Items = field(default_factory=dict)
    services: Items = field(default_factory=dict)
    limits: Items = field(default_factory=dict)

    @property
    def is_empty(self) -> bool:
        """Whether no update was ever applied."""
        return not (self.routes or self.services or self.limits)

    def list_items(self, item_type: ItemType) -> list[Item]:
        """Return the items of a collection that are not removed."""
        return [
            item
            for item in self._collection(item_type).values()
            if not item.is_removed
        ]

    def find_service(self, name: str) -> Service | None:
        """Return a service that is not removed."""
        item = self.services.get(name)
        return item.service if item else None

    def current_limits(self) -> Limits | None:
        """Return the current limits, or ``None`` if none were published."""
        return next(
            (item.limits for item in self.limits.values() if item.limits),
            None,
        )

    def apply(
        self,
        update: ItemUpdate,
    ) -> tuple['Catalogue', UpdateOutcome]:
        """Return the items after an update, and its outcome.

        The highest version of each name takes effect. An invalid update changes
        nothing.
        """
        newer = [item for item in update.items if self._is_newer(item)]
        after = Catalogue(
            self._merge(ItemType.ROUTE, newer),
            self._merge(ItemType.SERVICE, newer),
            self._merge(ItemType.LIMITS, newer),
        )
        error = _find_error(update.items) or after._find_unknown_service(newer)
        if error:
            return self, Rejected(error)
        return after if newer else self, Accepted(len(newer))

    def contains(self, update: ItemUpdate) -> bool:
        """Return whether a valid update has no newer item than the catalogue.

        An operator whose confirmation was lost sends the same update again.
        """
        if any(self._is_newer(item) for item in update.items):
            return False
        _, outcome = self.apply(update)
        return isinstance(outcome, Accepted)

    def _is_newer(self, item: Item) -> bool:
        current = self._collection(item.type).get(item.name)
        return current is None or item.version > current.version

    def _collection(self, item_type: ItemType) -> Items:
        match item_type:
            case ItemType.ROUTE:
                return self.routes
            case ItemType.SERVICE:
                return self.services
            case ItemType.LIMITS:
                return self.limits

    def _merge(self, item_type: ItemType, newer: list[Item]) -> Items:
        matching = [item for item in newer if item.type is item_type]
        if not matching:
            return self._collection(item_type)
        merged = dict(self._collection(item_type))
        for item in matching:
            current = merged.get(item.name)
            if current is None or item.version > current.version:
                merged[item.name] = item
        return merged

    def _find_unknown_service(self, newer: list[Item]) -> str:
        """Return the error of the first route that names an unknown service.

        An update that changes a service may affect any route, so all routes are
        checked; otherwise only the newer ones. Items that a newer version has
        replaced are not checked: a repeated update must not be rejected because
        the services have changed since.
        """
        if any(item.type is ItemType.SERVICE for item in newer):
            routes: Iterable[Item] = self.routes.values()
        else:
            routes = (item for item in newer if item.type is ItemType.ROUTE)
        for item in routes:
            for service in _services_of(item):
                if self.find_service(service) is None:
                    return f'route {item.name}: unknown service {service}'
        return ''


def _services_of(item: Item) -> list[str]:
    if item.route is None:
        return []
    return [target.service for target in item.route.targets]


def _find_error(items: Iterable[Item]) -> str:
    """Return the first error of an item that doesn't depend on other items."""
    for item in items:
        error = _find_route_error(item.route) if item.route else ''
        if error:
            return f'route {item.name}: {error}'
    return ''


def _find_route_error(route: Route) -> str:
    if not route.host:
        return 'the host is empty'
    if not (route.prefix.startswith('/') and route.prefix.endswith('/')):
        return f'prefix {route.prefix} does not begin and end with a slash'
    if route.max_attempts < 1:
        return 'no attempt is allowed'
    if route.timeout_ms <= 0:
        return 'the timeout is not positive'
    if route.target_ms - route.timeout_ms >= _MAX_TARGET_EXCESS_MS:
        return 'the target latency is a minute or more above the timeout'
    if sum(target.weight for target in route.targets) <= 0:
        return 'no target has a weight'
    return ''
